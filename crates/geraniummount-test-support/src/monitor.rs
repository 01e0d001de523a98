//! Guards a value with a mutex and wakes waiting threads when the value changes.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A value with its mutex and condition variable.
#[derive(Debug, Default)]
pub(crate) struct Monitor<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Monitor<T> {
    /// Creates a monitor with an initial value.
    pub(crate) fn new(value: T) -> Monitor<T> {
        Monitor {
            value: Mutex::new(value),
            changed: Condvar::new(),
        }
    }

    /// Locks the value for reading. A change through this guard wakes no waiting thread.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the value, wakes all waiting threads and returns the result of `change`.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits until `ready` returns a result and returns it, or `None` once `until` has passed.
    pub(crate) fn wait<R>(
        &self,
        until: Instant,
        mut ready: impl FnMut(&mut T) -> Option<R>,
    ) -> Option<R> {
        let mut guard = self.lock();
        loop {
            if let Some(result) = ready(&mut guard) {
                // `ready` may have changed the value, which other threads may wait for.
                self.changed.notify_all();
                return Some(result);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left == Duration::ZERO {
                return None;
            }
            let woken = self.changed.wait_timeout(guard, left);
            guard = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
