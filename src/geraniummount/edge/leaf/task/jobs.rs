//! Jobs of a leaf's task that run on worker threads: sending a part, cancelling it, and a probe.

use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use super::{Running, Task};
use crate::core::leaf_queue::{Completion, ConnectionKind};
use crate::edge::leaf::event::Event;
use crate::edge::leaf::exchange;
use crate::prelude::*;

/// Time limit of a probe that the queue asks for.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of the request that cancels an attempt at the leaf.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);

impl Task {
    pub(super) fn start(&mut self, part: Part, connection: ConnectionKind) {
        let Some(pooled) = self.connections.take(connection, Instant::now()) else {
            self.blocked.push((part, connection));
            return;
        };
        let attempt = part.attempt;
        let agent = pooled.connection.agent.clone();
        let limit = self.max_reply_bytes();
        let job = move |sender: &SyncSender<Event>| {
            let (completion, pooled) = pooled.send(&part, limit);
            drop(sender.send(Event::Completed(part.attempt, completion, pooled)));
        };
        self.running.push(Running {
            attempt,
            agent,
            is_aborted: false,
        });
        if self.spawn(job) {
            if let Ok(index) = self.find_pending(attempt) {
                self.pending[index].mark_sent();
            }
            return;
        }
        let completion = Completion::NotSent(Reason::Stopping);
        self.complete(attempt, completion, None, Instant::now());
    }

    pub(super) fn start_blocked(&mut self) {
        while !self.blocked.is_empty() && self.connections.has_available() {
            let (part, connection) = self.blocked.remove(0);
            self.start(part, connection);
        }
    }

    /// Aborts an attempt. An attempt that waits for a connection ends as not sent. One that is
    /// being sent is cancelled at the leaf over another connection, if one may be opened, and its
    /// own connection is closed.
    pub(super) fn abort(&mut self, attempt: AttemptId) {
        let is_match = |entry: &(Part, ConnectionKind)| entry.0.attempt == attempt;
        if let Some(index) = self.blocked.iter().position(is_match) {
            self.blocked.remove(index);
            let completion = Completion::NotSent(Reason::Cancelled);
            return self.complete(attempt, completion, None, Instant::now());
        }
        let mut running = self.running.iter_mut();
        let Some(found) = running.find(|r| r.attempt == attempt) else {
            return;
        };
        found.is_aborted = true;
        let agent = found.agent.clone();
        let Some(pooled) = self.connections.open_new(Instant::now()) else {
            return agent.shutdown();
        };
        let job_agent = agent.clone();
        let job = move |sender: &SyncSender<Event>| {
            exchange::cancel(&pooled.connection, attempt, CANCEL_TIMEOUT);
            job_agent.shutdown();
            drop(pooled);
            drop(sender.send(Event::ConnectionReleased));
        };
        if !self.spawn(job) {
            agent.shutdown();
        }
    }

    pub(super) fn probe(&mut self) {
        let Some(pooled) = self.connections.take_for_probe(Instant::now()) else {
            return;
        };
        self.spawn(move |sender: &SyncSender<Event>| {
            let (health, pooled) = pooled.probe(PROBE_TIMEOUT);
            drop(sender.send(Event::Probed(health, pooled)));
        });
    }

    /// Runs a job on a worker thread. Returns whether it was started.
    fn spawn(&self, job: impl FnOnce(&SyncSender<Event>) + Send + 'static) -> bool {
        let (Some(pool), Some(sender)) = (self.pool.upgrade(), self.sender.upgrade()) else {
            return false;
        };
        let sender = SyncSender::clone(&sender);
        pool.workers.run(move || job(&sender))
    }
}
