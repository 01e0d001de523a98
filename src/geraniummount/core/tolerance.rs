//! By how much a limit that all VMs share may be exceeded.

/// By how much a limit that all VMs share may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Share of the limit.
    pub share: f64,
    /// Number of requests, in addition.
    pub requests: f64,
}
