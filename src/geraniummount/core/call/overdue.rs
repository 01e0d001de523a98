//! Counts the overdue parts of a request once and reports the number once.
//!
//! A part is overdue if the leaves had no capacity for it or did not answer it in time.

/// Number of parts that were overdue when the answer was due, or at the end of the request if that
/// came earlier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Overdue {
    /// The answer is not due yet, and the request has not ended.
    Pending,
    /// The parts were counted and the number was not taken yet.
    Counted(usize),
    /// The number was taken.
    Taken,
}

impl Overdue {
    /// Stores the number of overdue parts, unless one was stored before.
    pub(super) fn count(&mut self, parts: impl FnOnce() -> usize) {
        if *self == Overdue::Pending {
            *self = Overdue::Counted(parts());
        }
    }

    /// Returns the number the first time that it is called after the count.
    pub(super) fn take(&mut self) -> Option<usize> {
        let Overdue::Counted(parts) = *self else {
            return None;
        };
        *self = Overdue::Taken;
        Some(parts)
    }
}
