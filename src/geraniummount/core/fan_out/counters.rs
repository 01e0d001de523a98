//! Event counters of one query.
//!
//! A snapshot is a version of the index.

/// Event counters of one query, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Parts sent as the first attempt at their shard.
    pub first_attempts: u32,
    /// Parts sent again after a failure.
    pub retries: u32,
    /// Parts sent to a second replica while the first one was late.
    pub hedges: u32,
    /// Parts sent to another replica because they never reached a leaf.
    pub redirects: u32,
    /// Restarts on another snapshot.
    pub restarts: u32,
    /// Outcomes of attempts that are unknown or no longer awaited, which were ignored.
    pub ignored_outcomes: u32,
    /// Replies read from a different snapshot than requested.
    pub snapshot_mismatches: u32,
}
