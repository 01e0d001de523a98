//! This VM's links to the leaves, as the tasks of the leaves observe them.
//!
//! A task reports each response and each failure of its leaf. While the links are suspected or
//! lost, the tasks of a few leaves send requests to the health endpoints of their leaves at once.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand::seq::IndexedRandom;

use crate::core::leaf_links::{CHECKED_LEAVES, Change, LeafLinks};
use crate::prelude::*;

/// Minimum number of leaves that have a task for the links to be checked. With fewer, the loss of
/// the links can't be told from the loss of the leaves.
const MIN_LEAVES: usize = 3;

/// Links of this VM to the leaves.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: Mutex<LeafLinks<LeafName>>,
    /// Whether no failure was reported since the last response, so that a response changes nothing.
    is_sound: AtomicBool,
    is_lost: AtomicBool,
}

impl Links {
    /// Returns whether this VM reaches no leaf.
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Acquire)
    }

    /// Records a response of a leaf.
    pub(super) fn on_response(&self) {
        if self.is_sound.swap(true, Ordering::AcqRel) {
            return;
        }
        let change = self.lock().on_check_passed(Instant::now());
        self.apply(change);
    }

    /// Records that a leaf could not be reached or did not respond.
    pub(super) fn on_failure(&self, leaf: &LeafName) {
        let change = self.lock().on_unreachable(leaf, Instant::now());
        self.is_sound.store(false, Ordering::Release);
        self.apply(change);
    }

    /// Ends a check whose time is over, and begins one if it is due. Returns the leaves that have
    /// to be asked, drawn from `known`, the leaves that have a task.
    pub(super) fn advance(&self, known: impl FnOnce() -> Vec<LeafName>) -> Vec<LeafName> {
        if self.is_sound.load(Ordering::Acquire) {
            return Vec::new();
        }
        let now = Instant::now();
        let mut links = self.lock();
        let change = links.tick(now);
        let mut asked = Vec::new();
        if links.is_check_due(now) {
            let known = known();
            if known.len() >= MIN_LEAVES {
                let drawn = known.sample(&mut rand::rng(), CHECKED_LEAVES);
                asked = drawn.cloned().collect();
            }
            links.begin_check(asked.clone(), now);
        }
        drop(links);
        self.apply(change);
        asked
    }

    /// Forgets all failures. Called when no leaf has a task any more that could observe the links.
    pub(super) fn reset(&self) {
        let change = self.lock().on_check_passed(Instant::now());
        self.is_sound.store(true, Ordering::Release);
        self.apply(change);
    }

    fn apply(&self, change: Option<Change>) {
        match change {
            Some(Change::Lost) => {
                self.is_lost.store(true, Ordering::Release);
                log::warn!("leaf: no leaf responds; letting other VMs serve the parts of this one");
            }
            Some(Change::Regained) => {
                self.is_lost.store(false, Ordering::Release);
                log::info!("leaf: leaves respond again");
            }
            None => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, LeafLinks<LeafName>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
