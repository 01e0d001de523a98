//! A value guarded by a mutex whose changes wake waiting threads.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Mutex and condition variable in one.
#[derive(Debug, Default)]
pub(crate) struct Monitor<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Monitor<T> {
    /// Wraps a first value.
    pub(crate) fn new(value: T) -> Monitor<T> {
        Monitor {
            value: Mutex::new(value),
            changed: Condvar::new(),
        }
    }

    /// Locks the value for reading; a change made here wakes nobody.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the value and wakes every waiting thread.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits until `ready` returns a result or `until` has passed.
    pub(crate) fn wait<R>(
        &self,
        until: Instant,
        mut ready: impl FnMut(&mut T) -> Option<R>,
    ) -> Option<R> {
        let mut guard = self.lock();
        loop {
            if let Some(result) = ready(&mut guard) {
                // `ready` may have changed the value that others wait on.
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
