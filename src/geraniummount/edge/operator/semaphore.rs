//! Counting semaphore that never blocks.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counting semaphore that issues at most `limit` permits at a time.
#[derive(Debug)]
pub(super) struct Semaphore {
    limit: usize,
    /// Number of permits issued and not released yet, including those of calls that are about to
    /// fail.
    acquired: AtomicUsize,
}

/// Permit of a [`Semaphore`], released on drop.
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

    /// Acquires a permit, or returns `None` without blocking if none is free.
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
