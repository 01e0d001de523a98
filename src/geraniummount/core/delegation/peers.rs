//! Other VMs to which requests can be delegated.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use super::{Decline, Peer};
use crate::prelude::*;

/// Time for which a VM is avoided after it declined a request because it has lost its links too.
const LINKS_LOST_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a stopping VM is avoided. It is back or replaced by then.
const STOPPING_BACKOFF: Duration = Duration::from_secs(5);

/// Time for which a VM is avoided after it declined because its routes are older.
const OUTDATED_BACKOFF: Duration = Duration::from_millis(30);

/// Time for which a VM is avoided after it declined for any other reason.
const DECLINE_BACKOFF: Duration = Duration::from_millis(300);

/// Time for which a VM is avoided after it did not respond; doubles with each further failure.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of times that the backoff after failures doubles.
const MAX_FAILURE_DOUBLINGS: u32 = 3;

/// Time for which no VM is asked after a request was declined by as many as it may be passed to,
/// all of which have lost their links: the leaves are probably gone.
const ALL_LOST_BACKOFF: Duration = Duration::from_millis(500);

/// Number of random candidates of this VM's failure domain, and of the others, of which the least
/// loaded is chosen.
const CANDIDATES: usize = 2;

/// A VM of another failure domain is chosen if it has fewer requests of this VM in flight than one
/// of the same domain, by more than this number. Bytes between failure domains cost money.
const OTHER_DOMAIN_COST: usize = 2;

/// How a request that was passed to a peer ended, as far as it concerns the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The peer answered.
    Answered,
    /// The peer declined the request.
    Declined(Decline),
    /// The peer did not respond.
    Failed,
    /// The request was abandoned for a reason that has nothing to do with the peer.
    Abandoned,
}

/// The other VMs, with what this VM has observed of them.
#[derive(Debug)]
pub struct Peers {
    /// Name of this VM.
    own_name: VmName,
    /// Failure domain of this VM, whose VMs are preferred.
    own_domain: DomainName,
    /// Sorted by name.
    known: Vec<State>,
    /// Until when no VM is asked, because none is expected to reach the leaves.
    all_lost_until: Option<Instant>,
    rng: SmallRng,
}

/// A peer, with what this VM has observed of it.
#[derive(Debug)]
struct State {
    peer: Peer,
    /// Number of requests of this VM that the peer has.
    in_flight: usize,
    /// Number of requests without a response since the last response.
    failures: u32,
    avoided_until: Option<Instant>,
    /// Whether the VM is avoided because its routes were older.
    is_outdated: bool,
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
            known: Vec::new(),
            all_lost_until: None,
            rng,
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
    pub fn choose(
        &mut self,
        tried: &[VmName],
        lost_domains: &[DomainName],
        now: Instant,
    ) -> Option<VmName> {
        if self.is_all_lost(now) {
            return None;
        }
        let is_usable = |state: &&State| state.is_usable(now) && !tried.contains(&state.peer.name);
        let usable: Vec<&State> = self.known.iter().filter(is_usable).collect();
        let (lost, others): (Vec<&State>, Vec<&State>) = usable
            .into_iter()
            .partition(|state| lost_domains.contains(&state.peer.domain));
        let eligible = if others.is_empty() { lost } else { others };
        let (mut near, mut far): (Vec<&State>, Vec<&State>) = eligible
            .into_iter()
            .partition(|state| state.peer.domain == self.own_domain);
        let near = draw(&mut near, &mut self.rng).into_iter();
        let far = draw(&mut far, &mut self.rng).into_iter();
        let near = near.map(|state| (state.in_flight, state));
        let far = far.map(|state| (state.in_flight + OTHER_DOMAIN_COST, state));
        let best = near.chain(far).min_by_key(|(cost, _)| *cost);
        best.map(|(_, state)| state.peer.name.clone())
    }

    /// Returns whether any VM can be asked now.
    pub fn has_usable(&self, now: Instant) -> bool {
        !self.is_all_lost(now) && self.known.iter().any(|state| state.is_usable(now))
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
        self.all_lost_until = Some(now + ALL_LOST_BACKOFF);
    }

    fn is_all_lost(&self, now: Instant) -> bool {
        self.all_lost_until.is_some_and(|until| now < until)
    }

    /// Records that a request is passed to a VM.
    pub fn begin(&mut self, name: &str) {
        if let Ok(index) = self.search(name) {
            self.known[index].in_flight += 1;
        }
    }

    /// Records how a request that was passed to a VM ended.
    pub fn end(&mut self, name: &str, ending: Ending, now: Instant) {
        let Ok(index) = self.search(name) else {
            return;
        };
        if ending == Ending::Answered {
            self.all_lost_until = None;
        }
        let state = &mut self.known[index];
        state.in_flight = state.in_flight.saturating_sub(1);
        state.record(ending, now);
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|state| state.peer.name.as_str().cmp(name))
    }
}

impl State {
    fn new(peer: Peer) -> State {
        State {
            peer,
            in_flight: 0,
            failures: 0,
            avoided_until: None,
            is_outdated: false,
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.avoided_until.is_none_or(|until| now >= until)
    }

    fn record(&mut self, ending: Ending, now: Instant) {
        let backoff = match ending {
            Ending::Abandoned => return,
            Ending::Answered => {
                self.failures = 0;
                self.avoided_until = None;
                self.is_outdated = false;
                return;
            }
            Ending::Failed => {
                let doublings = self.failures.min(MAX_FAILURE_DOUBLINGS);
                self.failures += 1;
                INITIAL_FAILURE_BACKOFF * (1 << doublings)
            }
            Ending::Declined(Decline::LinksLost) => LINKS_LOST_BACKOFF,
            Ending::Declined(Decline::Stopping) => STOPPING_BACKOFF,
            Ending::Declined(Decline::Outdated) => OUTDATED_BACKOFF,
            Ending::Declined(_) => DECLINE_BACKOFF,
        };
        self.is_outdated = ending == Ending::Declined(Decline::Outdated);
        self.avoided_until = self.avoided_until.max(Some(now + backoff));
    }
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
