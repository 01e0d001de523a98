//! Task of one leaf that this VM owns: a loop on a thread of its own.
//!
//! The owner of a leaf holds the leaf's queue of parts. A part is the share of a request that goes
//! to one shard, and an attempt is one try to run it. The VM's share of the leaf's connections is
//! the number of connections that the VM may open to the leaf. A probe is a request to the leaf's
//! health endpoint. The view holds the configuration in force, and what this VM knows of the other
//! VMs and of draining leaves.
//!
//! The task passes events to the leaf's queue and performs the actions that the queue returns.
//! Requests run on worker threads, each with one connection. The task itself never waits for the
//! leaf, which lets it enforce deadlines while a worker is blocked. [`jobs`] starts and aborts
//! them.

mod jobs;

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use ureq::Agent;

use super::Dump;
use super::connections::{Connections, PooledConnection};
use super::event::Event;
use super::shared::{KnownSnapshots, Shared};
use crate::core::leaf_queue::{Action, Completion, ConnectionKind, Health, LeafQueue};
use crate::core::ownership;
use crate::edge::pending::Pending;
use crate::prelude::*;
use crate::util::published::Published;

/// Maximum time between two checks for a new view.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Idle time after which a task ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Idle time after which a task ends if this VM no longer owns the leaf.
const MOVED_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum time limit for opening a connection.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Ratio of the time limit for opening a connection to the usual time, which the leaf's contract
/// names.
const CONNECT_TIMEOUT_FACTOR: u32 = 20;

/// A part that a worker is sending.
struct Running {
    attempt: AttemptId,
    agent: Agent,
    /// Whether the attempt was aborted. Its connection is then closed even if a reply arrives.
    is_aborted: bool,
}

/// State of the task.
pub(super) struct Task {
    /// Configuration of the leaf.
    pub(super) leaf: Leaf,
    pub(super) pool: Weak<Shared>,
    /// Current view.
    view: Arc<Published<View>>,
    /// View that the task last applied.
    pub(super) known_view: Arc<View>,
    pub(super) queue: LeafQueue,
    connections: Connections,
    /// Unanswered parts, sorted by attempt.
    pending: Vec<Pending>,
    /// Parts that workers are sending.
    running: Vec<Running>,
    /// Parts that the queue has started and that wait for a connection, because this VM's share of
    /// the leaf's connections is used up.
    blocked: Vec<(Part, ConnectionKind)>,
    /// Whether the leaf is draining according to what this task last published or adopted.
    pub(super) leaf_reports_draining: bool,
    /// Whether the leaf's health endpoint confirms that, as last published or adopted.
    pub(super) health_reports_draining: bool,
    /// When a part was last submitted, or the leaf's snapshots were last asked for.
    last_used: Instant,
    /// Snapshots (versions of the index) that the leaf holds, as published to the pool of tasks.
    known_snapshots: Arc<Published<KnownSnapshots>>,
    events: Receiver<Event>,
    /// Sender of `events` for workers; weak, so that the task itself does not keep the channel
    /// open.
    sender: Weak<SyncSender<Event>>,
}

impl Task {
    /// Creates the task of a leaf, without starting it.
    pub(super) fn new(
        leaf: Leaf,
        shared: &Arc<Shared>,
        known_snapshots: Arc<Published<KnownSnapshots>>,
        events: Receiver<Event>,
        sender: Weak<SyncSender<Event>>,
    ) -> Task {
        let now = Instant::now();
        let known_view = shared.view.get();
        let share = share(&known_view, &leaf);
        let connections = Connections::new(leaf.address, connect_timeout(&leaf), share);
        Task {
            queue: LeafQueue::new(known_view.me.clone(), leaf.contract, share, now),
            leaf,
            pool: Arc::downgrade(shared),
            view: Arc::clone(&shared.view),
            known_view,
            connections,
            pending: Vec::new(),
            running: Vec::new(),
            blocked: Vec::new(),
            leaf_reports_draining: false,
            health_reports_draining: false,
            last_used: now,
            known_snapshots,
            events,
            sender,
        }
    }

    /// Runs until the channel closes, which also happens when the task retires because the leaf is
    /// no longer used.
    pub(super) fn run(mut self) {
        if self.is_listed_draining(&self.known_view) {
            self.inherit_draining();
        }
        let is_draining = self.is_externally_draining();
        let actions = self.queue.set_draining(is_draining, Instant::now());
        self.perform(actions);
        loop {
            match self.events.recv_timeout(self.wait()) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.update_view();
            self.tick();
            self.publish_draining();
            if let Some(pool) = self.pool.upgrade() {
                pool.check_links();
            }
            self.retire_if_idle();
        }
        log::debug!("leaf: task of {} ended", self.leaf.name);
    }

