//! Queue of parts in front of one leaf, held by the VM that owns the leaf.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! the leaf. A part passes through three steps: it is submitted, it starts on a connection when the
//! leaf has a free slot, and the connection reports how it completed. Each submitted part is
//! answered exactly once, at its deadline at the latest. A part that can't be served in time is
//! answered in the step that detects this, with the delay after which a retry may help.
//!
//! Slots and connections are counted only here, which keeps all VMs together within the leaf's
//! contract: the number of slots (requests that the leaf runs at a time) and of connections that it
//! grants.

mod abort;
mod action;
mod admission;
mod completion;
mod drain;
mod feedback;
mod health;

use std::time::{Duration, Instant};

use crate::core::concurrency::Concurrency;
use crate::core::config::contract::Contract;
use crate::core::duration_window::DurationWindow;
use crate::core::leaf::State;
use crate::prelude::*;

use self::completion::into_result;
use self::drain::Drain;
use self::feedback::Backoff;

pub use self::action::{Action, ConnectionKind};
pub use self::completion::Completion;
pub use self::health::{Health, HeldSnapshots};

/// Interval between requests to the leaf's health endpoint.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Median service time that is assumed before the first reply.
const ASSUMED_MEDIAN: Duration = Duration::from_millis(5);

/// Maximum backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Minimum backoff after the leaf shed a part while it ran no other part, and minimum retry delay
/// of a part that is rejected because of the expected wait.
const MIN_SHED_BACKOFF: Duration = Duration::from_millis(10);

/// Queue, slots and state of one owned leaf.
#[derive(Clone, Debug)]
pub struct LeafQueue {
    /// Name of this VM.
    owner: VmName,
    /// Number of the leaf's connections that this VM may hold.
    connection_share: u16,
    /// Adaptive limit on the parts that run at the same time.
    concurrency: Concurrency,
    /// Recent times from the start of a part at the leaf to its completion.
    service_times: DurationWindow,
    /// When the leaf last sent a complete reply.
    last_reply: Option<Instant>,
    /// Parts that wait for a slot, in order of arrival.
    waiting: Vec<Waiting>,
    /// Parts that occupy a slot.
    running: Vec<Running>,
    /// Snapshots (versions of the index) that the leaf holds, by shard.
    held: Vec<HeldSnapshots>,
    /// Whether a source other than the leaf reports that the leaf is draining.
    is_marked_draining: bool,
    /// State that the leaf or its health endpoint last reported, other than draining (finishing the
    /// work in hand and taking no new work).
    state: State,
    /// Reports of the leaf and its health endpoint on whether the leaf is draining.
    drain: Drain,
    consecutive_failures: u32,
    last_failure: Option<Instant>,
    /// Last period without parts after consecutive failures; kept after its end until a reply or an
    /// answer of the health endpoint clears it.
    backoff: Option<Backoff>,
    /// Earliest start of the next part after the leaf shed one.
    not_before: Option<Instant>,
    next_probe: Instant,
}

#[derive(Clone, Debug)]
struct Waiting {
    part: Part,
    queued_at: Instant,
}

#[derive(Clone, Debug)]
struct Running {
    part: Part,
    queue_time: Duration,
    started_at: Instant,
    /// Whether the part was aborted, which answered it before its completion.
    is_answered: bool,
}

impl LeafQueue {
    /// Creates the queue of a leaf. `share` is the number of the leaf's connections that this VM
    /// may hold.
    pub fn new(owner: VmName, contract: Contract, share: u16, now: Instant) -> LeafQueue {
        LeafQueue {
            owner,
            connection_share: share,
            concurrency: Concurrency::new(contract.slots),
            service_times: DurationWindow::default(),
            last_reply: None,
            waiting: Vec::new(),
            running: Vec::new(),
            held: Vec::new(),
            is_marked_draining: false,
            state: State::Serving,
            drain: Drain::default(),
            consecutive_failures: 0,
            last_failure: None,
            backoff: None,
            not_before: None,
            next_probe: now,
        }
    }

