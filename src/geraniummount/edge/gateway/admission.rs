//! Admission of a caller's request: finds the route, plans the call, rejects it if the leaves are
//! overloaded, and otherwise starts it. A call is a caller's request in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use log::info;

use super::caller::State;
use super::calls::{CallState, ForwardedRequest};
use super::content::Content;
use super::delegation::CallerRequest;
use super::load_shedding;
use super::trials::Waiting;
use super::{Gateway, delegation};
use crate::core::call::{Call, Plan};
use crate::core::delegation::{Decline, Handler, Terms, Unable};
use crate::core::fingerprint::{self, Fingerprint};
use crate::core::memory_account::{Holder, Share};
use crate::core::not_run::NotRun;
use crate::core::quarantine::Admission;
use crate::core::route::{Route, Table, Target};
use crate::core::tenant::{Access, Credential, Denial};
use crate::platform::headers::{self, CallerFields};
use crate::util::h1::Request;

/// `Retry-After` of a request that nobody can handle yet.
const UNHANDLED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that was read completely.
struct Arrival {
    /// Key of the connection that it arrived on.
    key: usize,
    request: Request,
    content: Vec<u8>,
    caller_fields: CallerFields,
    /// Who sends the request.
    credential: Credential,
    fingerprint: Fingerprint,
}

impl Gateway {
    /// Starts the call for a request that was read completely, or answers it at once if it cannot
    /// be served. `key` is that of the caller's connection. `terms` are given for a request that
    /// another VM delegated to this one.
    pub(super) fn admit(
        &mut self,
        key: usize,
        request: Request,
        content: Vec<u8>,
        terms: Option<Terms>,
    ) {
        let arrival = Arrival::new(key, request, content, terms.as_ref());
        let needed = arrival.request.held_bytes() + arrival.content.capacity();
        if !self.account.admits(0, needed) {
            return self.refuse_for_memory(key, &arrival.caller_fields.id, terms.as_ref());
        }
        if !self.has_leaf_list {
            return self.refuse_unhandled(&arrival, Unable::NoRoutes);
        }
        if let Some(terms) = terms {
            return match self.routes.for_peer(terms.min_version) {
                Ok(table) => self.admit_by_routes(arrival, &table, Some(terms)),
                Err(decline) => self.decline(key, &terms.from, decline, None),
            };
        }
        match self.handler() {
            Handler::Own(table) => self.admit_by_routes(arrival, &table, None),
            Handler::OwnIfConnected(table) => self.admit_if_connected(arrival, &table),
            Handler::Peer { min_version, table } => {
                let route = table.as_ref().and_then(|table| arrival.find_route(table));
                self.admit_for_delegation(arrival, min_version, route);
            }
            Handler::Nobody(unable) => self.refuse_unhandled(&arrival, unable),
        }
    }

    /// Refuses a request that nobody can handle now.
    fn refuse_unhandled(&mut self, arrival: &Arrival, unable: Unable) {
        let (id, why) = (&arrival.caller_fields.id, unable.as_str());
        info!("request id={id} outcome=refused status=503 why={why}");
        self.metrics.count_answer("refused");
        let not_run = NotRun::without_attempts();
        self.write_refusal(arrival.key, not_run, UNHANDLED_RETRY_AFTER);
    }

    /// Starts the call for a request by the given routes, or rejects it.
    fn admit_by_routes(&mut self, arrival: Arrival, table: &Table, terms: Option<Terms>) {
        let Some(route) = arrival.find_route(table) else {
            return self.reject_without_route(&arrival, table.version);
        };
        match table
            .tenants()
            .authenticate(arrival.credential, route.allows_anonymous)
        {
            Ok(access) => self.admit_for_leaves(arrival, table, route, &access, terms),
            Err(denial) => self.reject_unauthorized(&arrival, route, denial, table.version),
        }
    }

    /// Starts the call for a request if there is an open connection to a leaf for each of its parts;
    /// otherwise lets another VM handle it.
    fn admit_if_connected(&mut self, arrival: Arrival, table: &Table) {
        let route = arrival.find_route(table);
        let is_connected = |route: &&Route| self.has_idle_connections(&route.target.services());
        match route.filter(is_connected) {
            Some(_) => self.admit_by_routes(arrival, table, None),
            None => self.admit_for_delegation(arrival, table.version, route),
        }
    }

