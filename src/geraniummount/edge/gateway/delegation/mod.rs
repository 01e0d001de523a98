//! Delegates requests to other VMs while this VM has lost its links to the leaves, and serves the
//! requests that other VMs delegate to this one.
//!
//! [`connection`] passes a request to another VM, [`finish`] responds to the caller, [`serve`]
//! accepts the requests of others, and [`wire`] reads and writes the header fields between two VMs.
//! `core::delegation` decides which VM is asked and when a request ends.
//!
//! A call whose parts were already sent to leaves when the links were found to be lost is handed
//! over to another VM if nothing has answered it and the retry allowances permit it.

mod assignment;
mod caller_request;
mod connection;
mod finish;
mod serve;
mod wire;

use std::collections::VecDeque;
use std::time::Instant;

use log::{debug, info};
use mio::net::TcpListener;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slab::Slab;

use self::assignment::Assignment;
use self::caller_request::Delegated;
use self::connection::PeerConnection;
use super::caller::State;
use super::timers::Timer;
use super::{Gateway, Options};
use crate::core::call::Action as CallAction;
use crate::core::delegation::{
    Action, Completion, Handler, Links, Outcome, Peer, Peers, Purpose, Request,
};
use crate::core::key_lease::Keys;
use crate::core::route::Repeat;

pub(super) use self::caller_request::CallerRequest;
pub(super) use self::wire::{
    is_own as is_field_between_vms, read_handoff, strip as strip_request_fields, write_handoff,
    write_version,
};

/// Delegation of requests, as the event loop knows it.
#[derive(Debug)]
pub(super) struct Delegation {
    /// Listener for other VMs; `None` if this VM takes no part or has closed it for a stop.
    pub(super) listener: Option<TcpListener>,
    /// Secret that the requests of other VMs have to contain; `None` until it is registered.
    own_key: Option<String>,
    peers: Peers,
    requests: Slab<Delegated>,
    pub(super) connections: Slab<PeerConnection>,
    /// Keys of the requests for which something has arrived that has not been passed to them yet.
    arrived: VecDeque<usize>,
    /// Whether the calls in flight have to be handed over to other VMs.
    pub(super) is_handover_due: bool,
}

impl Delegation {
    /// Binds the listener for other VMs, if one is configured.
    pub(super) fn bind(options: &Options) -> std::io::Result<Delegation> {
        let rng = SmallRng::seed_from_u64(rand::random());
        Ok(Delegation {
            listener: options.peer_listen.map(TcpListener::bind).transpose()?,
            own_key: None,
            peers: Peers::new(options.name.clone(), options.failure_domain.clone(), rng)
                .with_millicores(options.millicores),
            requests: Slab::new(),
            connections: Slab::new(),
            arrived: VecDeque::new(),
            is_handover_due: false,
        })
    }

    /// Returns another VM that is registered.
    pub(super) fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns all other VMs that are registered, sorted by name.
    pub(super) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Returns whether a stronger VM of this VM's failure domain can be asked now.
    pub(super) fn has_stronger_peer(&self, now: Instant) -> bool {
        self.peers.has_stronger(now)
    }

    /// Returns the request that waits for the outcome of an assignment; `None` if it has ended, was
    /// given to another VM, or has the outcome already.
    fn awaiting(&mut self, assignment: Assignment) -> Option<&mut Delegated> {
        let state = self.requests.get_mut(assignment.request);
        state.filter(|state| state.awaits(assignment.handoff))
    }

    /// Returns whether a text is the secret that this VM has registered.
    pub(super) fn is_own_key(&self, key: &str) -> bool {
        self.own_key.as_deref() == Some(key)
    }

    /// Returns the number of requests that wait for the answer of another VM.
    pub(super) fn open_count(&self) -> usize {
        self.requests.len()
    }
}

