//! Bound on what goes on at once.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts permits that are acquired, up to a limit.
#[derive(Debug)]
pub(super) struct Semaphore {
    limit: usize,
    acquired: AtomicUsize,
}

/// A permit; dropping it gives it back.
#[derive(Debug)]
pub(super) struct Permit<'a> {
    semaphore: &'a Semaphore,
}

impl Semaphore {
    pub(super) fn new(limit: usize) -> Semaphore {
        Semaphore {
            limit,
            acquired: AtomicUsize::new(0),
        }
    }

    /// Takes a permit, where one is free.
    pub(super) fn try_acquire(&self) -> Option<Permit<'_>> {
        let permit = Permit { semaphore: self };
        let before = self.acquired.fetch_add(1, Ordering::AcqRel);
        (before < self.limit).then_some(permit)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.semaphore.acquired.fetch_sub(1, Ordering::AcqRel);
    }
}
