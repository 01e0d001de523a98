//! Draws leaves at random, which are asked to check this VM's links.

use std::time::Instant;

use rand::seq::SliceRandom;

use super::{Placement, Replica, ReplicaKey};
use crate::prelude::*;

/// A leaf that may be drawn.
struct Candidate<'a> {
    service: &'a ServiceName,
    key: ReplicaKey,
    domain: &'a DomainName,
    has_failed: bool,
}

impl Placement {
    /// Draws up to `count` different leaves that are registered, accept requests and limit none:
    /// one of each failure domain first, as links to some domains may work. Leaves for which
    /// `has_failed` returns true are drawn only if there are no others.
    pub fn sample(
        &mut self,
        count: usize,
        has_failed: impl Fn(ReplicaKey) -> bool,
        now: Instant,
    ) -> Vec<(ServiceName, ReplicaKey)> {
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        for group in &self.groups {
            let replicas = group.replicas().iter();
            let eligible = replicas.filter(|replica| may_be_checked(replica, now));
            candidates.extend(eligible.map(|replica| Candidate {
                service: &group.service,
                key: replica.key,
                domain: &replica.instance.domain,
                has_failed: has_failed(replica.key),
            }));
        }
        candidates.shuffle(&mut self.rng);
        candidates.sort_by_key(|candidate| candidate.has_failed);
        let mut domains: Vec<&DomainName> = Vec::new();
        let (firsts, others): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|candidate| {
            let is_first = !domains.contains(&candidate.domain);
            if is_first {
                domains.push(candidate.domain);
            }
            is_first
        });
        let ordered = firsts.into_iter().chain(others);
        let drawn = ordered.map(|candidate| (candidate.service.clone(), candidate.key));
        drawn.take(count).collect()
    }
}

fn may_be_checked(replica: &Replica, now: Instant) -> bool {
    !replica.is_unregistered() && replica.accepts_requests(now) && !replica.is_limited(now)
}