impl Gateway {
    /// Replaces the list of VMs that are registered.
    pub(super) fn apply_peers(&mut self, peers: Vec<Peer>) {
        let own = peers.iter().find(|peer| peer.name == self.options.name);
        self.delegation.own_key = own.map(|peer| peer.key.clone());
        self.apply_quota_vms(&peers);
        let vms = peers.len() + usize::from(own.is_none());
        if self.options.peer_listen.is_some() {
            self.placement.set_fleet_size(vms, self.now);
        }
        self.delegation.peers.update(peers);
        let count = self.delegation.peers.len();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        if self.metrics.gauges.known_peers.get() != count {
            info!("delegation event=peers known={count}");
            self.metrics.gauges.known_peers.set(count);
        }
    }

    /// Returns who handles a new request of a caller; `keys` says whether this VM may decide about its
    /// key.
    pub(super) fn handler(&self, keys: Keys) -> Handler {
        let links = match self.leaf_links.is_lost() {
            false => Links::Working,
            true if self.only_open_connections_work() => Links::OnlyOpenConnections,
            true => Links::Lost,
        };
        self.routes
            .handler(links, keys, !self.delegation.peers.is_empty())
    }

    /// Delegates the request of a caller.
    pub(super) fn delegate(&mut self, mut caller_request: CallerRequest) {
        let min_version = self.routes.min_version();
        caller_request.min_version = caller_request.min_version.max(min_version);
        let serial = self.allocate_serial();
        let connection = &mut self.caller_connections[caller_request.caller];
        let plan = &caller_request.plan;
        let (own_domain, regions) = (&self.options.failure_domain, &self.options.regions);
        let scope = plan.scope.with_region_of(own_domain, regions);
        let index = self.delegation.requests.insert(Delegated {
            serial,
            request: Request::new(plan.repeat, plan.end_by)
                .with_purpose(caller_request.purpose)
                .with_min_attempt_time(plan.min_attempt_time)
                .with_sends(caller_request.sends)
                .with_earlier_run(connection.may_have_run)
                .within(scope),
            caller_request,
            connection: None,
            arrived: None,
            asked: 0,
            wake_at: None,
        });
        connection.state = State::Delegated { request: index };
        connection.state_since = self.now;
        let peers = &mut self.delegation.peers;
        let actions = self.delegation.requests[index]
            .request
            .start(peers, self.now);
        self.apply_delegation(index, actions);
    }

    /// Ends all delegated requests at `limit` at the latest.
    pub(super) fn end_delegated_before(&mut self, limit: Instant) {
        let keys = self.delegation.requests.iter().map(|(key, _)| key);
        let keys: Vec<usize> = keys.collect();
        for key in keys {
            self.delegation.requests[key].request.end_before(limit);
            self.schedule_delegated(key);
        }
    }

