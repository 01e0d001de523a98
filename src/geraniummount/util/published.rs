//! A shared value that is replaced as a whole and read by many threads.

use std::sync::{Arc, Condvar, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Shared value of which readers get an immutable version.
#[derive(Debug)]
pub struct Published<T> {
    current: RwLock<Arc<T>>,
    /// Notified after each replacement.
    replaced: Condvar,
    /// Locked from the check of a condition until the wait for `replaced`, and for each
    /// notification, so that no notification is missed in between.
    waiters: Mutex<()>,
}

impl<T> Published<T> {
    /// Creates the shared value with its first version.
    pub fn new(first: T) -> Published<T> {
        Published {
            current: RwLock::new(Arc::new(first)),
            replaced: Condvar::new(),
            waiters: Mutex::new(()),
        }
    }

    /// Returns the current value. Later replacements do not change the returned version.
    pub fn get(&self) -> Arc<T> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Replaces the value and wakes the waiting threads.
    pub fn set(&self, next: T) {
        {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            *current = Arc::new(next);
        }
        let _guard = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        self.replaced.notify_all();
    }

    /// Waits up to `timeout` until the current value satisfies `condition`, and returns the current
    /// value.
    pub fn wait_until(&self, condition: impl Fn(&T) -> bool, timeout: Duration) -> Arc<T> {
        let deadline = Instant::now() + timeout;
        let mut guard = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let current = self.get();
            let left = deadline.saturating_duration_since(Instant::now());
            if condition(&current) || left.is_zero() {
                return current;
            }
            let waited = self.replaced.wait_timeout(guard, left);
            (guard, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }
}