    /// Accepts or rejects a part. An attempt that is already in the queue is ignored.
    pub fn submit(&mut self, part: Part, now: Instant) -> Vec<Action> {
        if self.contains(part.attempt) {
            return Vec::new();
        }
        if let Some(failure) = self.rejection(&part, now) {
            return vec![self.answer_unsent(&part, Duration::ZERO, failure)];
        }
        self.waiting.push(Waiting {
            part,
            queued_at: now,
        });
        self.advance(now)
    }

    /// Cancels an attempt and answers it immediately.
    pub fn cancel(&mut self, attempt: AttemptId, now: Instant) -> Vec<Action> {
        let waiting = self.waiting.iter();
        if let Some(index) = waiting.clone().position(|w| w.part.attempt == attempt) {
            let dropped = self.waiting.remove(index);
            let queue_time = now.saturating_duration_since(dropped.queued_at);
            let failure = Failure::not_run(Reason::Cancelled);
            let mut actions = vec![self.answer_unsent(&dropped.part, queue_time, failure)];
            actions.extend(self.advance(now));
            return actions;
        }
        let mut actions = self.abort(attempt, Reason::Cancelled, now);
        if !actions.is_empty() && self.is_overdue(attempt, now) {
            actions.push(Action::CloseIdle);
        }
        actions
    }