    fn wait(&self) -> Duration {
        let wake = self.queue.next_wake();
        let until_wake = wake.map(|at| at.saturating_duration_since(Instant::now()));
        until_wake
            .unwrap_or(VIEW_POLL_INTERVAL)
            .min(VIEW_POLL_INTERVAL)
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.queue.next_wake().is_some_and(|at| at <= now) {
            let actions = self.queue.tick(now);
            self.perform(actions);
        }
        self.connections.close_expired(now);
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Submit(part, pending) => self.submit(part, pending, now),
            Event::Cancel(attempt) => {
                let actions = self.queue.cancel(attempt, now);
                self.perform(actions);
            }
            Event::Completed(attempt, completion, pooled) => {
                self.complete(attempt, completion, pooled, now)
            }
            Event::Probed(health, pooled) => self.on_health(health, pooled, now),
            Event::ConnectionReleased => self.start_blocked(),
            Event::Check => self.probe(),
            Event::Dump(reply) => drop(reply.try_send(self.dump())),
            Event::Touch => self.last_used = now,
        }
    }

    fn submit(&mut self, part: Part, pending: Pending, now: Instant) {
        self.last_used = now;
        let attempt = pending.attempt();
        match self.find_pending(attempt) {
            Ok(_) => return pending.fail(Failure::not_run(Reason::ReplyMismatch)),
            Err(index) => self.pending.insert(index, pending),
        }
        let actions = self.queue.submit(part, now);
        self.perform(actions);
    }

    fn complete(
        &mut self,
        attempt: AttemptId,
        completion: Completion,
        pooled: Option<PooledConnection>,
        now: Instant,
    ) {
        let index = self.running.iter().position(|r| r.attempt == attempt);
        let running = index.map(|index| self.running.swap_remove(index));
        let is_aborted = running.is_some_and(|running| running.is_aborted);
        if let Some(pooled) = pooled.filter(|_| !is_aborted) {
            self.connections.put(pooled);
        }
        self.record_link(&completion);
        let not_held = matches!(completion, Completion::SnapshotNotHeld { .. });
        let actions = self.queue.finish(attempt, completion, now);
        self.perform(actions);
        if not_held {
            self.publish_held();
        }
        self.start_blocked();
    }

    fn on_health(&mut self, health: Health, pooled: Option<PooledConnection>, now: Instant) {
        if let Some(pool) = self.pool.upgrade() {
            match health {
                Health::Answered { .. } => pool.links.on_response(),
                Health::Unresponsive => pool.links.on_failure(&self.leaf.name),
            }
        }
        match (&health, pooled) {
            (Health::Answered { .. }, Some(pooled)) => self.connections.put(pooled),
            _ => self.connections.close_idle(),
        }
        let actions = self.queue.on_health(health, now);
        self.perform(actions);
        self.publish_held();
        self.start_blocked();
    }

    /// Records what the completion of an attempt says about this VM's link to the leaf.
    fn record_link(&self, completion: &Completion) {
        let Some(pool) = self.pool.upgrade() else {
            return;
        };
        match completion {
            Completion::Replied { .. }
            | Completion::Shed { .. }
            | Completion::SnapshotNotHeld { .. }
            | Completion::LeafError => pool.links.on_response(),
            Completion::NotSent(Reason::ConnectFailed)
            | Completion::Interrupted(_)
            | Completion::TimedOut => pool.links.on_failure(&self.leaf.name),
            Completion::NotSent(_) => {}
        }
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
        if let Ok(index) = self.find_pending(outcome.attempt) {
            self.pending.remove(index).answer(outcome);
        }
    }

    fn update_view(&mut self) {
        let view = self.view.get();
        if Arc::ptr_eq(&view, &self.known_view) {
            return;
        }
        let is_newly_draining =
            !self.is_listed_draining(&self.known_view) && self.is_listed_draining(&view);
        self.known_view = view;
        if is_newly_draining && !self.leaf_reports_draining {
            self.inherit_draining();
        }
        if let Some(record) = self.known_view.catalog.leaf(&self.leaf.name) {
            self.leaf = record.spec.clone();
        }
        let share = share(&self.known_view, &self.leaf);
        let timeout = connect_timeout(&self.leaf);
        self.connections
            .configure(self.leaf.address, timeout, share);
        let now = Instant::now();
        let mut actions = self.queue.configure(self.leaf.contract, share, now);
        let is_draining = self.is_externally_draining();
        actions.extend(self.queue.set_draining(is_draining, now));
        self.perform(actions);
    }

    fn publish_held(&self) {
        let held = self.queue.held_snapshots().to_vec();
        let known = self.known_snapshots.get();
        if known.is_observed && known.held == held {
            return;
        }
        self.known_snapshots.set(KnownSnapshots {
            is_observed: true,
            held,
        });
    }

    fn retire_if_idle(&mut self) {
        let busy = !self.pending.is_empty() || !self.running.is_empty();
        let unused = self.last_used.elapsed();
        if busy || unused < MOVED_IDLE_TIMEOUT {
            return;
        }
        let owned = ownership::route(&self.known_view, &self.leaf) == ownership::Route::Local;
        if owned && unused < IDLE_TIMEOUT {
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
            connections: self.connections.open_count(),
            idle_connections: self.connections.idle_count(),
            connection_share: share(&self.known_view, &self.leaf),
            median_us: report.median.as_micros() as u64,
            high_us: report.p95.as_micros() as u64,
        }
    }
}

fn share(view: &View, leaf: &Leaf) -> u16 {
    match ownership::rank(view, leaf) {
        Some(rank) => ownership::connection_share(&leaf.contract, rank),
        None => ownership::stand_in_share(&leaf.contract),
    }
}

fn connect_timeout(leaf: &Leaf) -> Duration {
    let usual = Duration::from_millis(u64::from(leaf.contract.open_ms));
    MIN_CONNECT_TIMEOUT.max(usual * CONNECT_TIMEOUT_FACTOR)
}
