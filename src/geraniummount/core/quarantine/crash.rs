//! A leaf that crashed while it had a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A leaf that closed the connection while it had a request. Times are in milliseconds since the
/// Unix epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Id or name of the leaf, for operators.
    pub leaf: String,
    /// When the request arrived at the VM that sent it to the leaf.
    pub arrived_ms: u64,
    /// When the leaf closed the connection.
    pub at_ms: u64,
}

impl Crash {
    /// Creates the crash of a leaf at `at_ms` that had a request which arrived `age` before.
    pub fn after(leaf: impl Into<String>, age: Duration, at_ms: u64) -> Crash {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Crash {
            leaf: leaf.into(),
            arrived_ms: at_ms.saturating_sub(age_ms),
            at_ms,
        }
    }
}

/// Maximum number of overlapping crashes that count.
const MAX_OVERLAPPING: usize = 2;

/// Returns how many of the crashes, sorted by time, count as evidence against the request.
///
/// Many leaves may fail at once for another reason, such as a cut of the network or the loss of a
/// failure domain, and all requests that are in flight then are beside it. Of the crashes that
/// overlap, only [`MAX_OVERLAPPING`] count therefore: those of requests that arrived before the
/// first of them.
pub(super) fn count<'a>(crashes: impl IntoIterator<Item = &'a Crash>) -> usize {
    let mut counted = 0;
    let mut overlapping = 0;
    let mut first_at = None;
    for crash in crashes {
        if first_at.is_none_or(|first_at| crash.arrived_ms >= first_at) {
            first_at = Some(crash.at_ms);
            overlapping = 0;
        }
        overlapping += 1;
        counted += usize::from(overlapping <= MAX_OVERLAPPING);
    }
    counted
}
