//! A part that has no outcome yet.
//!
//! Whoever drops it without an answer, by a closed queue, a lost connection
//! or a panic, answers it all the same: not run while nothing was sent, may
//! have run after. So each part ends in exactly one outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::edge::reply_to::ReplyTo;
use crate::prelude::*;

/// Counts the parts that have no outcome yet.
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<AtomicUsize>);

impl Gauge {
    /// Returns the count.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// Duty to answer one attempt.
#[derive(Debug)]
pub struct Pending {
    attempt: AttemptId,
    sent: bool,
    reply: Option<ReplyTo>,
    gauge: Gauge,
}

impl Pending {
    /// Takes on an attempt that nothing was sent of.
    pub fn new(attempt: AttemptId, reply: ReplyTo, gauge: &Gauge) -> Pending {
        gauge.0.fetch_add(1, Ordering::AcqRel);
        Pending {
            attempt,
            sent: false,
            reply: Some(reply),
            gauge: gauge.clone(),
        }
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Notes that bytes of the part may leave from now on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Answers with the outcome.
    pub fn answer(mut self, outcome: Outcome) {
        self.send(outcome);
    }

    /// Answers with a failure: as given while nothing was sent, else with the
    /// same reason as may have run.
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