    /// Handles the completion of a started attempt and frees its slot.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        completion: Completion,
        now: Instant,
    ) -> Vec<Action> {
        let index = self.running.iter().position(|r| r.part.attempt == attempt);
        let Some(index) = index else {
            return Vec::new();
        };
        let ended = self.running.remove(index);
        let mut actions = self.record_completion(&ended, &completion, now);
        if !ended.is_answered {
            let service_time = now.saturating_duration_since(ended.started_at);
            let result = into_result(&ended.part, completion);
            actions.push(self.answer(&ended.part, ended.queue_time, service_time, result));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Handles the result of a request to the health endpoint.
    pub fn on_health(&mut self, health: Health, now: Instant) -> Vec<Action> {
        match health {
            Health::Answered { state, held } => {
                self.held = held;
                self.on_health_state(state, now);
                self.end_backoff();
            }
            Health::Unresponsive => {
                self.drain.on_health_timeout();
                if self.has_recent_failure(now) {
                    self.extend_backoff(now);
                }
            }
        }
        self.advance(now)
    }

    /// Sets whether the operator, the membership list or another VM reports that the leaf is
    /// draining.
    pub fn set_draining(&mut self, draining: bool, now: Instant) -> Vec<Action> {
        self.is_marked_draining = draining;
        self.advance(now)
    }

    /// Applies a changed contract or share of connections.
    pub fn configure(&mut self, contract: Contract, share: u16, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if share < self.connection_share {
            actions.push(Action::CloseIdle);
        }
        self.connection_share = share;
        self.concurrency.set_declared_slots(contract.slots);
        actions.extend(self.advance(now));
        actions
    }

    /// Performs the work that is due: aborts expired parts, probes the leaf, sheds parts and starts
    /// parts.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.abort_expired(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            actions.push(Action::Probe);
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Returns when `tick` must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let running = self.running.iter().filter(|r| !r.is_answered);
        let deadlines = running.map(|r| r.part.deadline);
        let latest_starts = self.waiting.iter().map(|w| self.latest_start(&w.part));
        deadlines
            .chain(latest_starts)
            .chain(self.not_before)
            .chain([self.next_probe])
            .min()
    }

    /// Returns the report on the leaf for a part of the given shard.
    pub fn report(&self, service: &str, shard: &str) -> Report {
        Report {
            owner: self.owner.clone(),
            state: self.state(),
            held: self.snapshots_of(service, shard).to_vec(),
            queued: self.waiting.len() as u32,
            busy: self.running.len() as u16,
            slots: self.slots(),
            queue_time: Duration::ZERO,
            service_time: Duration::ZERO,
            median: self.median(),
            p95: self.p95(),
        }
    }

    /// Returns the snapshots that the leaf holds, by shard.
    pub fn held_snapshots(&self) -> &[HeldSnapshots] {
        &self.held
    }

    /// Returns the leaf's state, whichever source reported it.
    pub fn state(&self) -> State {
        if self.is_marked_draining || self.drain.is_draining() {
            return State::Draining;
        }
        self.state
    }

    /// Returns whether the leaf itself reports that it is draining.
    pub fn is_leaf_draining(&self) -> bool {
        self.drain.is_draining()
    }

    /// Returns whether the leaf's health endpoint has confirmed that the leaf is draining.
    pub fn is_draining_confirmed(&self) -> bool {
        self.drain.is_confirmed()
    }

    /// Takes over the report of another owner that the leaf is draining. `confirmed` tells whether
    /// the leaf's health endpoint has confirmed it.
    pub fn inherit_draining(&mut self, confirmed: bool, now: Instant) {
        self.drain.inherit(confirmed, now);
    }

    /// Returns the number of parts that run or wait.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns whether no part runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn contains(&self, attempt: AttemptId) -> bool {
        let waits = self.waiting.iter().any(|w| w.part.attempt == attempt);
        waits || self.running.iter().any(|r| r.part.attempt == attempt)
    }

    fn snapshots_of(&self, service: &str, shard: &str) -> &[SnapshotId] {
        let found = self.held.iter().find(|held| held.is_for(service, shard));
        found.map_or(&[], |held| &held.snapshots)
    }

    fn median(&self) -> Duration {
        self.service_times.median().unwrap_or(ASSUMED_MEDIAN)
    }

    fn p95(&self) -> Duration {
        self.service_times
            .quantile(0.95)
            .unwrap_or(ASSUMED_MEDIAN * 4)
    }

    /// Returns how many parts may run at the same time: the adaptive limit, capped by the share of
    /// connections.
    fn slots(&self) -> u16 {
        self.concurrency.limit().min(self.connection_share)
    }

    /// Sheds the waiting parts that can't finish in time, then starts parts in the free slots.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        self.not_before = self.not_before.filter(|&until| now < until);
        let mut actions = self.shed_late(now);
        while let Some(start) = self.start_next(now) {
            actions.push(start);
        }
        actions
    }

    fn shed_late(&mut self, now: Instant) -> Vec<Action> {
        let closed = self.not_accepting_failure(now);
        let mut actions = Vec::new();
        let mut ahead = 0;
        while ahead < self.waiting.len() {
            let failure = closed.or_else(|| self.late_failure(ahead, now));
            let Some(failure) = failure else {
                ahead += 1;
                continue;
            };
            let dropped = self.waiting.remove(ahead);
            let queue_time = now.saturating_duration_since(dropped.queued_at);
            actions.push(self.answer_unsent(&dropped.part, queue_time, failure));
        }
        actions
    }

    fn start_next(&mut self, now: Instant) -> Option<Action> {
        if self.waiting.is_empty() || self.running.len() >= usize::from(self.slots()) {
            return None;
        }
        if self.not_before.is_some() {
            return None;
        }
        let next = self.waiting.remove(0);
        let connection = if next.part.idempotent {
            ConnectionKind::Any
        } else {
            ConnectionKind::Verified
        };
        self.running.push(Running {
            part: next.part.clone(),
            queue_time: now.saturating_duration_since(next.queued_at),
            started_at: now,
            is_answered: false,
        });
        Some(Action::Start {
            part: next.part,
            connection,
        })
    }

    fn answer_unsent(&self, part: &Part, queue_time: Duration, failure: Failure) -> Action {
        self.answer(part, queue_time, Duration::ZERO, Err(failure))
    }

    fn answer(
        &self,
        part: &Part,
        queue_time: Duration,
        service_time: Duration,
        result: Result<Reply, Failure>,
    ) -> Action {
        let report = Report {
            queue_time,
            service_time,
            ..self.report(&part.service, &part.shard)
        };
        Action::Answer(Outcome {
            attempt: part.attempt,
            result,
            report: Some(report),
        })
    }
}
