//! Events of one query.

/// Events of one query, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Parts sent first.
    pub first_attempts: u32,
    /// Parts sent again after a failure.
    pub retries: u32,
    /// Parts sent to a second replica while the first was late.
    pub hedges: u32,
    /// Parts sent elsewhere because they never reached a leaf.
    pub redirects: u32,
    /// Starts on another snapshot.
    pub restarts: u32,
    /// Outcomes of attempts that were unknown or closed.
    pub ignored_outcomes: u32,
    /// Replies read from another snapshot than asked.
    pub snapshot_mismatches: u32,
}
