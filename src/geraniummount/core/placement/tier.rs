//! Which leaves are chosen before which, whatever their speed.

/// Which leaves are chosen before which, whatever their speed: one of a later
/// tier only where none of an earlier one is left.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// Nothing speaks against it.
    Preferred,
    /// It failed lately.
    RecentlyFailed,
    /// The registry no longer names it.
    Unregistered,
}
