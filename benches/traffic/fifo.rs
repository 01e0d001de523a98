//! Baseline for the product's leaf queue: a first-in, first-out queue that drops no part before its
//! deadline.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use geraniummount::core::duration_window::DurationWindow;
use geraniummount::core::leaf_queue::{Action, Completion, ConnectionKind};
use geraniummount::prelude::*;

/// First-in, first-out queue of one leaf.
pub struct Fifo {
    slots: usize,
    waiting: VecDeque<Part>,
    /// Running parts with their start times and whether they have been answered.
    running: Vec<(Part, Instant, bool)>,
    /// Service times of completed parts.
    served: DurationWindow,
}

impl Fifo {
    pub fn new(slots: u16) -> Fifo {
        Fifo {
            slots: usize::from(slots),
            waiting: VecDeque::new(),
            running: Vec::new(),
            served: DurationWindow::default(),
        }
    }

    pub fn submit(&mut self, part: Part, now: Instant) -> Vec<Action> {
        self.waiting.push_back(part);
        self.start(now)
    }

    pub fn cancel(&mut self, attempt: AttemptId, _now: Instant) -> Vec<Action> {
        if let Some(index) = self.waiting.iter().position(|p| p.attempt == attempt) {
            self.waiting.remove(index);
            return vec![self.answer(attempt, Err(Failure::not_run(Reason::Cancelled)))];
        }
        self.abort(attempt, Reason::Cancelled)
    }

    pub fn finish(
        &mut self,
        attempt: AttemptId,
        completion: Completion,
        now: Instant,
    ) -> Vec<Action> {
        let index = self.running.iter().position(|r| r.0.attempt == attempt);
        let Some(index) = index else {
            return Vec::new();
        };
        let (_, since, answered) = self.running.remove(index);
        let mut actions = Vec::new();
        if let Completion::Replied { snapshot, body, .. } = completion {
            self.served.record(now - since);
            let reply = Reply {
                snapshot: snapshot.unwrap_or_default(),
                body,
            };
            if !answered {
                actions.push(self.answer(attempt, Ok(reply)));
            }
        } else if !answered {
            let failure = Failure::may_have_run(Reason::Deadline);
            actions.push(self.answer(attempt, Err(failure)));
        }
        actions.extend(self.start(now));
        actions
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(index) = self.waiting.iter().position(|p| now >= p.deadline) {
            let part = self
                .waiting
                .remove(index)
                .expect("the index was just found");
            let failure = Failure::not_run(Reason::Deadline);
            actions.push(self.answer(part.attempt, Err(failure)));
        }
        let late = self.running.iter().filter(|r| !r.2 && now >= r.0.deadline);
        let late: Vec<AttemptId> = late.map(|r| r.0.attempt).collect();
        for attempt in late {
            actions.extend(self.abort(attempt, Reason::Deadline));
        }
        actions
    }

    pub fn next_wake(&self) -> Option<Instant> {
        let waiting = self.waiting.iter().map(|p| p.deadline);
        let running = self.running.iter().filter(|r| !r.2).map(|r| r.0.deadline);
        waiting.chain(running).min()
    }

    fn abort(&mut self, attempt: AttemptId, reason: Reason) -> Vec<Action> {
        let mut running = self.running.iter_mut();
        let Some(found) = running.find(|r| r.0.attempt == attempt && !r.2) else {
            return Vec::new();
        };
        found.2 = true;
        let answer = self.answer(attempt, Err(Failure::may_have_run(reason)));
        vec![answer, Action::Abort(attempt)]
    }

    fn start(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.running.len() < self.slots {
            let Some(part) = self.waiting.pop_front() else {
                break;
            };
            self.running.push((part.clone(), now, false));
            actions.push(Action::Start {
                part,
                connection: ConnectionKind::Any,
            });
        }
        actions
    }

    fn answer(&self, attempt: AttemptId, result: Result<Reply, Failure>) -> Action {
        let median = self.served.median().unwrap_or(Duration::from_millis(5));
        Action::Answer(Outcome {
            attempt,
            result,
            report: Some(Report {
                queued: self.waiting.len() as u32,
                busy: self.running.len() as u16,
                slots: self.slots as u16,
                median,
                ..Report::default()
            }),
        })
    }
}
