//! Bound on what goes on at once.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts places that are taken, up to a limit.
#[derive(Debug)]
pub(super) struct Places {
    limit: usize,
    taken: AtomicUsize,
}

/// A place; dropping it gives it back.
#[derive(Debug)]
pub(super) struct Place<'a> {
    places: &'a Places,
}

impl Places {
    pub(super) fn new(limit: usize) -> Places {
        Places {
            limit,
            taken: AtomicUsize::new(0),
        }
    }

    /// Takes a place, where one is free.
    pub(super) fn enter(&self) -> Option<Place<'_>> {
        let place = Place { places: self };
        let before = self.taken.fetch_add(1, Ordering::AcqRel);
        (before < self.limit).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.places.taken.fetch_sub(1, Ordering::AcqRel);
    }
}
