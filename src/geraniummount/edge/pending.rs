//! Parts that have no outcome yet. A part is the share of a request that goes to one shard.
//!
//! A [`Pending`] that is dropped without an answer, because of a closed queue, a lost connection or
//! a panic, answers with a failure: "not run" if nothing was sent, otherwise "may have run". Each
//! part therefore ends in exactly one outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::edge::reply_to::ReplyTo;
use crate::prelude::*;

/// Number of parts that have no outcome yet. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<AtomicUsize>);

impl Gauge {
    /// Returns the current number of these parts.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// Obligation to answer one attempt, which is one try to run a part, exactly once.
#[derive(Debug)]
pub struct Pending {
    attempt: AttemptId,
    /// Whether bytes of the part may have been sent.
    sent: bool,
    /// Destination of the outcome; `None` once the outcome has been sent.
    reply: Option<ReplyTo>,
    gauge: Gauge,
}

impl Pending {
    /// Creates the obligation for an attempt of which nothing has been sent, and counts it in
    /// `gauge`.
    pub fn new(attempt: AttemptId, reply: ReplyTo, gauge: &Gauge) -> Pending {
        gauge.0.fetch_add(1, Ordering::AcqRel);
        Pending {
            attempt,
            sent: false,
            reply: Some(reply),
            gauge: gauge.clone(),
        }
    }

    /// Returns the id of the attempt.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns whether another VM has asked for the part.
    pub fn is_for_peer(&self) -> bool {
        matches!(self.reply, Some(ReplyTo::Peer(_)))
    }

    /// Records that bytes of the part may be sent from now on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records that the part has certainly not run, although it was sent.
    pub fn mark_not_run(&mut self) {
        self.sent = false;
    }

    /// Answers with the outcome.
    pub fn answer(mut self, outcome: Outcome) {
        self.send(outcome);
    }

    /// Answers with a failure. If the part may have been sent, the verdict (whether the part ran)
    /// is replaced by "may have run" and the reason is kept.
    pub fn fail(mut self, failure: Failure) {
        let verdict = match self.sent {
            true => Verdict::MayHaveRun,
            false => failure.verdict,
        };
        let failure = Failure { verdict, ..failure };
        self.send(Outcome::failed(self.attempt, failure));
    }

    fn send(&mut self, outcome: Outcome) {
        if let Some(reply) = self.reply.take() {
            reply.send(outcome);
        }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let failure = match self.sent {
            true => Failure::may_have_run(Reason::Unreachable),
            false => Failure::not_run(Reason::Unreachable),
        };
        self.send(Outcome::failed(self.attempt, failure));
        self.gauge.0.fetch_sub(1, Ordering::AcqRel);
    }
}
