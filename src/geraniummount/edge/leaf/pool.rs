//! The tasks of the leaves that this VM owns, which means that it holds their queues.
//!
//! A task starts with the first event for its leaf and removes itself when it is no longer used.
//! Events are sent under a shared lock of the list of tasks, and a task is removed under an
//! exclusive one, which guarantees that no event is sent to a task that has ended.

use std::sync::mpsc::{self, TrySendError};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::Duration;

use super::Dump;
use super::event::Event;
use super::links::Links;
use super::shared::{DrainingListener, Entry, KnownSnapshots, Shared, find};
use super::task::Task;
use crate::edge::pending::Pending;
use crate::edge::workers::Workers;
use crate::prelude::*;
use crate::util::published::Published;

/// Capacity of a task's event channel.
const MAX_PENDING_EVENTS: usize = 1024;

/// Stack size of each task's thread.
const STACK_BYTES: usize = 256 * 1024;

/// Retry delay of a part that could not be passed to its leaf's task.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Maximum time to wait for the next task's state.
const DUMP_TIMEOUT: Duration = Duration::from_millis(100);

/// All leaf tasks of this VM.
pub struct Pool {
    shared: Arc<Shared>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(
        view: Arc<Published<View>>,
        on_draining: DrainingListener,
        max_reply_bytes: usize,
    ) -> Pool {
        let shared = Shared {
            view,
            on_draining,
            max_reply_bytes: max_reply_bytes as u64,
            workers: Workers::default(),
            tasks: RwLock::default(),
            links: Links::default(),
        };
        Pool {
            shared: Arc::new(shared),
        }
    }

    /// Submits a part (the share of a request that goes to one shard) to the task of its leaf,
    /// which is started if needed. Fails the part if the task's channel is full or closed, or if
    /// the task can't be started.
    pub fn submit(&self, leaf: &Leaf, part: Part, pending: Pending) {
        self.send(leaf, Event::Submit(part, pending));
    }

    /// Cancels an attempt, which is one try to run a part. Does nothing if the leaf has no task or
    /// the task's channel is full.
    pub fn cancel(&self, attempt: AttemptId, leaf: &LeafName) {
        let tasks = self.shared.read();
        if let Ok(index) = find(&tasks, leaf) {
            drop(tasks[index].sender.try_send(Event::Cancel(attempt)));
        }
    }

    /// Returns the snapshots of a service's shard that the leaf holds, or `None` if the leaf has
    /// not reported its snapshots yet.
    pub fn held_snapshots(
        &self,
        leaf: &Leaf,
        service: &str,
        shard: &str,
    ) -> Option<Vec<SnapshotId>> {
        self.send(leaf, Event::Touch);
        let tasks = self.shared.read();
        let index = find(&tasks, &leaf.name).ok()?;
        let known = tasks[index].known.get();
        let held = known.held.iter().find(|held| held.is_for(service, shard));
        let snapshots = held.map_or(Vec::new(), |held| held.snapshots.clone());
        known.is_observed.then_some(snapshots)
    }

    /// Stops all tasks by closing their channels.
    pub fn stop(&self) {
        self.shared.write().clear();
    }

    /// Returns the state of each task that answers in time.
    pub fn dump(&self) -> Vec<Dump> {
        let (sender, receiver) = mpsc::sync_channel(MAX_PENDING_EVENTS);
        for entry in self.shared.read().iter() {
            drop(entry.sender.try_send(Event::Dump(sender.clone())));
        }
        drop(sender);
        let mut dumps = Vec::new();
        while let Ok(dump) = receiver.recv_timeout(DUMP_TIMEOUT) {
            dumps.push(dump);
        }
        dumps.sort_by(|a: &Dump, b| a.leaf.cmp(&b.leaf));
        dumps
    }

    /// Returns whether this VM reaches none of its leaves.
    pub fn has_lost_links(&self) -> bool {
        self.shared.links.is_lost()
    }

    /// Returns the number of worker threads.
    pub fn worker_threads(&self) -> usize {
        self.shared.workers.thread_count()
    }

    fn send(&self, leaf: &Leaf, event: Event) {
        let tasks = self.shared.read();
        if let Ok(index) = find(&tasks, &leaf.name) {
            return deliver(&tasks[index], event);
        }
        drop(tasks);
        let mut tasks = self.shared.write();
        let index = match find(&tasks, &leaf.name) {
            Ok(index) => index,
            Err(index) => {
                let Some(entry) = self.start(leaf) else {
                    return reject(event, Reason::Shed);
                };
                tasks.insert(index, entry);
                index
            }
        };
        deliver(&tasks[index], event);
    }

    fn start(&self, leaf: &Leaf) -> Option<Entry> {
        let (sender, events) = mpsc::sync_channel(MAX_PENDING_EVENTS);
        let sender = Arc::new(sender);
        let known = Arc::new(Published::new(KnownSnapshots::default()));
        let weak = Arc::downgrade(&sender);
        let task = Task::new(leaf.clone(), &self.shared, Arc::clone(&known), events, weak);
        let thread = thread::Builder::new()
            .name("leaf".to_owned())
            .stack_size(STACK_BYTES);
        if let Err(error) = thread.spawn(move || task.run()) {
            log::error!("leaf: failed to start a task thread: {error}; raise the limit on threads");
            return None;
        }
        Some(Entry {
            leaf: leaf.name.clone(),
            sender,
            known,
        })
    }
}

fn deliver(entry: &Entry, event: Event) {
    match entry.sender.try_send(event) {
        Ok(()) => {}
        Err(TrySendError::Full(event)) => reject(event, Reason::QueueFull),
        Err(TrySendError::Disconnected(event)) => reject(event, Reason::Shed),
    }
}

fn reject(event: Event, reason: Reason) {
    if let Event::Submit(_, pending) = event {
        pending.fail(Failure::not_run(reason).with_retry_after(FULL_RETRY_AFTER));
    }
}
