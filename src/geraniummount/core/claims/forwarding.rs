//! Selects the VM that writes claims on behalf of others.
//!
//! A bucket is one of the values in the platform's store over which claims of idempotency keys are
//! hashed. It is contended while many of its keys are claimed per second, or the platform's rate
//! limit rejects calls for it, so that one VM should write it for all. For each bucket, a
//! rendezvous hash ranks the failure domains, and then the members of the first one. A VM knows all
//! members of its own domain and a few VMs of each other domain, so a claim reaches the selected
//! member either directly or through a VM that knows it. While few keys are claimed, each VM writes
//! its own claims, because an extra hop would save nothing.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::core::ownership;
use crate::core::vm::State;
use crate::prelude::*;

/// Maximum wait for the answer to a forwarded claim.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which the claims in all buckets are forwarded after any bucket was last contended.
const FORWARDING_TTL: Duration = Duration::from_secs(60);
/// Time for which no claims are forwarded to a VM that gave no useful answer.
const FORWARD_BACKOFF: Duration = Duration::from_secs(5);
/// Time after an unanswered platform call in which this VM does not retry a
/// claim that another VM left unanswered. The retry would most likely fail
/// too.
const FALLBACK_BACKOFF: Duration = Duration::from_secs(5);

/// Forwarding state of one VM.
#[derive(Clone, Debug, Default)]
pub struct Forwarding {
    /// When this VM stops forwarding its claims, unless a bucket is contended again.
    forward_until: Option<Instant>,
    /// When this VM may again retry a claim that another VM left unanswered.
    fallback_blocked_until: Option<Instant>,
    /// VMs that receive no claims, sorted by name, each with the end of its
    /// backoff.
    avoided: Vec<(VmName, Instant)>,
}

impl Forwarding {
    /// Records whether a bucket was contended.
    pub fn note_contention(&mut self, is_contended: bool, now: Instant) {
        if is_contended {
            self.forward_until = Some(now + FORWARDING_TTL);
        }
    }

    /// Records that the platform did not answer this VM.
    pub fn note_platform_failure(&mut self, now: Instant) {
        self.fallback_blocked_until = Some(now + FALLBACK_BACKOFF);
    }

    /// Returns whether this VM retries a claim that another VM left
    /// unanswered.
    pub fn may_fall_back(&self, now: Instant) -> bool {
        self.fallback_blocked_until.is_none_or(|until| until <= now)
    }

    /// Stops forwarding to a VM for the backoff time, because it gave no useful
    /// answer to a claim that this VM could process itself.
    pub fn avoid(&mut self, vm: &VmName, now: Instant) {
        self.avoided.retain(|(_, until)| *until > now);
        let until = now + FORWARD_BACKOFF;
        match self.avoided.binary_search_by(|(name, _)| name.cmp(vm)) {
            Ok(index) => self.avoided[index].1 = until,
            Err(index) => self.avoided.insert(index, (vm.clone(), until)),
        }
    }

    /// Returns the VM to which a claim in a bucket is forwarded. Returns `None` if this VM claims
    /// the key itself. `view` is what this VM knows of the fleet, and `is_lost` tells whether a VM
    /// currently does not answer.
    pub fn target(
        &self,
        view: &View,
        bucket: u64,
        now: Instant,
        is_lost: impl Fn(&Vm) -> bool,
    ) -> Option<Vm> {
        self.forward_until.filter(|until| *until > now)?;
        let is_excluded = |vm: &Vm| is_lost(vm) || self.is_avoided(&vm.name, now);
        let is_eligible = |vm: &&Vm| vm.state <= State::Suspect && !is_excluded(vm);
        let domains = view
            .vms
            .iter()
            .filter(is_eligible)
            .map(|vm| &vm.failure_domain);
        let domain = domains.min_by_key(|domain| Reverse(score(domain, bucket)))?;
        preferred_peer(view, domain, bucket, is_excluded)
    }

    /// Returns the VM of this failure domain to which a claim received from another VM is
    /// forwarded. Returns `None` if this VM claims the key itself. `is_lost` tells whether a VM
    /// currently does not answer.
    pub fn target_in_domain(
        &self,
        view: &View,
        bucket: u64,
        now: Instant,
        is_lost: impl Fn(&Vm) -> bool,
    ) -> Option<Vm> {
        let is_excluded = |vm: &Vm| is_lost(vm) || self.is_avoided(&vm.name, now);
        preferred_peer(view, &view.failure_domain, bucket, is_excluded)
    }

    fn is_avoided(&self, vm: &VmName, now: Instant) -> bool {
        let index = self.avoided.binary_search_by(|(name, _)| name.cmp(vm));
        index.is_ok_and(|index| self.avoided[index].1 > now)
    }
}

/// Returns the VM of a failure domain that ranks first for a bucket, or `None`
/// if that is this VM.
fn preferred_peer(
    view: &View,
    domain: &DomainName,
    bucket: u64,
    is_excluded: impl Fn(&Vm) -> bool,
) -> Option<Vm> {
    let preferred =
        ownership::preferred_vm(view, domain, xxh3_64(&bucket.to_le_bytes()), is_excluded)?;
    (preferred.name != view.me).then(|| preferred.clone())
}

/// Returns the rendezvous score of a failure domain for a bucket; the highest ranks first.
fn score(domain: &DomainName, bucket: u64) -> u64 {
    xxh3_64_with_seed(domain.as_bytes(), bucket)
}
