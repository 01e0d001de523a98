//! A value that one thread replaces and many read.

use std::sync::{Arc, PoisonError, RwLock};

/// Shared, immutable value that is replaced as a whole.
#[derive(Debug)]
pub struct Published<T> {
    current: RwLock<Arc<T>>,
}

impl<T> Published<T> {
    /// Publishes a first value.
    pub fn new(first: T) -> Published<T> {
        Published {
            current: RwLock::new(Arc::new(first)),
        }
    }

    /// Returns the current value; it stays unchanged in the reader's hands.
    pub fn get(&self) -> Arc<T> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Replaces the value.
    pub fn set(&self, next: T) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(next);
    }
}
