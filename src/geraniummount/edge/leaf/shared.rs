//! State that the tasks of all leaves share, with the list of the tasks.

use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use super::event::Event;
use super::links::Links;
use crate::core::gossip::Source;
use crate::core::leaf_queue;
use crate::edge::workers::Workers;
use crate::prelude::*;
use crate::util::published::Published;

/// Callback for a change in what a leaf reports about draining (finishing its requests and
/// taking no new ones). The source tells whether the leaf or its health endpoint reports it. The
/// flag is `true` if the leaf is draining and `false` if it serves again.
pub type DrainingListener = Box<dyn Fn(&LeafName, Source, bool) + Send + Sync>;

/// Snapshots (versions of the index) that a leaf last reported.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownSnapshots {
    /// Whether the leaf has reported its snapshots at least once.
    pub(super) is_observed: bool,
    /// Snapshots by shard.
    pub(super) held: Vec<leaf_queue::HeldSnapshots>,
}

/// State shared by all tasks.
pub(super) struct Shared {
    /// Current view: the configuration in force, and what this VM knows of the other VMs and of
    /// draining leaves.
    pub(super) view: Arc<Published<View>>,
    pub(super) on_draining: DrainingListener,
    /// Maximum size of a leaf's reply, in bytes.
    pub(super) max_reply_bytes: u64,
    /// Threads that send requests for the tasks.
    pub(super) workers: Workers,
    /// Tasks, sorted by the name of their leaf.
    pub(super) tasks: RwLock<Vec<Entry>>,
    /// Links to the leaves that have tasks.
    pub(super) links: Links,
}

/// A running task, as seen by the pool.
pub(super) struct Entry {
    pub(super) leaf: LeafName,
    pub(super) sender: Arc<SyncSender<Event>>,
    /// Snapshots that the task published.
    pub(super) known: Arc<Published<KnownSnapshots>>,
}

impl Shared {
    /// Removes a task unless an event is waiting in its channel. Returns that event, which the
    /// caller must handle.
    pub(super) fn retire(&self, leaf: &LeafName, events: &Receiver<Event>) -> Option<Event> {
        let mut tasks = self.write();
        if let Ok(event) = events.try_recv() {
            return Some(event);
        }
        if let Ok(index) = find(&tasks, leaf) {
            tasks.remove(index);
        }
        if tasks.is_empty() {
            self.links.reset();
        }
        None
    }

    /// Checks the links to the leaves if that is due.
    pub(super) fn check_links(&self) {
        let known = || {
            let tasks = self.read();
            tasks.iter().map(|entry| entry.leaf.clone()).collect()
        };
        for leaf in self.links.advance(known) {
            let tasks = self.read();
            if let Ok(index) = find(&tasks, &leaf) {
                // A task whose channel is full is busy with its leaf, which shows the link anyway.
                drop(tasks[index].sender.try_send(Event::Check));
            }
        }
    }

    /// Locks the list of tasks for sending events.
    pub(super) fn read(&self) -> RwLockReadGuard<'_, Vec<Entry>> {
        self.tasks.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the list of tasks for adding or removing one.
    pub(super) fn write(&self) -> RwLockWriteGuard<'_, Vec<Entry>> {
        self.tasks.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the index of a leaf's task, or the index at which it would be inserted.
pub(super) fn find(tasks: &[Entry], leaf: &str) -> Result<usize, usize> {
    tasks.binary_search_by(|entry| entry.leaf.as_str().cmp(leaf))
}
