//! Outcome of one handoff.

use super::Outcome;
use crate::prelude::*;

/// Outcome of one handoff. A request may be passed to several peers, one after the other; what one of
/// them did says nothing about the next one.
#[derive(Debug)]
pub struct Completion {
    /// Handoff that has ended.
    pub handoff: HandoffId,
    /// How it has ended.
    pub outcome: Outcome,
}
