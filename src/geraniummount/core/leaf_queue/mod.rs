//! The queue in front of one leaf, held by the VM that owns the leaf.
//!
//! A part goes through it in three steps: it is submitted, it starts on a
//! connection when the leaf has a free slot, and the connection tells how it
//! ended. Each submitted part is answered exactly once, at the latest at its
//! deadline. A part that can't be served in time is answered in the step that
//! shows it, with the time after which coming back may help.
//!
//! Only here slots and connections are counted, so that all VMs together keep
//! the leaf's contract.

mod abort;
mod action;
mod admission;
mod drain;
mod ending;
mod health;
mod learning;

use std::time::{Duration, Instant};

use crate::core::concurrency::Concurrency;
use crate::core::contract::Contract;
use crate::core::duration_window::DurationWindow;
use crate::core::leaf::State;
use crate::prelude::*;

use self::drain::Drain;
use self::ending::judge;
use self::learning::Pause;

pub use self::action::{Action, Use};
pub use self::ending::Ending;
pub use self::health::{Health, Held};

/// Time between two looks at the leaf's health endpoint.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time at the leaf that is assumed before any answer came.
const ASSUMED_MEDIAN: Duration = Duration::from_millis(5);

/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Shortest wait after the leaf shed a part with no other part running.
const SHED_WAIT: Duration = Duration::from_millis(10);

/// Queue, slots and state of one owned leaf.
#[derive(Clone, Debug)]
pub struct LeafQueue {
    owner: VmName,
    share: u16,
    concurrency: Concurrency,
    served: DurationWindow,
    last_answer: Option<Instant>,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    held: Vec<Held>,
    told_draining: bool,
    state: State,
    drain: Drain,
    failures: u32,
    last_failure: Option<Instant>,
    pause: Option<Pause>,
    not_before: Option<Instant>,
    next_probe: Instant,
}

#[derive(Clone, Debug)]
struct Waiting {
    part: Part,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Running {
    part: Part,
    waited: Duration,
    since: Instant,
    answered: bool,
}

impl LeafQueue {
    /// Creates the queue of a leaf with a share of its connections.
    pub fn new(owner: VmName, contract: Contract, share: u16, now: Instant) -> LeafQueue {
        LeafQueue {
            owner,
            share,
            concurrency: Concurrency::new(contract.slots),
            served: DurationWindow::default(),
            last_answer: None,
            waiting: Vec::new(),
            running: Vec::new(),
            held: Vec::new(),
            told_draining: false,
            state: State::Serving,
            drain: Drain::default(),
            failures: 0,
            last_failure: None,
            pause: None,
            not_before: None,
            next_probe: now,
        }
    }

    /// Takes a part; an attempt that is already here is ignored.
    pub fn submit(&mut self, part: Part, now: Instant) -> Vec<Action> {
        if self.holds(part.attempt) {
            return Vec::new();
        }
        if let Some(failure) = self.refusal(&part, now) {
            return vec![self.answer_unsent(&part, Duration::ZERO, failure)];
        }
        self.waiting.push(Waiting { part, since: now });
        self.advance(now)
    }

    /// Gives up an attempt; it is answered at once.
    pub fn cancel(&mut self, attempt: AttemptId, now: Instant) -> Vec<Action> {
        let waiting = self.waiting.iter();
        if let Some(place) = waiting.clone().position(|w| w.part.attempt == attempt) {
            let dropped = self.waiting.remove(place);
            let waited = now.saturating_duration_since(dropped.since);
            let failure = Failure::not_run(Reason::Cancelled);
            let mut actions = vec![self.answer_unsent(&dropped.part, waited, failure)];
            actions.extend(self.advance(now));
            return actions;
        }
        let mut actions = self.abort(attempt, Reason::Cancelled, now);
        if !actions.is_empty() && self.is_overdue(attempt, now) {
            actions.push(Action::CloseIdle);
        }
        actions
    }