    /// Rejects a request that matches no route.
    fn reject_without_route(&mut self, arrival: &Arrival, version: u64) {
        let host = arrival.request.host().unwrap_or_default();
        let id = &arrival.caller_fields.id;
        info!("request id={id} outcome=no-route status=404 host={host} version={version}");
        self.metrics.count_answer("no-route");
        let why = "no route matches; check host and path";
        self.write_plain(arrival.key, 404, why, None);
    }

    /// Rejects a request that shows no key of a tenant although its route requires one.
    fn reject_unauthorized(
        &mut self,
        arrival: &Arrival,
        route: &Route,
        denial: Denial,
        version: u64,
    ) {
        let (id, route, why) = (&arrival.caller_fields.id, &route.name, denial.as_str());
        info!(
            "request id={id} route={route} outcome=unauthorized status=401 why={why} \
             version={version}"
        );
        self.metrics.count_answer("unauthorized");
        let why = "no tenant holds this key; send Authorization: Token KEY";
        self.write_plain(arrival.key, 401, why, None);
    }

    /// Starts the call for a request, or rejects it.
    fn admit_for_leaves(
        &mut self,
        mut arrival: Arrival,
        table: &Table,
        route: &Route,
        access: &Access,
        terms: Option<Terms>,
    ) {
        self.request_rate.record(self.now);
        let (key, fingerprint) = (arrival.key, arrival.fingerprint);
        let mut plan = self.plan(route, arrival.caller_fields.timeout, terms.as_ref());
        if !self.fit_into_stop(&mut plan) {
            return self.refuse_because_of_stop(key, &arrival.caller_fields.id);
        }
        if !self.admits(table, route, &plan) {
            // Rejected requests also count towards the number of retries that is allowed.
            plan.record_requests(&mut self.placement, self.now);
            return self.turn_away(&arrival, route, terms.as_ref());
        }
        let earlier_crashes = match self.quarantine_admission(fingerprint) {
            Admission::Admitted(crashes) => crashes,
            Admission::Withheld(wait) => {
                plan.record_requests(&mut self.placement, self.now);
                return self.withhold(key, &arrival.caller_fields.id, fingerprint, wait);
            }
            Admission::TrialDue => return self.await_trial(key, arrival.into_waiting(terms)),
        };
        if terms.is_some() {
            self.metrics.count_peer_request("served");
        }
        headers::strip_request_fields(&mut arrival.request.fields);
        if *access != Access::Unrestricted {
            let tenant = access.tenant().map(|tenant| tenant.name.as_str());
            headers::replace_credential(&mut arrival.request.fields, tenant);
        }
        let is_suspect = plan.is_gather() && self.may_end_all_leaves();
        let earlier_crashes = earlier_crashes.max(usize::from(is_suspect));
        let call = Call::new(plan, self.now).with_earlier_crashes(earlier_crashes);
        let serial = self.allocate_serial();
        let credential = arrival.credential;
        self.start_call(CallState {
            serial,
            credential,
            caller: key,
            from: terms.map(|terms| terms.from),
            call,
            forwarded: Arc::new(arrival.into_forwarded(self.account.share(Holder::Requests))),
            route: route.name.clone(),
            version: table.version,
            started: self.now,
            wake_at: None,
            sends: 0,
            unserved_when_due: false,
            crashes: Vec::new(),
            parts: self.account.share(Holder::Parts),
        });
    }

    /// Returns whether a search has perhaps just ended all leaves, and no VM knows yet which one it was.
    fn may_end_all_leaves(&self) -> bool {
        let was_lost = self.leaf_links.was_just_lost(self.now);
        was_lost && !self.quarantine.has_recent_verdict(self.now)
    }

