//! Cache of the snapshots (versions of the index) that each replica holds, from which a query
//! chooses the one that it reads.
//!
//! Replies update the cache for the replicas in use. For all other replicas the cache is updated by
//! a periodic survey, which asks the VMs that own the leaves, that is, hold their queues.

use std::time::{Duration, Instant};

use crate::core::holding::Holding;
use crate::core::layout::{Layout, Shard};
use crate::prelude::*;

/// Interval between two surveys of a service in use.
pub const SURVEY_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum number of replicas that must hold a snapshot before a query may read it, as a share of
/// the replicas of the most widely held candidate. Without this minimum, queries would switch to a
/// snapshot that is still being distributed and overload the few replicas that already hold it.
const MIN_REPLICA_SHARE: f64 = 0.75;

/// Snapshots that replicas are known to hold.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    /// Sorted by service, shard and leaf.
    held: Vec<Holding>,
    /// When each service was last surveyed, sorted by name of the service.
    surveyed: Vec<(ServiceName, Instant)>,
}

/// A snapshot that a query may read, and how many usable replicas hold it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Id of the snapshot.
    pub snapshot: SnapshotId,
    /// Number of shards with at least one usable replica that holds the snapshot.
    pub shards: usize,
    /// Number of usable replicas that hold the snapshot, over all shards.
    pub replicas: usize,
}

impl Holdings {
    /// Records the result of a survey of a service.
    pub fn record_survey(&mut self, service: &str, held: Vec<Holding>, now: Instant) {
        for holding in held {
            self.set(holding);
        }
        match self
            .surveyed
            .binary_search_by(|s| s.0.as_str().cmp(service))
        {
            Ok(index) => self.surveyed[index].1 = now,
            Err(index) => self.surveyed.insert(index, (service.to_owned(), now)),
        }
    }

    /// Replaces the known snapshots of one replica.
    pub fn set(&mut self, mut holding: Holding) {
        holding.snapshots.sort_unstable();
        match self.position(&holding.service, &holding.shard, &holding.leaf) {
            Ok(index) => self.held[index] = holding,
            Err(index) => self.held.insert(index, holding),
        }
    }

    /// Removes a snapshot that a replica reported that it does not hold.
    pub fn remove_snapshot(&mut self, shard: &Shard, leaf: &str, snapshot: SnapshotId) {
        if let Ok(index) = self.position(&shard.service, &shard.shard, leaf) {
            self.held[index].snapshots.retain(|&held| held != snapshot);
        }
    }

    /// Returns whether no survey of the service has been recorded yet.
    pub fn is_unsurveyed(&self, service: &str) -> bool {
        self.surveyed_at(service).is_none()
    }

    /// Returns whether the service has never been surveyed or was last surveyed [`SURVEY_INTERVAL`]
    /// ago or earlier.
    pub fn is_survey_due(&self, service: &str, now: Instant) -> bool {
        self.surveyed_at(service)
            .is_none_or(|at| now.saturating_duration_since(at) >= SURVEY_INTERVAL)
    }

    /// Returns the snapshots that a replica is known to hold, in ascending order.
    pub fn snapshots(&self, shard: &Shard, leaf: &str) -> &[SnapshotId] {
        let index = self.position(&shard.service, &shard.shard, leaf);
        index.map_or(&[], |index| &self.held[index].snapshots)
    }

    /// Chooses the newest of the snapshots that are available on the largest number of shards.
    ///
    /// A snapshot held by fewer replicas than [`MIN_REPLICA_SHARE`] requires is not chosen. Only
    /// replicas that `usable` accepts are counted, and the snapshots in `excluded` are skipped.
    /// Returns `None` if no such replica is known to hold another snapshot.
    pub fn choose_snapshot(
        &self,
        layout: &Layout,
        excluded: &[SnapshotId],
        usable: impl Fn(&LeafName) -> bool,
    ) -> Option<Candidate> {
        let candidates = self.candidates(layout, excluded, usable);
        let shards = candidates.iter().map(|c| c.shards).max()?;
        let eligible = candidates.into_iter().filter(|c| c.shards == shards);
        let replicas = eligible.clone().map(|c| c.replicas).max()?;
        let min_replicas = replicas as f64 * MIN_REPLICA_SHARE;
        eligible
            .filter(|c| c.replicas as f64 >= min_replicas)
            .max_by_key(|c| c.snapshot)
    }

    fn candidates(
        &self,
        layout: &Layout,
        excluded: &[SnapshotId],
        usable: impl Fn(&LeafName) -> bool,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for shard in &layout.shards {
            let replicas = shard.replicas.iter().filter(|leaf| usable(leaf));
            let mut held: Vec<SnapshotId> = replicas
                .flat_map(|leaf| self.snapshots(shard, leaf).iter().copied())
                .filter(|snapshot| !excluded.contains(snapshot))
                .collect();
            held.sort_unstable();
            for group in held.chunk_by(|a, b| a == b) {
                add_shard(&mut candidates, group[0], group.len());
            }
        }
        candidates
    }

    fn surveyed_at(&self, service: &str) -> Option<Instant> {
        let index = self
            .surveyed
            .binary_search_by(|s| s.0.as_str().cmp(service));
        index.ok().map(|index| self.surveyed[index].1)
    }

    fn position(&self, service: &str, shard: &str, leaf: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|h| {
            (h.service.as_str(), h.shard.as_str(), h.leaf.as_str()).cmp(&(service, shard, leaf))
        })
    }
}

fn add_shard(candidates: &mut Vec<Candidate>, snapshot: SnapshotId, replicas: usize) {
    match candidates.binary_search_by_key(&snapshot, |c| c.snapshot) {
        Ok(index) => {
            candidates[index].shards += 1;
            candidates[index].replicas += replicas;
        }
        Err(index) => candidates.insert(
            index,
            Candidate {
                snapshot,
                shards: 1,
                replicas,
            },
        ),
    }
}
