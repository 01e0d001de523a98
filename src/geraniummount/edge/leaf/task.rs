//! The thread of one owned leaf.
//!
//! It feeds events to the leaf's queue and does the actions that come back.
//! Requests run on worker threads, each with one connection; the task itself
//! never waits for the leaf, so that deadlines hold while a worker hangs.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use ureq::Agent;

use super::connections::{Connections, Held};
use super::event::Event;
use super::pool::{self, Shared};
use super::{Dump, exchange};
use crate::core::leaf_queue::{Action, Completion, ConnectionKind, Health, LeafQueue};
use crate::core::ownership;
use crate::edge::pending::Pending;
use crate::prelude::*;
use crate::util::published::Published;

/// Time between two looks at the published view.
const VIEW_PERIOD: Duration = Duration::from_millis(100);

/// A task without parts for so long ends.
const IDLE_END: Duration = Duration::from_secs(120);

/// As long for a leaf that this VM no longer owns.
const MOVED_END: Duration = Duration::from_secs(5);

const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);
const SHORTEST_OPEN_TIMEOUT: Duration = Duration::from_millis(250);
const OPEN_TIMEOUT_FACTOR: u32 = 20;

/// A part on a worker.
struct Running {
    attempt: AttemptId,
    agent: Agent,
    /// Whether its connection is being closed, whatever its reply.
    aborted: bool,
}

/// State of the thread.
pub(super) struct Task {
    pub(super) leaf: Leaf,
    pub(super) pool: Weak<Shared>,
    view: Arc<Published<View>>,
    pub(super) seen: Arc<View>,
    pub(super) queue: LeafQueue,
    connections: Connections,
    /// By attempt.
    pending: Vec<Pending>,
    running: Vec<Running>,
    /// Parts that the queue started while the share was used up.
    blocked: Vec<(Part, ConnectionKind)>,
    pub(super) says_draining: bool,
    pub(super) health_says_draining: bool,
    last_used: Instant,
    held: Arc<Published<pool::Known>>,
    events: Receiver<Event>,
    sender: Weak<SyncSender<Event>>,
}

impl Task {
    /// Prepares the task of a leaf.
    pub(super) fn new(
        leaf: Leaf,
        shared: &Arc<Shared>,
        held: Arc<Published<pool::Known>>,
        events: Receiver<Event>,
        sender: Weak<SyncSender<Event>>,
    ) -> Task {
        let now = Instant::now();
        let seen = shared.view.get();
        let share = share(&seen, &leaf);
        let connections = Connections::new(leaf.address, open_timeout(&leaf), share);
        Task {
            queue: LeafQueue::new(seen.me.clone(), leaf.contract, share, now),
            leaf,
            pool: Arc::downgrade(shared),
            view: Arc::clone(&shared.view),
            seen,
            connections,
            pending: Vec::new(),
            running: Vec::new(),
            blocked: Vec::new(),
            says_draining: false,
            health_says_draining: false,
            last_used: now,
            held,
            events,
            sender,
        }
    }

    /// Runs until the channel closes, or until the leaf is not used any more.
    pub(super) fn run(mut self) {
        if self.is_noted(&self.seen) {
            self.inherit_draining();
        }
        let told = self.told_draining();
        let first = self.queue.set_draining(told, Instant::now());
        self.perform(first);
        loop {
            match self.events.recv_timeout(self.wait()) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.follow_view();
            self.tick();
            self.notice_draining();
            self.retire_if_idle();
        }
        log::debug!("leaf: task of {} ends", self.leaf.name);
    }

