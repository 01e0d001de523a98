//! Bound on the watches that wait at once.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts waiting watches up to a limit.
#[derive(Debug)]
pub(super) struct Watches {
    limit: usize,
    waiting: AtomicUsize,
}

/// Place of one waiting watch; dropping it gives the place back.
#[derive(Debug)]
pub(super) struct Place<'a> {
    watches: &'a Watches,
}

impl Watches {
    pub(super) fn new(limit: usize) -> Watches {
        Watches {
            limit,
            waiting: AtomicUsize::new(0),
        }
    }

    /// Takes a place, where one is free.
    pub(super) fn enter(&self) -> Option<Place<'_>> {
        let place = Place { watches: self };
        let before = self.waiting.fetch_add(1, Ordering::AcqRel);
        (before < self.limit).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.watches.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
