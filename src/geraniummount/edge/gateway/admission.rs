//! Admission of a caller's request: finds the route, plans the call, rejects it if the leaves are
//! overloaded, and otherwise starts it. A call is a caller's request in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::arrival::Arrival;
use super::caller::State;
use super::calls::CallState;
use super::delegation::CallerRequest;
use super::trials::Waiting;
use super::{Gateway, delegation};
use crate::core::call::{Call, Plan};
use crate::core::cost::Profile;
use crate::core::delegation::{Handler, Purpose, Terms, Unable, offload};
use crate::core::key_lease::Keys;
use crate::core::memory_account::Holder;
use crate::core::quarantine::Admission;
use crate::core::quota::{Decision, Source};
use crate::core::route::{Repeat, Route, Table, Target};
use crate::core::scope::Scope;
use crate::core::tenant::{Access, Credential, Tenant};
use crate::platform::headers;
use crate::util::h1::Request;

/// Time from the arrival of a request until its call starts from which on the request counts as
/// delayed. A stronger VM that is frozen costs twice as much, a round trip between failure domains
/// less.
const MAX_ADMISSION_DELAY: Duration = Duration::from_millis(20);

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
        let arrival = Arrival::new(key, request, content, terms.as_ref(), self.now);
        let needed = arrival.held_bytes();
        if !self.account.admits(0, needed) {
            return self.refuse_for_memory(key, &arrival.caller_fields.id, terms.as_ref());
        }
        self.admit_arrival(arrival, terms);
    }

    /// Starts the call for a request as [`Gateway::admit`] does; it may have waited before.
    pub(super) fn admit_arrival(&mut self, arrival: Arrival, terms: Option<Terms>) {
        if !self.has_leaf_list {
            return self.refuse_unhandled(&arrival, Unable::NoRoutes);
        }
        let keys = self.keys_of(&arrival.request, arrival.credential);
        if let Some(terms) = terms {
            return match self.routes.for_peer(terms.min_version, keys) {
                Ok(table) => self.admit_by_routes(arrival, &table, Some(terms)),
                Err(decline) => self.decline(arrival.key, &terms.from, decline, None),
            };
        }
        self.admit_by_handler(arrival, keys);
    }

    /// Lets the VM that may handle a request of a caller serve it.
    fn admit_by_handler(&mut self, arrival: Arrival, keys: Keys) {
        match self.handler(keys) {
            Handler::Own(table) => self.admit_or_offload(arrival, &table),
            Handler::OwnIfConnected(table) => self.admit_if_connected(arrival, &table),
            Handler::Peer { min_version, table } => {
                let route = table.as_ref().and_then(|table| arrival.find_route(table));
                let mut min_version = min_version;
                if keys == Keys::Unconfirmed {
                    min_version = min_version.max(self.required_version());
                    self.metrics.count_unconfirmed_request("handed-over");
                }
                let purpose = Purpose::Necessity;
                self.admit_for_delegation(arrival, min_version, route, purpose, keys);
            }
            Handler::Nobody(unable) => self.refuse_unhandled(&arrival, unable),
        }
    }

    /// Passes a query over many shards to a stronger VM, if there is one; starts the call for any
    /// other request. One that a stronger VM has not served, or that has waited for a token of this
    /// VM, is served here.
    fn admit_or_offload(&mut self, arrival: Arrival, table: &Table) {
        let route = arrival.find_route(table);
        let is_worthwhile = route.is_some_and(|route| match &route.target {
            Target::Gather(gather) => offload::is_worthwhile(gather.shards.len()),
            Target::Service(_) | Target::Split(_) => false,
        });
        let is_tried = arrival.was_offloaded || arrival.token.is_some();
        if is_worthwhile && !is_tried && self.delegation.has_stronger_peer(self.now) {
            let (purpose, keys) = (Purpose::Offload, Keys::Confirmed);
            return self.admit_for_delegation(arrival, table.version, route, purpose, keys);
        }
        self.admit_by_routes(arrival, table, None);
    }

    /// Serves a request on this VM that was offloaded and that the other VM has not served.
    pub(super) fn admit_again(&mut self, request: CallerRequest) {
        let arrival = Arrival::from_offloaded(request);
        let keys = self.keys_of(&arrival.request, arrival.credential);
        self.admit_by_handler(arrival, keys);
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
            Ok(access) => self.admit_within_quota(arrival, table, route, &access, terms),
            Err(denial) => self.reject_unauthorized(&arrival, route, denial, table.version),
        }
    }

    /// Starts the call for a request if its tenant's quota has room, which other VMs may have to
    /// tell.
    fn admit_within_quota(
        &mut self,
        mut arrival: Arrival,
        table: &Table,
        route: &Route,
        access: &Access,
        terms: Option<Terms>,
    ) {
        let has_token = |tenant: &Tenant| arrival.token.as_ref() == Some(&tenant.name);
        let limited = access.tenant().filter(|tenant| tenant.quota.is_some());
        let Some(tenant) = limited.filter(|tenant| !has_token(tenant)) else {
            return self.admit_for_leaves(arrival, table, route, access, terms);
        };
        match self.request_token(&tenant.name) {
            Decision::Admitted(source) => {
                arrival.token = (source != Source::Unlimited).then(|| tenant.name.clone());
                self.admit_for_leaves(arrival, table, route, access, terms);
            }
            Decision::Waiting(ticket) => {
                let key = arrival.key;
                let waiting = Waiting { arrival, terms };
                self.await_token(key, ticket, &tenant.name, waiting);
            }
            refusal => {
                let id = &arrival.caller_fields.id;
                let (key, tenant) = (arrival.key, &tenant.name);
                self.refuse_for_quota(key, id, tenant, refusal, terms.as_ref());
            }
        }
    }

    /// Starts the call for a request if there is an open connection to a leaf for each of its parts;
    /// otherwise lets another VM handle it.
    fn admit_if_connected(&mut self, arrival: Arrival, table: &Table) {
        let route = arrival.find_route(table);
        let is_connected = |route: &&Route| {
            let scope = self.scope(Some(route), arrival.credential);
            self.has_idle_connections(&route.target.services(), &scope)
        };
        match route.filter(is_connected) {
            Some(_) => self.admit_by_routes(arrival, table, None),
            None => {
                let (purpose, keys) = (Purpose::Necessity, Keys::Confirmed);
                self.admit_for_delegation(arrival, table.version, route, purpose, keys);
            }
        }
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
        if route.repeat == Repeat::AtMostOnce && self.caller_connections[key].may_have_run {
            // The route has changed since a stronger VM got the request.
            self.metrics.count_answer("failed");
            self.write_failure(key, 502, "failed");
            return;
        }
        let mut plan = self.plan(route, &arrival, access);
        if !self.fit_into_stop(&mut plan) {
            self.return_token(arrival.token.as_deref());
            return self.refuse_because_of_stop(key, &arrival.caller_fields.id);
        }
        if let Err(overload) = self.check_load(table, route, access, &plan) {
            // Rejected requests also count towards the number of retries that is allowed.
            plan.record_requests(&mut self.placement, self.now);
            self.return_token(arrival.token.as_deref());
            return self.shed_request(&arrival, route, terms.as_ref(), &overload);
        }
        let earlier_crashes = match self.quarantine_admission(fingerprint) {
            Admission::Admitted(crashes) => crashes,
            Admission::Withheld(wait) => {
                plan.record_requests(&mut self.placement, self.now);
                self.return_token(arrival.token.as_deref());
                return self.withhold(key, &arrival.caller_fields.id, fingerprint, wait);
            }
            Admission::TrialDue => return self.await_trial(key, Waiting { arrival, terms }),
        };
        if terms.is_some() {
            self.metrics.count_peer_request("served");
        }
        headers::strip_request_fields(&mut arrival.request.fields);
        if *access != Access::Unrestricted {
            let tenant = access.tenant().map(|tenant| tenant.name.as_str());
            headers::replace_credential(&mut arrival.request.fields, tenant);
        }
        let profile = profile(&arrival, route, access);
        let call = self.new_call(plan, profile, earlier_crashes);
        let serial = self.allocate_serial();
        let (credential, started) = (arrival.credential, arrival.started());
        let earlier_sends = arrival.sends;
        self.start_call(CallState {
            serial,
            credential,
            caller: key,
            from: terms.map(|terms| terms.from),
            call,
            forwarded: Arc::new(arrival.into_forwarded(self.account.share(Holder::Requests))),
            route: route.name.clone(),
            version: table.version,
            started,
            wake_at: None,
            sends: 0,
            earlier_sends,
            is_delayed: self.now.saturating_duration_since(started) >= MAX_ADMISSION_DELAY,
            unserved_when_due: false,
            crashes: Vec::new(),
            parts: self.account.share(Holder::Parts),
        });
    }

    fn new_call(&self, plan: Plan, profile: Profile, earlier_crashes: usize) -> Call {
        let is_suspect = plan.is_gather() && self.may_end_all_leaves();
        let earlier_crashes = earlier_crashes.max(usize::from(is_suspect));
        let call = Call::new(plan, self.now).with_earlier_crashes(earlier_crashes);
        call.with_profile(profile)
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
        purpose: Purpose,
        keys: Keys,
    ) {
        let (key, fingerprint) = (arrival.key, arrival.fingerprint);
        if let Some(route) = route
            && let Some(denial) = self
                .routes
                .denial_while_closed(arrival.credential, route.allows_anonymous)
        {
            let version = self.routes.version();
            return match keys {
                Keys::Confirmed => self.reject_unauthorized(&arrival, route, denial, version),
                Keys::Unconfirmed => self.refuse_unhandled(&arrival, Unable::KeysUnconfirmed),
            };
        }
        if let Admission::Withheld(wait) = self.quarantine_admission(fingerprint) {
            return self.withhold(key, &arrival.caller_fields.id, fingerprint, wait);
        }
        // The other VM takes a token.
        self.return_token(arrival.token.as_deref());
        let (timeout, started) = (arrival.caller_fields.timeout, arrival.arrived);
        let mut plan = match route {
            Some(route) => plan_for_peer(route, timeout, started),
            None => Plan::without_route(timeout, started),
        };
        plan.scope = self.scope(route, arrival.credential);
        if !self.fit_into_stop(&mut plan) {
            return self.refuse_because_of_stop(key, &arrival.caller_fields.id);
        }
        headers::strip_request_fields(&mut arrival.request.fields);
        delegation::strip_request_fields(&mut arrival.request.fields);
        if self.routes.needs_keys() {
            headers::replace_credential(&mut arrival.request.fields, None);
        }
        let credential = arrival.credential;
        self.delegate(CallerRequest {
            caller: key,
            credential,
            purpose,
            keys,
            plan,
            min_version,
            started,
            timeout,
            sends: arrival.sends,
            forwarded: Arc::new(arrival.into_forwarded(self.account.share(Holder::Requests))),
        });
    }

    /// Returns the failure domains that a request may reach by the newest routes that this VM knows.
    /// If it knows no route for the request and any request is restricted, this one may be too.
    fn scope(&self, route: Option<&Route>, credential: Credential) -> Scope {
        if !self.routes.has_regions() {
            return Scope::ANY;
        }
        let Some(route) = route else {
            return Scope::nowhere();
        };
        let tenant_regions = self.routes.regions_of(credential);
        let allowed = route.regions.as_deref().into_iter();
        Scope::new(
            &self.options.regions,
            allowed.chain(tenant_regions.as_deref()),
        )
    }

    /// Plans a request of a route; chooses one of the services between which the route splits its
    /// requests.
    fn plan(&mut self, route: &Route, arrival: &Arrival, access: &Access) -> Plan {
        let (service, gather) = match &route.target {
            Target::Service(service) => (Some(service.clone()), None),
            Target::Split(parts) => (self.split.choose(parts).cloned(), None),
            Target::Gather(gather) => (None, Some(gather)),
        };
        let timeout = arrival.caller_fields.timeout;
        let plan = Plan::new(route, service, gather, timeout, arrival.arrived);
        let tenant_regions = access.tenant().and_then(|tenant| tenant.regions.as_deref());
        let allowed = route.regions.as_deref().into_iter().chain(tenant_regions);
        plan.within(Scope::new(&self.options.regions, allowed))
            .continued(arrival.elapsed, arrival.sends, self.now)
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

/// Returns what decides the expected cost of a request.
fn profile(arrival: &Arrival, route: &Route, access: &Access) -> Profile {
    let tenant = access.tenant().map(|tenant| tenant.name.clone());
    Profile::new(route.name.clone(), tenant, arrival.content.len())
}
