//! State of one shard's part of a request.
//!
//! An attempt is one try to run the part at a leaf, and a hedge is a second attempt at a late part,
//! at another leaf. A shard is settled once no further reply to its part is awaited.

use std::time::Instant;

use super::reply::Response;
use crate::core::not_run::Progress;
use crate::core::placement::ReplicaKey;
use crate::prelude::*;

/// State of one shard's part of a request.
#[derive(Debug)]
pub(super) struct Shard {
    /// Service whose leaves hold the shard.
    pub(super) service: ServiceName,
    /// Leaves that were chosen so far, including those that could not be reached.
    pub(super) tried: Vec<ReplicaKey>,
    /// Number of attempts that reached, or may have reached, a leaf.
    pub(super) sends: u32,
    pub(super) open_attempts: Vec<OpenAttempt>,
    /// When the next hedge or retry is due.
    pub(super) next_attempt_at: Option<Instant>,
    /// Whether a leaf may have run the part in an attempt that failed or was abandoned.
    pub(super) may_have_run: bool,
    /// Whether a leaf rejected an attempt.
    pub(super) is_rejected: bool,
    /// Last error response of a leaf.
    pub(super) failure_response: Option<Response>,
    /// Final state; `None` while a reply is awaited.
    pub(super) settled: Option<Settled>,
}

/// An attempt that has no reply yet.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) attempt: AttemptId,
    pub(super) replica: ReplicaKey,
    pub(super) progress: Progress,
}

/// Final state of a part.
#[derive(Debug)]
pub(super) enum Settled {
    /// The response belongs to the answer.
    Included(Response),
    /// The answer lacks the part.
    Missing,
}

/// Summary of a part, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardSummary<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Number of attempts that reached, or may have reached, a leaf.
    pub sends: u32,
    /// Whether the response has arrived.
    pub is_included: bool,
    /// Whether an attempt has no reply yet.
    pub has_open_attempt: bool,
}

impl Shard {
    pub(super) fn new(service: ServiceName) -> Shard {
        Shard {
            service,
            tried: Vec::new(),
            sends: 0,
            open_attempts: Vec::new(),
            next_attempt_at: None,
            may_have_run: false,
            is_rejected: false,
            failure_response: None,
            settled: None,
        }
    }

    pub(super) fn is_included(&self) -> bool {
        matches!(self.settled, Some(Settled::Included(_)))
    }

    /// Returns the number of bytes of the replies that are kept.
    pub(super) fn held_bytes(&self) -> usize {
        let included = match &self.settled {
            Some(Settled::Included(response)) => Some(response),
            Some(Settled::Missing) | None => None,
        };
        let kept = included.into_iter().chain(&self.failure_response);
        kept.map(Response::held_bytes).sum()
    }

    /// Returns whether the leaves had no capacity for the part or did not answer it in time.
    pub(super) fn is_overdue(&self) -> bool {
        match self.settled {
            None => true,
            Some(Settled::Missing) => self.is_rejected,
            Some(Settled::Included(_)) => false,
        }
    }

    /// Returns how far the part has got: `Sent` if a leaf may have run it or may run it yet.
    pub(super) fn progress(&self) -> Progress {
        if self.may_have_run || self.is_included() {
            return Progress::Sent;
        }
        let open = self.open_attempts.iter().map(|open| open.progress);
        open.max().unwrap_or(Progress::Planned)
    }

    /// Removes an attempt from the open ones, and returns the leaf that it was sent to.
    pub(super) fn close_attempt(&mut self, attempt: AttemptId) -> Option<ReplicaKey> {
        let index = self
            .open_attempts
            .iter()
            .position(|open| open.attempt == attempt)?;
        Some(self.open_attempts.swap_remove(index).replica)
    }

    pub(super) fn settle(&mut self, settled: Settled) {
        self.next_attempt_at = None;
        self.settled = Some(settled);
    }

    pub(super) fn summary(&self) -> ShardSummary<'_> {
        ShardSummary {
            service: &self.service,
            sends: self.sends,
            is_included: self.is_included(),
            has_open_attempt: !self.open_attempts.is_empty(),
        }
    }
}
