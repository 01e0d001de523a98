//! Detects owners and leaves that have become unresponsive.
//!
//! The owner of a leaf is the VM that holds its queue; the parts for the leaf (shares of requests,
//! one for each shard) go through the owner. A part is late once it has no answer for longer than
//! is usual for its replica. A single late part is a straggler. Several parts at one owner, or at
//! one leaf, that are late at the same time with no answer in between show that the owner, its
//! failure domain or the leaf is lost. The first queries that detect this record it for all later
//! queries, which prefer other replicas and send only single parts, as probes, to the unresponsive
//! one.

use std::time::{Duration, Instant};

use crate::prelude::*;

/// Minimum number of parts late at the same time for their owner or leaf to count as unresponsive.
const MIN_LATE_PARTS: usize = 2;

/// Maximum number of unanswered parts that are tracked for each owner or leaf.
const MAX_TRACKED_PARTS: usize = 8;

/// Delay before the first probe; each further delay is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum delay between two probes.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Owners, or leaves, that have not answered some of their parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseTracker {
    /// Sorted by name.
    targets: Vec<Target>,
}

/// An owner or a leaf.
#[derive(Clone, Debug)]
struct Target {
    name: String,
    /// When the parts sent since the last answer become late, with their leaves.
    unanswered: Vec<(Instant, LeafName)>,
    /// Delay between the last probe and the next one.
    backoff: Duration,
    /// When the next probe is due; `None` before the first probe.
    next_probe: Option<Instant>,
}

impl ResponseTracker {
    /// Records a part that is sent, and when it becomes late.
    pub(crate) fn on_send(&mut self, name: &str, leaf: &str, late_at: Instant, now: Instant) {
        let target = self.target_mut(name);
        target.note_probe(now);
        if target.unanswered.len() < MAX_TRACKED_PARTS {
            target.unanswered.push((late_at, leaf.to_owned()));
        }
    }

    /// Records an answer, which shows that the owner or leaf responds.
    pub(crate) fn on_answer(&mut self, name: &str) {
        if let Ok(index) = self.find(name) {
            self.targets.remove(index);
        }
    }

    /// Removes the part sent last to a leaf, which was cancelled before it became late.
    pub(crate) fn forget(&mut self, name: &str, leaf: &str) {
        if let Ok(index) = self.find(name) {
            let unanswered = &mut self.targets[index].unanswered;
            let last = unanswered.iter().rposition(|(_, known)| known == leaf);
            last.map(|last| unanswered.remove(last));
        }
    }

    /// Returns whether the owner or leaf is unresponsive and not due for a probe.
    pub(crate) fn is_unresponsive(&self, name: &str, now: Instant) -> bool {
        self.probe_at(name, now).is_some_and(|probe| now < probe)
    }

    /// Returns whether the owner or leaf is unresponsive and the next part sent to it is a probe.
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
    /// Returns when the next probe is due; `None` while the owner or leaf responds.
    fn probe_at(&self, now: Instant) -> Option<Instant> {
        let times = self.unanswered.iter().map(|(late_at, _)| *late_at);
        let mut late_times: Vec<Instant> = times.filter(|&late_at| late_at <= now).collect();
        late_times.sort_unstable();
        let since = *late_times.get(MIN_LATE_PARTS - 1)?;
        Some(self.next_probe.unwrap_or(since + INITIAL_BACKOFF))
    }

    /// Counts a part that is sent now as a probe if one is due.
    fn note_probe(&mut self, now: Instant) {
        if self.probe_at(now).is_some_and(|probe| now >= probe) {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            self.next_probe = Some(now + self.backoff);
        }
    }
}

/// Returns whether a result shows that the leaf, or the owner that holds its queue, responds.
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
