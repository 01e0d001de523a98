//! A crash that may be no crash.

use std::time::{Duration, Instant};

use super::Crash;
use crate::core::fingerprint::Fingerprint;

/// Maximum time for which a doubted crash waits for a proof. Within it, the
/// registration of a leaf that has ended expires, or the leaf registers again.
const MAX_PROOF_TIME: Duration = Duration::from_secs(15);

/// A crash that this VM has seen and that is not confirmed yet: its own link to the leaf may have
/// failed instead.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    pub(super) fingerprint: Fingerprint,
    pub(super) crash: Crash,
    pub(super) seen_at: Instant,
    /// Whether the crash was seen around a loss of this VM's links to the leaves. It is then not
    /// confirmed by the responses of other leaves, and counts only once the run of its leaf is proven
    /// to have ended.
    pub(super) is_doubted: bool,
}

impl Unconfirmed {
    /// Returns whether no proof is to be expected any more.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.is_doubted && now.saturating_duration_since(self.seen_at) >= MAX_PROOF_TIME
    }
}
