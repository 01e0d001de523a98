//! Serves requests that other VMs delegate to this one.
//!
//! They arrive on a listener of their own, and are read like those of callers. A request that does
//! not contain this VM's key is not served: callers can't read the key, which is registered in the
//! platform's store. A request is never delegated a second time, so that no request goes in
//! circles.
//!
//! After a stall of this VM, requests are held for a moment: the other VM may have given them up
//! meanwhile, and the end of its connection may arrive only after the request.

use std::time::Duration;

use log::info;

use super::wire::{self, Credentials};
use crate::core::delegation::{Decline, Purpose, Terms, offload};
use crate::edge::gateway::Gateway;
use crate::edge::gateway::caller::{CallerConnection, State};
use crate::edge::gateway::timers::Timer;
use crate::util::h1::{self, Request};

impl Gateway {
    /// Starts the call for a request of another VM that was read completely, or declines it.
    pub(in crate::edge::gateway) fn admit_delegated(
        &mut self,
        key: usize,
        mut request: Request,
        content: Vec<u8>,
    ) {
        if let Some(at) = self.stall.settles_at(self.now) {
            self.caller_connections[key].state = State::Held { request, content };
            return self.timers.add(at, Timer::HeldRequests);
        }
        let Some(credentials) = self.authenticate(&request) else {
            return self.decline(key, "unknown", Decline::Unauthorized, None);
        };
        let terms = credentials.terms;
        if let Some(decline) = self.reason_to_decline(&request, &terms) {
            return self.decline(key, &terms.from, decline, None);
        }
        self.acknowledge(key);
        wire::strip(&mut request.fields);
        self.admit(key, request, content, Some(terms));
    }

    /// Admits the requests that were held after a stall. The other VM may have given them up in the
    /// meantime and had another VM serve them; their connections are closed by now.
    pub(in crate::edge::gateway) fn admit_held(&mut self) {
        if let Some(at) = self.stall.settles_at(self.now) {
            return self.timers.add(at, Timer::HeldRequests);
        }
        let is_held = |caller: &CallerConnection| matches!(caller.state, State::Held { .. });
        let held = self.caller_connections.iter();
        let held = held.filter(|(_, caller)| is_held(caller));
        let keys: Vec<usize> = held.map(|(key, _)| key).collect();
        for key in keys {
            let caller = &mut self.caller_connections[key];
            let state = std::mem::replace(&mut caller.state, State::Idle);
            if let State::Held { request, content } = state {
                self.admit_delegated(key, request, content);
            }
        }
    }

    /// Returns what a request says about itself if it contains this VM's key.
    fn authenticate(&self, request: &Request) -> Option<Credentials> {
        let credentials = wire::read_terms(&request.fields)?;
        let is_for_this_vm = self.delegation.is_own_key(&credentials.key);
        is_for_this_vm.then_some(credentials)
    }

    fn reason_to_decline(&mut self, request: &Request, terms: &Terms) -> Option<Decline> {
        if self.stop.is_some() {
            return Some(Decline::Stopping);
        }
        if self.leaf_links.is_lost() {
            return Some(Decline::LinksLost);
        }
        if !self.has_leaf_list {
            return Some(Decline::NotReady);
        }
        if terms.purpose == Purpose::Offload && !self.has_room_for_offloaded() {
            return Some(Decline::Busy);
        }
        let keys = self.keys_of(request, terms.credential);
        self.routes.for_peer(terms.min_version, keys).err()
    }

    /// Returns whether this VM has time for queries that other VMs could serve themselves.
    fn has_room_for_offloaded(&self) -> bool {
        if !offload::is_read_in_time(self.iteration.max_waited()) {
            return false;
        }
        let calls = self.calls.iter();
        let parts = calls.map(|(_, state)| state.call.plan().services.len());
        offload::has_room(parts.sum(), self.options.millicores)
    }

    /// Tells the VM that its request was read and is being served, and by which version of the
    /// routes. The answer may be lost, or come after callers have seen the effect of that version.
    fn acknowledge(&mut self, key: usize) {
        let mut interim = Vec::with_capacity(64);
        h1::write_status_line(&mut interim, 102);
        wire::write_version(&mut interim, self.routes.version());
        let caller = &mut self.caller_connections[key];
        if let Some(handoff) = caller.handoff {
            wire::write_handoff(&mut interim, handoff);
        }
        h1::write_head_end(&mut interim);
        caller.socket.queue(&interim);
        // A write error is reported again by the next event of the socket.
        let _ = caller.socket.flush();
    }

    /// Tells the VM `from` that its request is not served here.
    pub(in crate::edge::gateway) fn decline(
        &mut self,
        key: usize,
        from: &str,
        decline: Decline,
        retry_after: Option<Duration>,
    ) {
        info!("delegation from={from} outcome=declined why={decline}");
        self.metrics.count_peer_request(decline.as_str());
        let mut answer = Vec::with_capacity(160);
        h1::write_status_line(&mut answer, 503);
        wire::write_decline(&mut answer, decline, retry_after);
        h1::write_number_field(&mut answer, "Content-Length", 0);
        self.write_connection_fields(&mut answer, key);
        h1::write_head_end(&mut answer);
        self.send_response(key, answer);
        self.answered_callers.push(key);
    }
}