    fn wait(&self) -> Duration {
        let wake = self.queue.next_wake();
        let due = wake.map(|at| at.saturating_duration_since(Instant::now()));
        due.unwrap_or(VIEW_PERIOD).min(VIEW_PERIOD)
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.queue.next_wake().is_some_and(|at| at <= now) {
            let actions = self.queue.tick(now);
            self.perform(actions);
        }
        self.connections.close_old(now);
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Submit(part, pending) => self.submit(part, pending, now),
            Event::Cancel(attempt) => {
                let actions = self.queue.cancel(attempt, now);
                self.perform(actions);
            }
            Event::Ended(attempt, ending, held) => self.end(attempt, ending, held, now),
            Event::Probed(health, held) => self.observe(health, held, now),
            Event::Released => self.start_blocked(),
            Event::Dump(reply) => drop(reply.try_send(self.dump())),
            Event::Touch => self.last_used = now,
        }
    }

    fn submit(&mut self, part: Part, pending: Pending, now: Instant) {
        self.last_used = now;
        let attempt = pending.attempt();
        match self.find_pending(attempt) {
            Ok(_) => return pending.fail(Failure::not_run(Reason::ReplyMismatch)),
            Err(place) => self.pending.insert(place, pending),
        }
        let actions = self.queue.submit(part, now);
        self.perform(actions);
    }

    fn end(&mut self, attempt: AttemptId, ending: Completion, held: Option<Held>, now: Instant) {
        let place = self.running.iter().position(|r| r.attempt == attempt);
        let running = place.map(|place| self.running.swap_remove(place));
        let aborted = running.is_some_and(|running| running.aborted);
        if let Some(held) = held.filter(|_| !aborted) {
            self.connections.put(held);
        }
        let not_held = matches!(ending, Completion::SnapshotNotHeld { .. });
        let actions = self.queue.finish(attempt, ending, now);
        self.perform(actions);
        if not_held {
            self.publish_held();
        }
        self.start_blocked();
    }

    fn observe(&mut self, health: Health, held: Option<Held>, now: Instant) {
        match (&health, held) {
            (Health::Answered { .. }, Some(held)) => self.connections.put(held),
            _ => self.connections.close_idle(),
        }
        let actions = self.queue.on_health(health, now);
        self.perform(actions);
        self.publish_held();
        self.start_blocked();
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { part, connection } => self.start(part, connection),
                Action::Abort(attempt) => self.abort(attempt),
                Action::Answer(outcome) => self.answer(outcome),
                Action::CloseIdle => self.connections.close_idle(),
                Action::Probe => self.probe(),
            }
        }
    }

    fn answer(&mut self, outcome: Outcome) {
        if let Ok(place) = self.find_pending(outcome.attempt) {
            self.pending.remove(place).answer(outcome);
        }
    }

    fn start(&mut self, part: Part, connection: ConnectionKind) {
        let Some(held) = self.connections.take(connection, Instant::now()) else {
            self.blocked.push((part, connection));
            return;
        };
        let attempt = part.attempt;
        let agent = held.connection.agent.clone();
        let limit = self.max_reply_bytes();
        let job = move |sender: &SyncSender<Event>| {
            let (ending, held) = held.carry(&part, limit);
            drop(sender.send(Event::Ended(part.attempt, ending, held)));
        };
        self.running.push(Running {
            attempt,
            agent,
            aborted: false,
        });
        if self.spawn(job) {
            if let Ok(place) = self.find_pending(attempt) {
                self.pending[place].mark_sent();
            }
            return;
        }
        let ending = Completion::NotSent(Reason::Stopping);
        self.end(attempt, ending, None, Instant::now());
    }

    fn start_blocked(&mut self) {
        while !self.blocked.is_empty() && self.connections.has_room() {
            let (part, connection) = self.blocked.remove(0);
            self.start(part, connection);
        }
    }

    fn abort(&mut self, attempt: AttemptId) {
        let waits = |entry: &(Part, ConnectionKind)| entry.0.attempt == attempt;
        if let Some(place) = self.blocked.iter().position(waits) {
            self.blocked.remove(place);
            let ending = Completion::NotSent(Reason::Cancelled);
            return self.end(attempt, ending, None, Instant::now());
        }
        let mut running = self.running.iter_mut();
        let Some(found) = running.find(|r| r.attempt == attempt) else {
            return;
        };
        found.aborted = true;
        let agent = found.agent.clone();
        let Some(held) = self.connections.open_new(Instant::now()) else {
            return agent.shutdown();
        };
        let job_agent = agent.clone();
        let job = move |sender: &SyncSender<Event>| {
            exchange::cancel(&held.connection, attempt, CANCEL_TIMEOUT);
            job_agent.shutdown();
            drop(held);
            drop(sender.send(Event::Released));
        };
        if !self.spawn(job) {
            agent.shutdown();
        }
    }

    fn probe(&mut self) {
        let Some(held) = self.connections.take_for_probe(Instant::now()) else {
            return;
        };
        self.spawn(move |sender: &SyncSender<Event>| {
            let (health, held) = held.probe(PROBE_TIMEOUT);
            drop(sender.send(Event::Probed(health, held)));
        });
    }

    fn spawn(&self, job: impl FnOnce(&SyncSender<Event>) + Send + 'static) -> bool {
        let (Some(pool), Some(sender)) = (self.pool.upgrade(), self.sender.upgrade()) else {
            return false;
        };
        let sender = SyncSender::clone(&sender);
        pool.workers.run(move || job(&sender))
    }

    fn follow_view(&mut self) {
        let view = self.view.get();
        if Arc::ptr_eq(&view, &self.seen) {
            return;
        }
        let is_news = !self.is_noted(&self.seen) && self.is_noted(&view);
        self.seen = view;
        if is_news && !self.says_draining {
            self.inherit_draining();
        }
        if let Some(record) = self.seen.catalog.leaf(&self.leaf.name) {
            self.leaf = record.spec.clone();
        }
        let share = share(&self.seen, &self.leaf);
        let timeout = open_timeout(&self.leaf);
        self.connections
            .configure(self.leaf.address, timeout, share);
        let now = Instant::now();
        let mut actions = self.queue.configure(self.leaf.contract, share, now);
        let told = self.told_draining();
        actions.extend(self.queue.set_draining(told, now));
        self.perform(actions);
    }

    fn publish_held(&self) {
        let held = self.queue.held_snapshots().to_vec();
        let known = self.held.get();
        if known.observed && known.held == held {
            return;
        }
        self.held.set(pool::Known {
            observed: true,
            held,
        });
    }

    fn retire_if_idle(&mut self) {
        let busy = !self.pending.is_empty() || !self.running.is_empty();
        let unused = self.last_used.elapsed();
        if busy || unused < MOVED_END {
            return;
        }
        let owned = ownership::route(&self.seen, &self.leaf) == ownership::Route::Local;
        if owned && unused < IDLE_END {
            return;
        }
        let Some(pool) = self.pool.upgrade() else {
            return;
        };
        if let Some(event) = pool.retire(&self.leaf.name, &self.events) {
            self.handle(event);
        }
    }

    fn find_pending(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.pending
            .binary_search_by_key(&attempt, Pending::attempt)
    }

    fn max_reply_bytes(&self) -> u64 {
        let pool = self.pool.upgrade();
        pool.map_or(0, |pool| pool.max_reply_bytes)
    }

    fn dump(&self) -> Dump {
        let report = self.queue.report("", "");
        Dump {
            leaf: self.leaf.name.clone(),
            state: report.state,
            queued: report.queued,
            busy: report.busy,
            slots: report.slots,
            connections: self.connections.open(),
            idle_connections: self.connections.idle(),
            connection_share: share(&self.seen, &self.leaf),
            median_us: report.median.as_micros() as u64,
            high_us: report.p95.as_micros() as u64,
        }
    }
}

fn share(view: &View, leaf: &Leaf) -> u16 {
    let rank = ownership::rank(view, leaf);
    rank.map_or(0, |rank| ownership::connection_share(&leaf.contract, rank))
}

fn open_timeout(leaf: &Leaf) -> Duration {
    let usual = Duration::from_millis(u64::from(leaf.contract.open_ms));
    SHORTEST_OPEN_TIMEOUT.max(usual * OPEN_TIMEOUT_FACTOR)
}