    /// Takes the end of a started attempt and frees its slot.
    pub fn finish(&mut self, attempt: AttemptId, ending: Ending, now: Instant) -> Vec<Action> {
        let place = self.running.iter().position(|r| r.part.attempt == attempt);
        let Some(place) = place else {
            return Vec::new();
        };
        let ended = self.running.remove(place);
        let mut actions = self.learn(&ended, &ending, now);
        if !ended.answered {
            let served = now.saturating_duration_since(ended.since);
            let result = judge(&ended.part, ending);
            actions.push(self.answer(&ended.part, ended.waited, served, result));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Takes an answer of the health endpoint.
    pub fn observe(&mut self, health: Health, now: Instant) -> Vec<Action> {
        match health {
            Health::Answered { state, held } => {
                self.held = held;
                self.believe(state, now);
                self.end_pause();
            }
            Health::Silent => {
                self.drain.silence();
                if self.failed_lately(now) {
                    self.lengthen_pause(now);
                }
            }
        }
        self.advance(now)
    }

    /// Takes what the operator, the membership list or another VM says.
    pub fn set_draining(&mut self, draining: bool, now: Instant) -> Vec<Action> {
        self.told_draining = draining;
        self.advance(now)
    }

    /// Takes over a changed contract or share of connections.
    pub fn configure(&mut self, contract: Contract, share: u16, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if share < self.share {
            actions.push(Action::CloseIdle);
        }
        self.share = share;
        self.concurrency.declare(contract.slots);
        actions.extend(self.advance(now));
        actions
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.abort_late(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            actions.push(Action::Probe);
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Returns when `tick` is due next.
    pub fn next_wake(&self) -> Option<Instant> {
        let running = self.running.iter().filter(|r| !r.answered);
        let deadlines = running.map(|r| r.part.deadline);
        let useless = self.waiting.iter().map(|w| self.last_start(&w.part));
        deadlines
            .chain(useless)
            .chain(self.not_before)
            .chain([self.next_probe])
            .min()
    }

    /// Returns the leaf's state for a part of a shard.
    pub fn report(&self, service: &str, shard: &str) -> Report {
        Report {
            owner: self.owner.clone(),
            state: self.state(),
            held: self.held(service, shard).to_vec(),
            queued: self.waiting.len() as u32,
            busy: self.running.len() as u16,
            slots: self.slots(),
            waited: Duration::ZERO,
            served: Duration::ZERO,
            median: self.median(),
            high: self.high(),
        }
    }

    /// Returns the snapshots that the leaf holds, by shard.
    pub fn holdings(&self) -> &[Held] {
        &self.held
    }

    /// Returns the leaf's state, whoever told it.
    pub fn state(&self) -> State {
        if self.told_draining || self.drain.is_draining() {
            return State::Draining;
        }
        self.state
    }

    /// Returns whether the leaf itself says that it is leaving.
    pub fn says_draining(&self) -> bool {
        self.drain.is_draining()
    }

    /// Returns whether the leaf's health endpoint has confirmed that.
    pub fn health_says_draining(&self) -> bool {
        self.drain.is_confirmed()
    }

    /// Takes over what another owner heard the leaf say: that it is leaving,
    /// and whether its health endpoint has confirmed that.
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

    fn holds(&self, attempt: AttemptId) -> bool {
        let waits = self.waiting.iter().any(|w| w.part.attempt == attempt);
        waits || self.running.iter().any(|r| r.part.attempt == attempt)
    }

    fn held(&self, service: &str, shard: &str) -> &[SnapshotId] {
        let found = self.held.iter().find(|held| held.is_of(service, shard));
        found.map_or(&[], |held| &held.snapshots)
    }

    fn median(&self) -> Duration {
        self.served.median().unwrap_or(ASSUMED_MEDIAN)
    }

    fn high(&self) -> Duration {
        self.served.quantile(0.95).unwrap_or(ASSUMED_MEDIAN * 4)
    }

    /// Parts that may run at once: the adaptive limit within the share.
    fn slots(&self) -> u16 {
        self.concurrency.limit().min(self.share)
    }

    /// Drops what has become hopeless, then starts what fits.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        self.not_before = self.not_before.filter(|&until| now < until);
        let mut actions = self.drop_hopeless(now);
        while let Some(start) = self.start_next(now) {
            actions.push(start);
        }
        actions
    }

    fn drop_hopeless(&mut self, now: Instant) -> Vec<Action> {
        let closed = self.closed(now);
        let mut actions = Vec::new();
        let mut ahead = 0;
        while ahead < self.waiting.len() {
            let failure = closed.or_else(|| self.hopeless(ahead, now));
            let Some(failure) = failure else {
                ahead += 1;
                continue;
            };
            let dropped = self.waiting.remove(ahead);
            let waited = now.saturating_duration_since(dropped.since);
            actions.push(self.answer_unsent(&dropped.part, waited, failure));
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
            Use::Any
        } else {
            Use::Proven
        };
        self.running.push(Running {
            part: next.part.clone(),
            waited: now.saturating_duration_since(next.since),
            since: now,
            answered: false,
        });
        Some(Action::Start {
            part: next.part,
            connection,
        })
    }

    fn answer_unsent(&self, part: &Part, waited: Duration, failure: Failure) -> Action {
        self.answer(part, waited, Duration::ZERO, Err(failure))
    }

    fn answer(
        &self,
        part: &Part,
        waited: Duration,
        served: Duration,
        result: Result<Reply, Failure>,
    ) -> Action {
        let report = Report {
            waited,
            served,
            ..self.report(&part.service, &part.shard)
        };
        Action::Answer(Outcome {
            attempt: part.attempt,
            result,
            report: Some(report),
        })
    }
}
