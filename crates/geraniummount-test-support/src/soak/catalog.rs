//! What callers may know of the cluster while it runs.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::proxied_leaf::Identity;

/// A version of the routes, and when it was written.
pub type Version = (u64, Instant);

/// What callers may know of the cluster while it runs.
#[derive(Debug, Default)]
pub struct Catalog {
    /// All leaves that were ever started.
    pub leaves: Mutex<Vec<Identity>>,
    /// All versions that were written.
    pub versions: Mutex<Vec<Version>>,
}

/// Locks a value; a thread that panicked leaves it as it was.
pub fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
