//! Decides when the questions of other VMs are answered.

use std::time::Duration;

use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Age up to which a confirmation is passed on without a read of the store. It bounds the reads to
/// two a second, whatever the number of VMs that ask.
const MAX_AGE: Duration = Duration::from_millis(500);

/// Time after which a question is answered with what is known. The VM that asks waits for 100 ms.
const ANSWER_TIME: Duration = Duration::from_millis(70);

/// Pause after a read of the store that failed; doubles with each further failure. A call is paid
/// for also if the store turns it away.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum number of times that the pause doubles, up to 2 s.
const MAX_DOUBLINGS: u32 = 2;

/// A question of another VM that waits for its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// VM that asks.
    pub from: VmName,
    /// Number of the question, which the answer repeats.
    pub id: u64,
    /// When the question is answered at the latest.
    until: BootTime,
}

/// Decides when the questions of other VMs are answered.
#[derive(Debug, Default)]
pub struct Responder {
    waiting: Vec<Question>,
    /// When the store was last read.
    read_at: Option<BootTime>,
    /// Whether that read has no answer yet.
    is_reading: bool,
    /// Number of reads that have failed since the last one that was answered.
    failures: u32,
    /// Until when the store is not read; `None` if the last read was answered.
    pause_until: Option<BootTime>,
}

impl Responder {
    /// Records a question.
    pub fn on_question(&mut self, from: impl Into<VmName>, id: u64, now: BootTime) {
        self.waiting.push(Question {
            from: from.into(),
            id,
            until: now.saturating_add(ANSWER_TIME),
        });
    }

    /// Returns whether the store has to be read for the questions that wait. `newest` is when the
    /// newest confirmation began. Questions that arrive during a read share its answer.
    pub fn needs_read(&self, newest: Option<BootTime>, now: BootTime) -> bool {
        let is_recent = |at: BootTime| now.saturating_duration_since(at) <= MAX_AGE;
        let has_read = self.is_reading || self.read_at.is_some_and(is_recent);
        !self.waiting.is_empty() && !newest.is_some_and(is_recent) && !has_read
    }

    /// Returns whether the store has turned a read away, or not answered it, so recently that it is
    /// not read now.
    pub fn is_pausing(&self, now: BootTime) -> bool {
        self.pause_until.is_some_and(|until| now < until)
    }

    /// Records that a read of the store is begun; returns whether none is under way, and none has
    /// failed recently.
    pub fn begin_read(&mut self, now: BootTime) -> bool {
        if self.is_reading || self.is_pausing(now) {
            return false;
        }
        self.is_reading = true;
        self.read_at = Some(now);
        true
    }

    /// Records that the read has ended.
    pub fn end_read(&mut self) {
        self.is_reading = false;
    }

    /// Records that the store has answered a call.
    pub fn on_answered(&mut self) {
        self.failures = 0;
        self.pause_until = None;
    }

    /// Records that the store has turned a read away, or not answered it.
    pub fn on_failure(&mut self, now: BootTime) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.pause_until = Some(now.saturating_add(INITIAL_BACKOFF * (1 << doublings)));
    }

    /// Takes the questions that are answered now: all if the newest confirmation is recent or no
    /// read is under way that may give one, otherwise those that have waited too long.
    /// `is_pending` is whether the answer of a read waits until its revision is in force.
    pub fn take_due(
        &mut self,
        newest: Option<BootTime>,
        is_pending: bool,
        now: BootTime,
    ) -> Vec<Question> {
        let is_recent = newest.is_some_and(|at| now.saturating_duration_since(at) <= MAX_AGE);
        let answers_all = is_recent || !(self.is_reading || is_pending);
        let is_due = |question: &mut Question| answers_all || question.until <= now;
        self.waiting.extract_if(.., is_due).collect()
    }

    /// Returns when the next question has to be answered at the latest; `None` if none waits.
    pub fn wake_at(&self) -> Option<BootTime> {
        self.waiting.iter().map(|question| question.until).min()
    }
}
