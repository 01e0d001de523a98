//! Other VMs to which requests can be delegated.

mod state;

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use self::state::State;
use super::{Decline, Ending, Peer, offload};
use crate::core::scope::Scope;
use crate::prelude::*;

/// Time for which no further VM is asked after a request was declined by as many as it may be
/// passed to, all of which have lost their links: the leaves are probably gone. It doubles with
/// each such request until a VM answers one.
const INITIAL_ALL_LOST_BACKOFF: Duration = Duration::from_millis(60);

/// Maximum number of times that the backoff doubles while all VMs that are asked have lost their
/// links.
const MAX_ALL_LOST_DOUBLINGS: u32 = 3;

/// Weight of one more VM in the estimated share of the VMs that have lost their links.
const LOST_SHARE_WEIGHT: f64 = 0.125;

/// Maximum estimated share of the VMs that have lost their links.
const MAX_LOST_SHARE: f64 = 0.95;

/// Number of random candidates of this VM's failure domain, and of the others, of which the least
/// loaded is chosen.
const CANDIDATES: usize = 2;

/// The other VMs, with what this VM has observed of them.
#[derive(Debug)]
pub struct Peers {
    /// Name of this VM.
    own_name: VmName,
    /// Failure domain of this VM, whose VMs are preferred.
    own_domain: DomainName,
    /// Processor share of this VM.
    own_millicores: Millicores,
    /// Sorted by name.
    known: Vec<State>,
    /// Until when only VMs that are known to reach the leaves are asked, because no other is
    /// expected to.
    all_lost_until: Option<Instant>,
    /// Number of requests since the last answer after which no further VM was asked.
    all_lost_count: u32,
    /// Estimated share of the VMs that have lost their links, among those not known to reach the
    /// leaves.
    lost_share: f64,
    rng: SmallRng,
}

impl Peers {
    /// Creates an empty list for a VM in a failure domain.
    pub fn new(
        own_name: impl Into<VmName>,
        own_domain: impl Into<DomainName>,
        rng: SmallRng,
    ) -> Peers {
        Peers {
            own_name: own_name.into(),
            own_domain: own_domain.into(),
            own_millicores: 0,
            known: Vec::new(),
            all_lost_until: None,
            all_lost_count: 0,
            lost_share: 0.0,
            rng,
        }
    }

    /// Sets the processor share of this VM.
    #[must_use]
    pub fn with_millicores(self, millicores: Millicores) -> Peers {
        Peers {
            own_millicores: millicores,
            ..self
        }
    }

    /// Replaces the known VMs; this VM is left out. What was observed of a VM is kept unless it has
    /// changed.
    pub fn update(&mut self, peers: impl IntoIterator<Item = Peer>) {
        let mut before = std::mem::take(&mut self.known);
        let others = peers.into_iter().filter(|peer| peer.name != self.own_name);
        self.known = others
            .map(|peer| {
                let known = before.iter().position(|state| state.peer == peer);
                known.map_or_else(|| State::new(peer), |index| before.swap_remove(index))
            })
            .collect();
        self.known.sort_by(|a, b| a.peer.name.cmp(&b.peer.name));
    }

