//! Handles callers' requests.
//!
//! A request is split into parts, one for each shard that runs it. An attempt is one try to run a
//! part at a leaf. Before a query is sent, its services are surveyed, which means that the VMs are
//! asked which snapshots (versions of the index) the leaves hold.

use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::quarantine::{self, Quarantine};
use super::response;
use super::run::{Machine, Run};
use super::service_request::{self, Mode, ServiceRequest};
use super::shared::{Permit, Shared};
use super::survey;
use crate::core::answer::Answer;
use crate::core::execution::Execution;
use crate::core::fan_out::{Counters, FanOut, Query};
use crate::core::margin;
use crate::edge::claims::Claims;
use crate::edge::http::{Caller, Fault, Request, Response};
use crate::edge::metrics::{AttemptKind, QueryResult};
use crate::prelude::*;

/// Retry delay sent when this VM is at its limit of connections or concurrent queries.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry delay sent by a VM that is stopping. The load balancer has noticed the stop by then.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay sent by a VM that is starting.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Handles the requests of all connections.
#[derive(Clone)]
pub(super) struct Handler {
    /// State shared by all connections.
    pub(super) shared: Arc<Shared>,
    /// Claims of idempotency keys. A claim is an entry in the key-value store of the platform,
    /// which the users run; the entry records that a key was taken.
    pub(super) claims: Claims,
    /// Requests during which leaves crashed.
    pub(super) quarantine: Quarantine,
}

impl Handler {
    /// Responds to a request, or to one that could not be parsed. A panic fails only the request
    /// that caused it. `caller` tells whether the client is still connected; returns `None` if it
    /// has disconnected.
    pub(super) fn respond(
        &self,
        request: Result<Request, Fault>,
        caller: &Caller,
    ) -> Option<Response> {
        let mut request = match request {
            Ok(request) => request,
            Err(fault) => return Some(self.invalid("", &fault, Instant::now())),
        };
        let served = AssertUnwindSafe(|| self.route(&mut request, caller));
        panic::catch_unwind(served).unwrap_or_else(|_| {
            log::error!(
                "caller: request handler panicked; answering with status 500; report this bug"
            );
            let failure = Failure::may_have_run(Reason::LeafError);
            Some(Response {
                status: 500,
                ..response::failure("", &failure)
            })
        })
    }

    /// Rejects a request on a connection above the limit of connections.
    pub(super) fn shed(&self) -> Response {
        let failure = Failure::not_run(Reason::Shed).with_retry_after(SHED_RETRY_AFTER);
        self.shared.metrics.count_failure(&failure);
        response::failure("", &failure)
    }

    fn route(&self, http: &mut Request, caller: &Caller) -> Option<Response> {
        if http.path == "/ready" {
            return Some(self.ready(http));
        }
        let name = http.path.strip_prefix("/v1/services/");
        let service = name.and_then(|rest| rest.strip_suffix("/query"));
        let Some(service) = service.map(str::to_owned) else {
            let reason = "path is unknown; use /v1/services/{service}/query or /ready";
            return Some(response::fault("", &Fault::new(404, reason)));
        };
        if http.method != "POST" {
            let fault = Fault::new(405, "method is not allowed here; use POST");
            return Some(response::fault("", &fault));
        }
        self.query(&service, http, caller)
    }

    fn ready(&self, http: &Request) -> Response {
        if http.method != "GET" {
            let fault = Fault::new(405, "method is not allowed here; use GET");
            return response::fault("", &fault);
        }
        if self.is_stopping() {
            let failure = Failure::not_run(Reason::Stopping);
            return response::failure("", &failure.with_retry_after(STOPPING_RETRY_AFTER));
        }
        if !self.shared.is_ready() {
            let failure = Failure::not_run(Reason::Starting);
            return response::failure("", &failure.with_retry_after(STARTING_RETRY_AFTER));
        }
        Response {
            status: 200,
            headers: Vec::new(),
            body: b"{\"ready\":true}".to_vec(),
        }
    }

    fn is_stopping(&self) -> bool {
        self.shared.stopping.load(Ordering::Acquire) || self.shared.view.get().stopping
    }

