//! Owners and leaves from which nothing comes any more.
//!
//! A part that is late alone is a straggler. Several parts at one owner, or at
//! one leaf, that are late at once with no answer in between are a loss: of
//! the owner, of its failure domain or of the leaf. The first queries that
//! meet it tell so to all later ones, which go to other replicas first, but
//! for single probes.

use std::time::{Duration, Instant};

use crate::prelude::*;

/// Parts that are late at once when their owner or leaf counts as silent.
const MIN_LATE_PARTS: usize = 2;

/// Unanswered parts of which the late times are kept.
const MAX_TRACKED_PARTS: usize = 8;

/// Time without a probe; each further one is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest time without a probe.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Owners, or leaves, with parts that they have not answered; sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseTracker {
    targets: Vec<Target>,
}

#[derive(Clone, Debug)]
struct Target {
    name: String,
    /// When parts sent since the last answer are late, with their leaves.
    unanswered: Vec<(Instant, LeafName)>,
    backoff: Duration,
    next_probe: Option<Instant>,
}

impl ResponseTracker {
    /// Notes a part that is sent, and when it is late.
    pub(crate) fn on_send(&mut self, name: &str, leaf: &str, late: Instant, now: Instant) {
        let target = self.target_mut(name);
        target.note_probe(now);
        if target.unanswered.len() < MAX_TRACKED_PARTS {
            target.unanswered.push((late, leaf.to_owned()));
        }
    }

    /// Notes an answer.
    pub(crate) fn on_answer(&mut self, name: &str) {
        if let Ok(index) = self.find(name) {
            self.targets.remove(index);
        }
    }

    /// Forgets a part to a leaf that was given up before it was late.
    pub(crate) fn forget(&mut self, name: &str, leaf: &str) {
        if let Ok(index) = self.find(name) {
            let unanswered = &mut self.targets[index].unanswered;
            let last = unanswered.iter().rposition(|(_, known)| known == leaf);
            last.map(|last| unanswered.remove(last));
        }
    }

    /// Whether it is silent, and not due for a probe.
    pub(crate) fn is_unresponsive(&self, name: &str, now: Instant) -> bool {
        self.probe_at(name, now).is_some_and(|probe| now < probe)
    }

    /// Whether it is silent, and the next part to it is a probe.
    pub(crate) fn is_probe_due(&self, name: &str, now: Instant) -> bool {
        self.probe_at(name, now).is_some_and(|probe| now >= probe)
    }

    fn probe_at(&self, name: &str, now: Instant) -> Option<Instant> {
        let index = self.find(name).ok()?;
        self.targets[index].probe_at(now)
    }

    fn target_mut(&mut self, name: &str) -> &mut Target {
        let index = self.find(name).unwrap_or_else(|index| {
            let target = Target {
                name: name.to_owned(),
                unanswered: Vec::new(),
                backoff: INITIAL_BACKOFF,
                next_probe: None,
            };
            self.targets.insert(index, target);
            index
        });
        &mut self.targets[index]
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|target| target.name.as_str().cmp(name))
    }
}

impl Target {
    /// When the next probe is due, if it is silent.
    fn probe_at(&self, now: Instant) -> Option<Instant> {
        let late = self.unanswered.iter().map(|(late, _)| *late);
        let mut late: Vec<Instant> = late.filter(|&late| late <= now).collect();
        late.sort_unstable();
        let since = *late.get(MIN_LATE_PARTS - 1)?;
        Some(self.next_probe.unwrap_or(since + INITIAL_BACKOFF))
    }

    fn note_probe(&mut self, now: Instant) {
        if self.probe_at(now).is_some_and(|probe| now >= probe) {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            self.next_probe = Some(now + self.backoff);
        }
    }
}

/// Whether a result shows that the leaf, or its owner with room, is there.
pub(crate) fn is_leaf_response(result: &Result<Reply, Failure>) -> bool {
    let Err(failure) = result else {
        return true;
    };
    !matches!(
        failure.reason,
        Reason::Cancelled
            | Reason::ConnectFailed
            | Reason::ConnectionLost
            | Reason::Deadline
            | Reason::NoOwner
            | Reason::Unreachable
    )
}
