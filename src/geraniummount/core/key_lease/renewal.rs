//! Decides where the next confirmation comes from.
//!
//! A call on the store by each VM would cost some seven times as much as one by a VM of each failure
//! domain, so all VMs of a domain ask the same one first. Its place in the order follows from a hash
//! of its name, so that no VM has to be chosen.
//!
//! A VM that is not among the first two of its domain reads the store only once the lease has become
//! short. While a new version of the configuration comes into force, VMs of different versions can't
//! confirm anything for each other, and most often this is over before the lease is.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::boot_time::BootTime;
use crate::core::fingerprint;
use crate::prelude::*;

/// Share of the lease after which it is renewed, so that there is time for several attempts.
const RENEWAL_SHARE: f64 = 0.3;

/// Share of the lease after which each VM reads the store if no other VM helps. A read and another
/// one after a pause fit into the rest.
const OWN_READ_SHARE: f64 = 0.6;

/// Time in which a VM has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which the store has to answer before another VM is asked. A packet that was lost is sent
/// again after some 200 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after all sources have failed; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Number of VMs of the own failure domain that are asked.
const MAX_NEAR_PEERS: usize = 2;

/// Where a confirmation comes from next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask a VM.
    Ask(VmName),
    /// Read the store's revision.
    Read,
}

/// Decides where the next confirmation comes from.
#[derive(Debug)]
pub struct Renewal {
    own_name: VmName,
    own_domain: DomainName,
    /// Age of a confirmation from which on it is renewed.
    renew_after: Duration,
    /// Age of a confirmation from which on each VM reads the store if no other VM helps.
    own_read_after: Duration,
    /// Sources that have not been used in this round; `None` between two rounds.
    round: Option<VecDeque<Step>>,
    /// Source that is in use, and until when its answer is awaited.
    open: Option<(Step, BootTime)>,
    /// Until when no round begins.
    pause_until: Option<BootTime>,
    /// Number of rounds without a confirmation since the last one.
    failures: u32,
}

impl Renewal {
    /// Creates the renewal of a lease of `duration` for a VM in a failure domain.
    pub fn new(
        own_name: impl Into<VmName>,
        own_domain: impl Into<DomainName>,
        duration: Duration,
    ) -> Renewal {
        Renewal {
            own_name: own_name.into(),
            own_domain: own_domain.into(),
            renew_after: duration.mul_f64(RENEWAL_SHARE),
            own_read_after: duration.mul_f64(OWN_READ_SHARE),
            round: None,
            open: None,
            pause_until: None,
            failures: 0,
        }
    }

    /// Returns what to do now; `None` if there is nothing to do before [`Renewal::wake_at`].
    /// `newest` is when the newest confirmation began. `peers` are the names and the failure domains
    /// of the other VMs.
    pub fn next<'a>(
        &mut self,
        newest: Option<BootTime>,
        peers: impl Iterator<Item = (&'a str, &'a str)>,
        now: BootTime,
    ) -> Option<Step> {
        if !self.is_due(newest, now) {
            self.round = None;
            self.open = None;
            self.pause_until = None;
            self.failures = 0;
            return None;
        }
        let is_waiting = self.open.as_ref().is_some_and(|(_, until)| now < *until);
        if is_waiting || self.pause_until.is_some_and(|until| now < until) {
            return None;
        }
        self.open = None;
        self.pause_until = None;
        let own_read_at = newest.map(|began| began.saturating_add(self.own_read_after));
        let own_read_at = own_read_at.filter(|at| now < *at);
        let (name, domain) = (self.own_name.as_str(), self.own_domain.as_str());
        let round = self
            .round
            .get_or_insert_with(|| sources(name, domain, peers, own_read_at.is_none()));
        let Some(step) = round.pop_front() else {
            self.round = None;
            let doublings = self.failures.min(MAX_DOUBLINGS);
            self.failures += 1;
            let pause_until = now.saturating_add(INITIAL_BACKOFF * (1 << doublings));
            self.pause_until = Some(own_read_at.map_or(pause_until, |at| at.min(pause_until)));
            return None;
        };
        let timeout = match step {
            Step::Ask(_) => ANSWER_TIMEOUT,
            Step::Read => READ_TIMEOUT,
        };
        self.open = Some((step.clone(), now.saturating_add(timeout)));
        Some(step)
    }

    /// Records that a source gave no newer confirmation, so that the next one is used at once.
    pub fn on_failed(&mut self, step: &Step) {
        self.open.take_if(|(open, _)| open == step);
    }

    /// Returns when [`Renewal::next`] has something to do again.
    pub fn wake_at(&self, newest: Option<BootTime>, now: BootTime) -> BootTime {
        if !self.is_due(newest, now) {
            return newest.unwrap_or(now).saturating_add(self.renew_after);
        }
        let open_until = self.open.as_ref().map(|(_, until)| *until);
        open_until.or(self.pause_until).unwrap_or(now)
    }

    fn is_due(&self, newest: Option<BootTime>, now: BootTime) -> bool {
        newest.is_none_or(|began| now.saturating_duration_since(began) >= self.renew_after)
    }
}

/// Returns the sources of one round in order: the VMs that all VMs of the own failure domain ask
/// first, one VM of another failure domain, which may reach the store when none of the own domain
/// does, and the store if `reads_store`. A VM that is among the first two reads the store in place of
/// asking itself.
fn sources<'a>(
    own_name: &str,
    own_domain: &str,
    peers: impl Iterator<Item = (&'a str, &'a str)>,
    reads_store: bool,
) -> VecDeque<Step> {
    let mut peers: Vec<(&str, &str)> = peers.collect();
    peers.push((own_name, own_domain));
    peers.sort_by_cached_key(|(name, _)| fingerprint::of([b"key-lease", name.as_bytes()]));
    let (near, far): (Vec<_>, Vec<_>) = peers.iter().partition(|(_, domain)| *domain == own_domain);
    let mut steps = VecDeque::new();
    let mut asked = 0;
    for (name, _) in near {
        let is_own = name == own_name;
        if asked == MAX_NEAR_PEERS {
            break;
        }
        if is_own {
            steps.push_back(Step::Read);
        } else {
            asked += 1;
            steps.push_back(Step::Ask(name.to_string()));
        }
    }
    let far = far.first().map(|(name, _)| Step::Ask(name.to_string()));
    steps.extend(far);
    if reads_store && !steps.contains(&Step::Read) {
        steps.push_back(Step::Read);
    }
    steps
}
