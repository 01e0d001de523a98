//! A value that one thread replaces and many read.

use std::sync::{Arc, Condvar, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Shared, immutable value that is replaced as a whole.
#[derive(Debug)]
pub struct Published<T> {
    current: RwLock<Arc<T>>,
    replaced: Condvar,
    waiters: Mutex<()>,
}

impl<T> Published<T> {
    /// Publishes a first value.
    pub fn new(first: T) -> Published<T> {
        Published {
            current: RwLock::new(Arc::new(first)),
            replaced: Condvar::new(),
            waiters: Mutex::new(()),
        }
    }

    /// Returns the current value; it stays unchanged in the reader's hands.
    pub fn get(&self) -> Arc<T> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Replaces the value.
    pub fn set(&self, next: T) {
        {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            *current = Arc::new(next);
        }
        let _held = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        self.replaced.notify_all();
    }

    /// Waits for a value that `wanted` accepts, at most `timeout`; returns the
    /// value current then.
    pub fn wait_until(&self, wanted: impl Fn(&T) -> bool, timeout: Duration) -> Arc<T> {
        let deadline = Instant::now() + timeout;
        let mut held = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let current = self.get();
            let left = deadline.saturating_duration_since(Instant::now());
            if wanted(&current) || left.is_zero() {
                return current;
            }
            let waited = self.replaced.wait_timeout(held, left);
            (held, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }
}
