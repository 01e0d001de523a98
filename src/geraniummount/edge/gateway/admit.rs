//! A whole request: its route, its plan, its start.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use super::Gateway;
use super::caller::State;
use super::calls::{CallState, Forward};
use super::load;
use crate::core::call::{Call, Plan};
use crate::core::route::Target;
use crate::platform::headers;
use crate::util::h1::Request;

/// Time to come back where no routes are known yet.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Gateway {
    /// Starts a request, or answers it at once.
    pub(super) fn admit(&mut self, key: usize, mut request: Request, content: Vec<u8>) {
        let caller = headers::read_caller(&request.fields);
        let id = caller.id.as_str();
        let Some(table) = self.table.clone().filter(|_| self.leaves_known) else {
            info!("request id={id} outcome=refused status=503 why=no-routes");
            self.counts.count_answer("refused");
            let why = "no routes are known yet; come back later";
            return self.write_plain(key, 503, why, Some(NO_ROUTES_RETRY_AFTER));
        };
        let host = request.host().unwrap_or_default();
        let Some(route) = table.find(host, request.path()) else {
            let version = table.version;
            info!("request id={id} outcome=no-route status=404 host={host} version={version}");
            self.counts.count_answer("no-route");
            return self.write_plain(key, 404, "no route matches; check host and path", None);
        };
        let (service, gather) = match &route.target {
            Target::Service(service) => (Some(service.clone()), None),
            Target::Split(parts) => (self.split.choose(parts).cloned(), None),
            Target::Gather(gather) => (None, Some(gather)),
        };
        let plan = Plan::new(route, service, gather, caller.patience, self.now);
        if !self.admits(&table, route, &plan) {
            plan.record_requests(&mut self.placement, self.now);
            info!(
                "request id={id} route={} outcome=turned-away status=503",
                route.name
            );
            self.counts.count_answer("turned-away");
            let why = "it has not run; come back after the time given";
            return self.write_plain(key, 503, why, Some(load::RETRY_AFTER));
        }
        headers::strip_request(&mut request.fields);
        let call = Call::new(plan, self.now);
        let forward = Forward {
            id: caller.id,
            method: request.method,
            target: request.target,
            fields: request.fields,
            content,
        };
        let serial = self.serial();
        self.start_call(CallState {
            serial,
            caller: key,
            call,
            forward: Arc::new(forward),
            route: route.name.clone(),
            version: table.version,
            started: self.now,
            wake: None,
            sends: 0,
            unserved_when_due: false,
        });
    }

    fn start_call(&mut self, state: CallState) {
        let key = state.caller;
        let index = self.calls.insert(state);
        let caller = &mut self.callers[key];
        caller.state = State::Waiting { call: index };
        caller.since = self.now;
        let actions = self.calls[index].call.start(&mut self.placement, self.now);
        self.act(index, actions);
    }
}
