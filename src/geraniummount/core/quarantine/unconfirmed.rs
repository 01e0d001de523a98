//! A crash that may be no crash.

use std::time::Instant;

use super::Crash;
use crate::core::fingerprint::Fingerprint;

/// A crash that this VM has seen and that is not confirmed yet: its own link to the leaf may have
/// failed instead.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    pub(super) fingerprint: Fingerprint,
    pub(super) crash: Crash,
    pub(super) seen_at: Instant,
}
