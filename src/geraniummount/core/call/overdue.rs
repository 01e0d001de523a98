//! Whether it was counted, and told, how many parts were overdue.

/// Parts that were overdue when the answer was due: counted once, told once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Overdue {
    /// The answer is not due yet.
    Pending,
    /// So many; nobody heard of it.
    Counted(usize),
    /// Taken.
    Taken,
}

impl Overdue {
    /// Notes the number, unless one was noted before.
    pub(super) fn count(&mut self, parts: impl FnOnce() -> usize) {
        if *self == Overdue::Pending {
            *self = Overdue::Counted(parts());
        }
    }

    /// Returns the number, once.
    pub(super) fn take(&mut self) -> Option<usize> {
        let Overdue::Counted(parts) = *self else {
            return None;
        };
        *self = Overdue::Taken;
        Some(parts)
    }
}
