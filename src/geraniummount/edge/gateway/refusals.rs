//! Refusals of requests that are not sent to any leaf.

use std::time::Duration;

use log::info;

use super::Gateway;
use super::arrival::Arrival;
use super::load_shedding::Overload;
use crate::core::delegation::{Terms, Unable};
use crate::core::not_run::NotRun;
use crate::core::route::Route;
use crate::core::tenant::Denial;

/// `Retry-After` of a request that nobody can handle yet.
const UNHANDLED_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Gateway {
    /// Refuses a request that nobody can handle now.
    pub(super) fn refuse_unhandled(&mut self, arrival: &Arrival, unable: Unable) {
        if unable == Unable::KeysUnconfirmed {
            self.metrics.count_unconfirmed_request("refused");
        }
        let (id, why) = (&arrival.caller_fields.id, unable.as_str());
        info!("request id={id} outcome=refused status=503 why={why}");
        self.metrics.count_answer("refused");
        let not_run = NotRun::without_attempts();
        self.write_refusal(arrival.key, not_run, UNHANDLED_RETRY_AFTER);
    }

    /// Rejects a request that matches no route.
    pub(super) fn reject_without_route(&mut self, arrival: &Arrival, version: u64) {
        let host = arrival.request.host().unwrap_or_default();
        let id = &arrival.caller_fields.id;
        info!("request id={id} outcome=no-route status=404 host={host} version={version}");
        self.metrics.count_answer("no-route");
        let why = "no route matches; check host and path";
        self.write_plain(arrival.key, 404, why, None);
    }

    /// Rejects a request that shows no key of a tenant although its route requires one.
    pub(super) fn reject_unauthorized(
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

    /// Rejects a request because leaves are overloaded.
    pub(super) fn shed_request(
        &mut self,
        arrival: &Arrival,
        route: &Route,
        terms: Option<&Terms>,
        overload: &Overload,
    ) {
        let (key, id, route) = (arrival.key, &arrival.caller_fields.id, &route.name);
        let (wait, inputs) = (overload.retry_after(), overload.log_fields());
        info!("request id={id} route={route} outcome=turned-away status=503{inputs}");
        self.metrics.count_answer("turned-away");
        if let Some(terms) = terms {
            return self.decline(key, &terms.from, overload.decline(), Some(wait));
        }
        self.write_refusal(key, NotRun::without_attempts(), wait);
    }
}
