//! How a leaf's limit changes, and what was sent while it was in force.

/// Attempts of this VM at a leaf since the leaf's limit began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitedAttempts {
    /// First attempts.
    pub first: u64,
    /// Retries and hedges.
    pub extra: u64,
}

/// How a response of a leaf changes the leaf's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The leaf still has a limit, or still has none.
    Unchanged,
    /// The leaf had no limit before, and now takes this number of requests per second.
    Began(f64),
    /// The leaf has no limit any more.
    Ended(LimitedAttempts),
}