    /// Hands the calls in flight over to other VMs if that is due, as far as they have no answer
    /// and may be repeated.
    pub(super) fn hand_over_calls(&mut self) {
        let is_due = std::mem::take(&mut self.delegation.is_handover_due);
        let are_answered = self.leaf_links.has_recent_response(self.now);
        if !is_due || are_answered || self.delegation.peers.is_empty() {
            return;
        }
        let keys: Vec<usize> = self.calls.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.hand_over(key);
        }
    }

    fn hand_over(&mut self, index: usize) {
        let state = &mut self.calls[index];
        if state.from.is_some() || self.routes.is_closed() {
            return;
        }
        // By newer routes, the request may be one that may run only once.
        let is_outdated = state.version < self.routes.min_version();
        if is_outdated && state.call.not_run().is_none() {
            return;
        }
        let Some((sends, actions)) = state.call.hand_over(&mut self.placement, self.now) else {
            return;
        };
        for action in actions {
            if let CallAction::Abandon { attempt } = action {
                self.abandon(attempt);
            }
        }
        let state = self.calls.remove(index);
        let mut plan = state.call.plan().clone();
        if is_outdated {
            plan.repeat = Repeat::AtMostOnce;
        }
        self.delegate(CallerRequest {
            caller: state.caller,
            plan,
            forwarded: state.forwarded,
            min_version: state.version,
            started: state.started,
            credential: state.credential,
            timeout: None,
            purpose: Purpose::Necessity,
            keys: Keys::Confirmed,
            sends: state.earlier_sends + sends,
        });
    }

    /// Carries out the actions that a delegated request asks for.
    fn apply_delegation(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { handoff, peer } => {
                    self.delegation.requests[index].asked += 1;
                    let assignment = Assignment {
                        request: index,
                        handoff,
                    };
                    self.send_to_peer(assignment, &peer);
                }
                Action::Abandon => self.close_delegated(index),
                Action::Finish(end) => return self.finish_delegated(index, end),
            }
        }
        self.schedule_delegated(index);
    }

    /// Closes the connection to the VM that has a request, which cancels the request there.
    fn close_delegated(&mut self, index: usize) {
        let state = self.delegation.requests.get_mut(index);
        if let Some(connection) = state.and_then(|state| state.connection.take())
            && let Some(open) = self.delegation.connections.try_remove(connection)
        {
            open.reset();
        }
    }

    /// Keeps the outcome of an assignment for its request until the current event is handled, or until
    /// a timer of the request is. One that the request does not wait for is dropped.
    fn complete(&mut self, assignment: Assignment, outcome: Outcome) {
        let Some(state) = self.delegation.awaiting(assignment) else {
            return debug!("delegation event=stale outcome={}", outcome.as_str());
        };
        state.connection = None;
        state.arrived = Some(Completion {
            handoff: assignment.handoff,
            outcome,
        });
        self.delegation.arrived.push_back(assignment.request);
    }

    /// Passes what has arrived next to its request; returns whether anything had.
    pub(super) fn process_arrived(&mut self) -> bool {
        let Some(index) = self.delegation.arrived.pop_front() else {
            return false;
        };
        // A timer of the request may have been given it already.
        let state = self.delegation.requests.get(index);
        if state.is_some_and(|state| state.arrived.is_some()) {
            self.advance_delegated(index);
        }
        true
    }

    /// Lets a request do what is due, beginning with what has arrived from the VM that has it.
    fn advance_delegated(&mut self, index: usize) {
        let Some(state) = self.delegation.requests.get_mut(index) else {
            return;
        };
        let arrived = state.arrived.take();
        if let Some(arrived) = &arrived {
            self.metrics.count_delegation(arrived.outcome.as_str());
        }
        let (placement, services) = (&mut self.placement, &state.caller_request.plan.services);
        let take_extra = || placement.take_extra_attempts(services.iter().map(String::as_str));
        let peers = &mut self.delegation.peers;
        let actions = state.request.advance(arrived, peers, take_extra, self.now);
        self.apply_delegation(index, actions);
    }

    /// Sets a timer for the next time that the request has something to do.
    fn schedule_delegated(&mut self, index: usize) {
        let Some(state) = self.delegation.requests.get_mut(index) else {
            return;
        };
        let Some(next) = state.request.next_wake() else {
            return;
        };
        if state.wake_at.is_none_or(|set| next < set) {
            state.wake_at = Some(next);
            self.timers.add(next, Timer::Delegated(index, state.serial));
        }
    }

    /// Lets a request do what is due, unless the timer was set for an earlier one with the same
    /// key.
    pub(super) fn on_delegated_timer(&mut self, index: usize, serial: u64) {
        let state = self.delegation.requests.get_mut(index);
        let Some(state) = state.filter(|state| state.serial == serial) else {
            return;
        };
        state.wake_at = None;
        // This VM may have been stalled since it sent the request, and an acknowledgement or an answer
        // may have arrived meanwhile.
        if let Some(connection) = state.connection {
            self.read_peer(connection, false);
        }
        self.advance_delegated(index);
    }
}