    /// Returns the number of known VMs.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns the known VMs, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.known.iter().map(|state| &state.peer)
    }

    /// Returns whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns a known VM.
    pub fn get(&self, name: &str) -> Option<&Peer> {
        let index = self.search(name).ok()?;
        Some(&self.known[index].peer)
    }

    /// Chooses a VM that is not in `tried`: the least loaded of a few random ones, preferably of
    /// this VM's failure domain. VMs of `lost_domains` are chosen only if there are no others.
    ///
    /// The more VMs have turned out to have lost their links, the more those are preferred that are
    /// known to reach the leaves.
    pub fn choose(
        &mut self,
        tried: &[VmName],
        lost_domains: &[DomainName],
        now: Instant,
    ) -> Option<VmName> {
        self.choose_within(&Scope::ANY, tried, lost_domains, now)
    }

    /// As [`Peers::choose`], among the VMs of the failure domains in `scope`.
    pub fn choose_within(
        &mut self,
        scope: &Scope,
        tried: &[VmName],
        lost_domains: &[DomainName],
        now: Instant,
    ) -> Option<VmName> {
        let is_usable = |state: &&State| {
            let is_allowed = scope.contains(&state.peer.domain);
            is_allowed && state.is_usable(now) && !tried.contains(&state.peer.name)
        };
        let usable = self.known.iter().filter(is_usable);
        let (proven, others): (Vec<&State>, Vec<&State>) =
            usable.partition(|state| state.is_proven(now));
        let others = match self.is_all_lost(now) {
            true => Vec::new(),
            false => without_domains(others, lost_domains),
        };
        let proven = draw_of_domains(proven, &self.own_domain, &mut self.rng);
        let others = draw_of_domains(others, &self.own_domain, &mut self.rng);
        let search_cost = self.lost_share / (1.0 - self.lost_share);
        let cost = |state: &State| state.cost(&self.own_domain);
        let proven = proven.into_iter().map(|state| (cost(state), state));
        let others = others
            .into_iter()
            .map(|state| (cost(state) + search_cost, state));
        let best = proven.chain(others).min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, state)| state.peer.name.clone())
    }

    /// Chooses a stronger VM of this VM's failure domain that is not in `tried`: the least loaded of
    /// a few random ones.
    pub fn choose_stronger(&mut self, tried: &[VmName], now: Instant) -> Option<VmName> {
        let (domain, millicores) = (&self.own_domain, self.own_millicores);
        let stronger = self.known.iter().filter(|state| {
            let is_near = state.peer.domain == *domain;
            let is_stronger = offload::is_stronger(state.peer.millicores, millicores);
            let is_untried = !tried.contains(&state.peer.name);
            is_near && is_stronger && is_untried && state.is_usable(now)
        });
        let mut stronger: Vec<&State> = stronger.collect();
        let drawn = draw(&mut stronger, &mut self.rng);
        let best = drawn.into_iter().min_by_key(|state| state.in_flight);
        best.map(|state| state.peer.name.clone())
    }

    /// Returns whether a stronger VM of this VM's failure domain can be asked now.
    pub fn has_stronger(&self, now: Instant) -> bool {
        self.known.iter().any(|state| {
            let is_near = state.peer.domain == self.own_domain;
            let is_stronger = offload::is_stronger(state.peer.millicores, self.own_millicores);
            is_near && is_stronger && state.is_usable(now)
        })
    }

    /// Returns whether any VM can be asked now.
    pub fn has_usable(&self, now: Instant) -> bool {
        let is_all_lost = self.is_all_lost(now);
        let mut usable = self.known.iter().filter(|state| state.is_usable(now));
        usable.any(|state| !is_all_lost || state.is_proven(now))
    }

    /// Returns when the first VM can be asked again; `None` if no other VM is known.
    pub fn usable_at(&self, now: Instant) -> Option<Instant> {
        let times = self.known.iter().map(|state| state.avoided_until);
        let first = times.map(|until| until.map_or(now, |at| at.max(now))).min();
        first.map(|at| self.all_lost_until.map_or(at, |until| until.max(at)))
    }

    /// Returns when the first VM whose routes were older can be asked again; `None` if there is
    /// none.
    pub fn outdated_until(&self, now: Instant) -> Option<Instant> {
        if self.is_all_lost(now) {
            return None;
        }
        let outdated = self.known.iter().filter(|state| state.is_outdated);
        let times = outdated.filter_map(|state| state.avoided_until);
        times.filter(|until| now < *until).min()
    }

    /// Records that a request was declined by as many VMs as it may be passed to, all of which have
    /// lost their links too.
    pub fn on_all_lost(&mut self, now: Instant) {
        let doublings = self.all_lost_count.min(MAX_ALL_LOST_DOUBLINGS);
        self.all_lost_count += 1;
        self.all_lost_until = Some(now + INITIAL_ALL_LOST_BACKOFF * (1 << doublings));
    }

    fn is_all_lost(&self, now: Instant) -> bool {
        self.all_lost_until.is_some_and(|until| now < until)
    }

    /// Records that a request is passed to a VM; returns the id of this handoff.
    pub fn begin(&mut self, name: &str) -> HandoffId {
        if let Ok(index) = self.search(name) {
            self.known[index].in_flight += 1;
        }
        self.rng.random()
    }

    /// Records how a request that was passed to a VM ended.
    pub fn end(&mut self, name: &str, ending: Ending, now: Instant) {
        let Ok(index) = self.search(name) else {
            return;
        };
        if ending == Ending::Answered {
            self.all_lost_until = None;
            self.all_lost_count = 0;
        }
        self.estimate_lost_share(index, ending, now);
        let state = &mut self.known[index];
        state.in_flight = state.in_flight.saturating_sub(1);
        state.record(ending, now);
    }

    /// Updates the estimate by the ending of a request at a VM that was not known to reach the
    /// leaves.
    fn estimate_lost_share(&mut self, index: usize, ending: Ending, now: Instant) {
        let is_lost = match ending {
            Ending::Answered => false,
            Ending::Declined(Decline::LinksLost) => true,
            _ => return,
        };
        if !self.known[index].is_proven(now) {
            let target = if is_lost { MAX_LOST_SHARE } else { 0.0 };
            self.lost_share += (target - self.lost_share) * LOST_SHARE_WEIGHT;
        }
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|state| state.peer.name.as_str().cmp(name))
    }
}

/// Leaves out the VMs of some failure domains, unless there are no others.
fn without_domains<'a>(states: Vec<&'a State>, domains: &[DomainName]) -> Vec<&'a State> {
    let (excluded, others): (Vec<&State>, Vec<&State>) = states
        .into_iter()
        .partition(|state| domains.contains(&state.peer.domain));
    if others.is_empty() { excluded } else { others }
}

/// Draws a few VMs of a failure domain and a few of the others.
fn draw_of_domains<'a>(
    states: Vec<&'a State>,
    own_domain: &str,
    rng: &mut SmallRng,
) -> Vec<&'a State> {
    let (mut near, mut far): (Vec<&State>, Vec<&State>) = states
        .into_iter()
        .partition(|state| state.peer.domain == own_domain);
    let mut drawn = draw(&mut near, rng);
    drawn.extend(draw(&mut far, rng));
    drawn
}

/// Draws up to [`CANDIDATES`] different VMs.
fn draw<'a>(states: &mut Vec<&'a State>, rng: &mut SmallRng) -> Vec<&'a State> {
    let mut drawn = Vec::with_capacity(CANDIDATES);
    while drawn.len() < CANDIDATES && !states.is_empty() {
        let index = rng.random_range(0..states.len());
        drawn.push(states.swap_remove(index));
    }
    drawn
}