    /// Delegates a caller's request to another VM, unless it is withheld. The other VM claims a trial
    /// that is due. `route` is that of this VM; `None` if it has none, or an older one.
    fn admit_for_delegation(
        &mut self,
        mut arrival: Arrival,
        min_version: u64,
        route: Option<&Route>,
    ) {
        let (key, fingerprint) = (arrival.key, arrival.fingerprint);
        if let Admission::Withheld(wait) = self.quarantine_admission(fingerprint) {
            return self.withhold(key, &arrival.caller_fields.id, fingerprint, wait);
        }
        let timeout = arrival.caller_fields.timeout;
        let mut plan = match route {
            Some(route) => plan_for_peer(route, timeout, self.now),
            None => Plan::without_route(timeout, self.now),
        };
        if !self.fit_into_stop(&mut plan) {
            return self.refuse_because_of_stop(key, &arrival.caller_fields.id);
        }
        headers::strip_request_fields(&mut arrival.request.fields);
        delegation::strip_request_fields(&mut arrival.request.fields);
        if self.routes.has_tenants() {
            headers::replace_credential(&mut arrival.request.fields, None);
        }
        let credential = arrival.credential;
        self.delegate(CallerRequest {
            caller: key,
            credential,
            plan,
            forwarded: Arc::new(arrival.into_forwarded(self.account.share(Holder::Requests))),
            min_version,
            started: self.now,
            sends: 0,
        });
    }

    /// Rejects a query because leaves are overloaded.
    fn turn_away(&mut self, arrival: &Arrival, route: &Route, terms: Option<&Terms>) {
        let (key, id, route) = (arrival.key, &arrival.caller_fields.id, &route.name);
        info!("request id={id} route={route} outcome=turned-away status=503");
        self.metrics.count_answer("turned-away");
        let wait = load_shedding::RETRY_AFTER;
        if let Some(terms) = terms {
            return self.decline(key, &terms.from, Decline::Overloaded, Some(wait));
        }
        self.write_refusal(key, NotRun::without_attempts(), wait);
    }

    /// Plans a request of a route; chooses one of the services between which the route splits its
    /// requests.
    fn plan(&mut self, route: &Route, timeout: Option<Duration>, terms: Option<&Terms>) -> Plan {
        let (service, gather) = match &route.target {
            Target::Service(service) => (Some(service.clone()), None),
            Target::Split(parts) => (self.split.choose(parts).cloned(), None),
            Target::Gather(gather) => (None, Some(gather)),
        };
        let plan = Plan::new(route, service, gather, timeout, self.now);
        match terms {
            Some(terms) => plan.delegated(terms, self.now),
            None => plan,
        }
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

/// Plans a request that another VM handles, which chooses one of the services of a split.
fn plan_for_peer(route: &Route, timeout: Option<Duration>, now: Instant) -> Plan {
    let (service, gather) = match &route.target {
        Target::Service(service) => (Some(service.clone()), None),
        Target::Split(_) => (None, None),
        Target::Gather(gather) => (None, Some(gather)),
    };
    Plan::new(route, service, gather, timeout, now)
}

impl Arrival {
    /// Reads what the gateway needs to know about a request.
    fn new(key: usize, request: Request, content: Vec<u8>, terms: Option<&Terms>) -> Arrival {
        let host = request.host().unwrap_or_default();
        let caller_fields = headers::read_caller_fields(&request.fields);
        Arrival {
            key,
            credential: terms.map_or(caller_fields.credential, |terms| terms.credential),
            caller_fields,
            fingerprint: fingerprint(host, &request, &content),
            request,
            content,
        }
    }

    /// Returns the route of the request.
    fn find_route<'a>(&self, table: &'a Table) -> Option<&'a Route> {
        let host = self.request.host().unwrap_or_default();
        table.find(host, self.request.path())
    }

    /// Returns the request as it waits for a trial.
    fn into_waiting(self, terms: Option<Terms>) -> Waiting {
        Waiting {
            fingerprint: self.fingerprint,
            request: self.request,
            content: self.content,
            terms,
        }
    }

    /// Returns the request as it is forwarded.
    fn into_forwarded(self, share: Share) -> ForwardedRequest {
        let head_bytes = self.request.held_bytes();
        ForwardedRequest {
            id: self.caller_fields.id,
            fingerprint: self.fingerprint,
            method: self.request.method,
            target: self.request.target,
            fields: self.request.fields,
            content: Arc::new(Content::new(self.content, head_bytes, share)),
        }
    }
}

/// Returns the fingerprint of a request, which is the same for each repetition of it.
fn fingerprint(host: &str, request: &Request, content: &[u8]) -> Fingerprint {
    let parts = [host, &request.method, &request.target];
    let parts = parts.iter().map(|part| part.as_bytes());
    fingerprint::of(parts.chain([content]))
}
