//! Admission of a caller's request: finds the route, plans the call, rejects it if the leaves are
//! overloaded, and otherwise starts it. A call is a caller's request in flight.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use super::Gateway;
use super::caller::State;
use super::calls::{CallState, ForwardedRequest};
use super::load_shedding;
use crate::core::call::{Call, Plan};
use crate::core::fingerprint::{self, Fingerprint};
use crate::core::quarantine::Admission;
use crate::core::route::{Route, Target};
use crate::platform::headers;
use crate::util::h1::Request;

/// `Retry-After` of a request that arrives before the routes and the leaves are known.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Gateway {
    /// Starts the call for a request that was read completely, or answers it at once if it cannot
    /// be served. `key` is that of the caller's connection.
    pub(super) fn admit(&mut self, key: usize, mut request: Request, content: Vec<u8>) {
        self.request_rate.record(self.now);
        let caller_fields = headers::read_caller_fields(&request.fields);
        let id = caller_fields.id.as_str();
        let Some(table) = self.route_table.clone().filter(|_| self.has_leaf_list) else {
            info!("request id={id} outcome=refused status=503 why=no-routes");
            self.metrics.count_answer("refused");
            let why = "no routes are known yet; come back later";
            return self.write_plain(key, 503, why, Some(NO_ROUTES_RETRY_AFTER));
        };
        let host = request.host().unwrap_or_default();
        let Some(route) = table.find(host, request.path()) else {
            let version = table.version;
            info!("request id={id} outcome=no-route status=404 host={host} version={version}");
            self.metrics.count_answer("no-route");
            return self.write_plain(key, 404, "no route matches; check host and path", None);
        };
        let plan = self.plan(route, caller_fields.timeout);
        if !self.admits(&table, route, &plan) {
            // Rejected requests also count towards the number of retries that is allowed.
            plan.record_requests(&mut self.placement, self.now);
            info!(
                "request id={id} route={} outcome=turned-away status=503",
                route.name
            );
            self.metrics.count_answer("turned-away");
            let why = "it has not run; come back after the time given";
            return self.write_plain(key, 503, why, Some(load_shedding::RETRY_AFTER));
        }
        let fingerprint = fingerprint(host, &request, &content);
        let earlier_crashes = match self.quarantine.admission(fingerprint, self.now) {
            Admission::Admitted(crashes) => crashes,
            Admission::Withheld(wait) => {
                plan.record_requests(&mut self.placement, self.now);
                return self.withhold(key, id, fingerprint, wait);
            }
        };
        headers::strip_request_fields(&mut request.fields);
        let call = Call::new(plan, self.now).with_earlier_crashes(earlier_crashes);
        let forwarded = ForwardedRequest {
            id: caller_fields.id,
            fingerprint,
            method: request.method,
            target: request.target,
            fields: request.fields,
            content,
        };
        let serial = self.allocate_serial();
        self.start_call(CallState {
            serial,
            caller: key,
            call,
            forwarded: Arc::new(forwarded),
            route: route.name.clone(),
            version: table.version,
            started: self.now,
            wake_at: None,
            sends: 0,
            unserved_when_due: false,
            crashes: Vec::new(),
        });
    }

    /// Plans a request of a route; chooses one of the services between which the route splits its
    /// requests.
    fn plan(&mut self, route: &Route, timeout: Option<Duration>) -> Plan {
        let (service, gather) = match &route.target {
            Target::Service(service) => (Some(service.clone()), None),
            Target::Split(parts) => (self.split.choose(parts).cloned(), None),
            Target::Gather(gather) => (None, Some(gather)),
        };
        Plan::new(route, service, gather, timeout, self.now)
    }

    fn start_call(&mut self, state: CallState) {
        let key = state.caller;
        let index = self.calls.insert(state);
        let caller = &mut self.caller_connections[key];
        caller.state = State::InFlight { call: index };
        caller.state_since = self.now;
        let actions = self.calls[index].call.start(&mut self.placement, self.now);
        self.apply_actions(index, actions);
    }
}

/// Returns the fingerprint of a request, which is the same for each repetition of it.
fn fingerprint(host: &str, request: &Request, content: &[u8]) -> Fingerprint {
    let parts = [host, &request.method, &request.target];
    let parts = parts.iter().map(|part| part.as_bytes());
    fingerprint::of(parts.chain([content]))
}