    fn query(&self, service: &str, http: &mut Request, caller: &Caller) -> Option<Response> {
        let started = Instant::now();
        let default_id = format!("r-{:016x}", rand::random::<u64>());
        let id = service_request::read_request_id(http, default_id);
        let id = match id {
            Ok(id) => id,
            Err(fault) => return Some(self.invalid("", &fault, started)),
        };
        let view = self.shared.view.get();
        if view.catalog.service(service).is_none() && !self.shared.is_ready() {
            let failure = Failure::not_run(Reason::Starting);
            let failure = failure.with_retry_after(STARTING_RETRY_AFTER);
            self.shared.metrics.count_failure(&failure);
            return Some(response::failure(&id, &failure));
        }
        let request = match ServiceRequest::parse(service, id.clone(), http, &view.catalog) {
            Ok(request) => request,
            Err(fault) => return Some(self.invalid(&id, &fault, started)),
        };
        if self.shared.stopping.load(Ordering::Acquire) {
            let failure = Failure::not_run(Reason::Stopping);
            let failure = failure.with_retry_after(STOPPING_RETRY_AFTER);
            return Some(self.fail(&request, &failure, started));
        }
        let Some(_permit) = Permit::try_acquire(
            &self.shared.running_queries,
            self.shared.options.max_queries,
        ) else {
            let failure = Failure::not_run(Reason::Shed).with_retry_after(SHED_RETRY_AFTER);
            return Some(self.fail(&request, &failure, started));
        };
        let fingerprint = quarantine::fingerprint(&request);
        let earlier_crashes = match self.quarantine.admit(fingerprint) {
            Ok(crashes) => crashes,
            Err(wait) => {
                let failure = Failure::not_run(Reason::Quarantined).with_retry_after(wait);
                return Some(self.fail(&request, &failure, started));
            }
        };
        let mode = request.mode.clone();
        match mode {
            Mode::Query => self.fan_out(&request, earlier_crashes, view, started, caller),
            Mode::Execution { shard, key } => {
                Some(self.execute(&request, &shard, key.as_deref(), view, started))
            }
        }
    }

    /// Runs an idempotent request on all shards. Returns `None` if the caller has disconnected.
    fn fan_out(
        &self,
        request: &ServiceRequest,
        earlier_crashes: usize,
        view: Arc<View>,
        started: Instant,
        caller: &Caller,
    ) -> Option<Response> {
        survey::before_query(&self.shared, &request.layout, request.timeout);
        let query = to_query(request, started);
        let fan_out = FanOut::new(query, request.layout.clone(), view, started);
        let fan_out = fan_out.with_earlier_crashes(earlier_crashes);
        let mut machine = Machine::Query(Box::new(fan_out));
        let run = Run::new(&self.shared);
        let result = run.complete(&mut machine, || caller.is_gone());
        let Machine::Query(fan_out) = machine else {
            return None;
        };
        self.count_attempts(&request.service.name, fan_out.counters());
        self.record_crashes(request, fan_out.unanswered_crashes(), &result, started);
        let response = match result? {
            Ok(answer) => {
                let traces = fan_out.traces();
                self.succeed(request, &answer, started);
                response::answer(&answer, request.explain.then_some(&traces))
            }
            Err(failure) => self.fail(request, &failure, started),
        };
        Some(response)
    }

