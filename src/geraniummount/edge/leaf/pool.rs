//! The tasks of the leaves that this VM owns.
//!
//! A task starts with the first part for its leaf and takes itself out when
//! it is not used any more. Parts enter under a shared lock and a task leaves
//! under an exclusive one, so that no part falls between.

use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use super::Dump;
use super::event::Event;
use super::task::Task;
use crate::core::gossip::Source;
use crate::core::leaf_queue;
use crate::edge::pending::Pending;
use crate::edge::workers::Workers;
use crate::prelude::*;
use crate::util::published::Published;

/// Told when a leaf says that it is leaving (`true`) or serves again, and
/// whether its health endpoint says so.
pub type DrainingNotice = Box<dyn Fn(&LeafName, Source, bool) + Send + Sync>;

/// Events that wait for one task at most.
const EVENTS: usize = 1024;

const STACK_BYTES: usize = 256 * 1024;
const FULL_RETRY: Duration = Duration::from_millis(20);
const DUMP_WAIT: Duration = Duration::from_millis(100);

/// What a task last heard of its leaf's snapshots.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    /// Whether the leaf was asked at all.
    pub(super) observed: bool,
    /// Snapshots by shard.
    pub(super) held: Vec<leaf_queue::HeldSnapshots>,
}

/// State that tasks share.
pub(super) struct Shared {
    pub(super) view: Arc<Published<View>>,
    pub(super) draining: DrainingNotice,
    pub(super) max_reply_bytes: u64,
    pub(super) workers: Workers,
    tasks: RwLock<Vec<Entry>>,
}

struct Entry {
    leaf: LeafName,
    sender: Arc<SyncSender<Event>>,
    known: Arc<Published<Known>>,
}

/// All leaf tasks of this VM.
pub struct Pool {
    shared: Arc<Shared>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(
        view: Arc<Published<View>>,
        draining: DrainingNotice,
        max_reply_bytes: usize,
    ) -> Pool {
        let shared = Shared {
            view,
            draining,
            max_reply_bytes: max_reply_bytes as u64,
            workers: Workers::default(),
            tasks: RwLock::default(),
        };
        Pool {
            shared: Arc::new(shared),
        }
    }

    /// Hands a part to the task of its leaf.
    pub fn submit(&self, leaf: &Leaf, part: Part, pending: Pending) {
        self.send(leaf, Event::Submit(part, pending));
    }

    /// Gives up an attempt.
    pub fn cancel(&self, attempt: AttemptId, leaf: &LeafName) {
        let tasks = self.shared.read();
        if let Ok(place) = find(&tasks, leaf) {
            drop(tasks[place].sender.try_send(Event::Cancel(attempt)));
        }
    }

    /// Returns what the leaf holds of a service's shard; `None` until it was asked.
    pub fn held(&self, leaf: &Leaf, service: &str, shard: &str) -> Option<Vec<SnapshotId>> {
        self.send(leaf, Event::Touch);
        let tasks = self.shared.read();
        let place = find(&tasks, &leaf.name).ok()?;
        let known = tasks[place].known.get();
        let held = known.held.iter().find(|held| held.is_for(service, shard));
        let snapshots = held.map_or(Vec::new(), |held| held.snapshots.clone());
        known.observed.then_some(snapshots)
    }

    /// Closes the channels of all tasks.
    pub fn stop(&self) {
        self.shared.write().clear();
    }

    /// Returns the state of each task that answers in time.
    pub fn dump(&self) -> Vec<Dump> {
        let (sender, receiver) = mpsc::sync_channel(EVENTS);
        for entry in self.shared.read().iter() {
            drop(entry.sender.try_send(Event::Dump(sender.clone())));
        }
        drop(sender);
        let mut dumps = Vec::new();
        while let Ok(dump) = receiver.recv_timeout(DUMP_WAIT) {
            dumps.push(dump);
        }
        dumps.sort_by(|a: &Dump, b| a.leaf.cmp(&b.leaf));
        dumps
    }

    /// Returns the count of threads that carry requests.
    pub fn worker_threads(&self) -> usize {
        self.shared.workers.thread_count()
    }

    fn send(&self, leaf: &Leaf, event: Event) {
        let tasks = self.shared.read();
        if let Ok(place) = find(&tasks, &leaf.name) {
            return deliver(&tasks[place], event);
        }
        drop(tasks);
        let mut tasks = self.shared.write();
        let place = match find(&tasks, &leaf.name) {
            Ok(place) => place,
            Err(place) => {
                let Some(entry) = self.start(leaf) else {
                    return refuse(event, Reason::Shed);
                };
                tasks.insert(place, entry);
                place
            }
        };
        deliver(&tasks[place], event);
    }

    fn start(&self, leaf: &Leaf) -> Option<Entry> {
        let (sender, events) = mpsc::sync_channel(EVENTS);
        let sender = Arc::new(sender);
        let known = Arc::new(Published::new(Known::default()));
        let weak = Arc::downgrade(&sender);
        let task = Task::new(leaf.clone(), &self.shared, Arc::clone(&known), events, weak);
        let thread = thread::Builder::new()
            .name("leaf".to_owned())
            .stack_size(STACK_BYTES);
        if let Err(error) = thread.spawn(move || task.run()) {
            log::error!("leaf: can't start a thread: {error}; raise the limit of threads");
            return None;
        }
        Some(Entry {
            leaf: leaf.name.clone(),
            sender,
            known,
        })
    }
}

impl Shared {
    /// Takes a task out unless an event waits, which is returned instead.
    pub(super) fn retire(&self, leaf: &LeafName, events: &Receiver<Event>) -> Option<Event> {
        let mut tasks = self.write();
        if let Ok(event) = events.try_recv() {
            return Some(event);
        }
        if let Ok(place) = find(&tasks, leaf) {
            tasks.remove(place);
        }
        None
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Vec<Entry>> {
        self.tasks.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, Vec<Entry>> {
        self.tasks.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(tasks: &[Entry], leaf: &str) -> Result<usize, usize> {
    tasks.binary_search_by(|entry| entry.leaf.as_str().cmp(leaf))
}

fn deliver(entry: &Entry, event: Event) {
    match entry.sender.try_send(event) {
        Ok(()) => {}
        Err(TrySendError::Full(event)) => refuse(event, Reason::QueueFull),
        Err(TrySendError::Disconnected(event)) => refuse(event, Reason::Shed),
    }
}

fn refuse(event: Event, reason: Reason) {
    if let Event::Submit(_, pending) = event {
        pending.fail(Failure::not_run(reason).with_retry_after(FULL_RETRY));
    }
}
