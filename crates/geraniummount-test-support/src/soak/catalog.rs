//! Lists the leaves that a cluster has started and the versions of the routes that it has written,
//! for callers that verify replies while the cluster runs.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::proxied_leaf::Identity;
use super::tenant::Directory;

/// A version of the routes and when it was written.
pub type Version = (u64, Instant);

/// The leaves and versions of a run. The cluster adds to it and the callers read it.
#[derive(Debug, Default)]
pub struct Catalog {
    /// All leaves that were started, including stopped ones.
    pub leaves: Mutex<Vec<Identity>>,
    /// All versions that were written, in ascending order.
    pub versions: Mutex<Vec<Version>>,
    /// The tenants of the newest version and their former keys; `None` in a run without tenants.
    pub tenants: Mutex<Option<Directory>>,
}

/// Locks a mutex, also if a thread panicked while it held the lock.
pub fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