    /// Runs a non-idempotent request on one shard, after claiming its idempotency key if it has
    /// one. The claim is released if the request was not run.
    fn execute(
        &self,
        request: &ServiceRequest,
        shard: &str,
        key: Option<&str>,
        view: Arc<View>,
        started: Instant,
    ) -> Response {
        let query = to_query(request, started);
        let Some(shard) = request.layout.shard(shard) else {
            return self.fail(request, &Failure::not_run(Reason::NoReplica), started);
        };
        let service = request.service.name.as_str();
        let answer_by = margin::answer_by(query.deadline, started);
        let claim = |key: &str| self.claims.claim(service, key, &request.id, answer_by);
        let claim = match key.map(claim).transpose() {
            Ok(claim) => claim,
            Err(failure) => return self.fail(request, &failure, started),
        };
        let execution = Execution::new(query, shard.clone(), view, started);
        let mut machine = Machine::Execution(Box::new(execution));
        let run = Run::new(&self.shared);
        let result = run.complete(&mut machine, || false);
        let result = result.unwrap_or(Err(Failure::may_have_run(Reason::Deadline)));
        if let Machine::Execution(execution) = &machine {
            let crashed = execution.unanswered_crashes();
            self.record_crashes(request, crashed, &Some(result.clone()), started);
        }
        self.shared.metrics.count_part(service, AttemptKind::First);
        match result {
            Ok(answer) => {
                self.succeed(request, &answer, started);
                response::answer(&answer, None)
            }
            Err(failure) => {
                if failure.verdict == Verdict::NotRun
                    && let Some(claim) = claim
                {
                    self.claims.release(claim);
                }
                self.fail(request, &failure, started)
            }
        }
    }

    /// Records what a request that has ended says about whether it crashes leaves; `result` is `None`
    /// if its caller has left.
    fn record_crashes(
        &self,
        request: &ServiceRequest,
        crashed: &[LeafName],
        result: &Option<Result<Answer, Failure>>,
        started: Instant,
    ) {
        let fingerprint = quarantine::fingerprint(request);
        if matches!(result, Some(Ok(_))) {
            self.quarantine.record_answer(fingerprint);
        } else if !crashed.is_empty() {
            let age = started.elapsed();
            self.quarantine.record_crashes(fingerprint, crashed, age);
        }
    }

    /// Counts an invalid request, and builds the response for it.
    fn invalid(&self, id: &str, fault: &Fault, started: Instant) -> Response {
        let elapsed = started.elapsed();
        self.shared
            .metrics
            .observe_query("", QueryResult::Invalid, elapsed);
        response::fault(id, fault)
    }

    /// Counts a request that succeeded.
    fn succeed(&self, request: &ServiceRequest, answer: &Answer, started: Instant) {
        let included = answer.coverage.included.len();
        let total = included + answer.coverage.missing.len();
        let result = if included == total {
            QueryResult::Whole
        } else {
            QueryResult::Partial
        };
        let metrics = &self.shared.metrics;
        let service = &request.service.name;
        metrics.observe_query(service, result, started.elapsed());
        metrics.observe_coverage(service, included as f64 / total.max(1) as f64);
    }

    /// Counts a request that failed, and builds the response for it.
    fn fail(&self, request: &ServiceRequest, failure: &Failure, started: Instant) -> Response {
        let result = match failure.verdict {
            Verdict::NotRun => QueryResult::Refused,
            Verdict::MayHaveRun | Verdict::Ran => QueryResult::Failed,
        };
        let metrics = &self.shared.metrics;
        metrics.observe_query(&request.service.name, result, started.elapsed());
        metrics.count_failure(failure);
        response::failure(&request.id, failure)
    }

    fn count_attempts(&self, service: &str, counters: Counters) {
        let metrics = &self.shared.metrics;
        // A redirect sends a part to another replica because the part never reached a leaf.
        let kinds = [
            (counters.first_attempts, AttemptKind::First),
            (counters.hedges, AttemptKind::Hedge),
            (counters.retries + counters.redirects, AttemptKind::Retry),
        ];
        for (count, kind) in kinds {
            for _ in 0..count {
                metrics.count_part(service, kind);
            }
        }
        for _ in 0..counters.snapshot_mismatches {
            metrics.count_dropped_reply(Reason::SnapshotMismatch);
        }
        for _ in 0..counters.ignored_outcomes {
            metrics.count_late_reply();
        }
    }
}

fn to_query(request: &ServiceRequest, started: Instant) -> Query {
    Query {
        request: request.id.clone(),
        service: request.service.name.clone(),
        body: Arc::from(request.body.as_slice()),
        deadline: started + request.timeout,
        prefer: request.service.prefer,
        extra_percent: request.service.extra_percent,
    }
}
