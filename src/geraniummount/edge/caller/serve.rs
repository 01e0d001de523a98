//! Answers callers' requests.

use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::ask::{self, Ask, Mode};
use super::response;
use super::run::{Machine, Run};
use super::shared::{Permit, Shared};
use super::survey;
use crate::core::answer::Answer;
use crate::core::execution::Execution;
use crate::core::fan_out::{Counters, FanOut, Query};
use crate::core::margin;
use crate::edge::claims::Claims;
use crate::edge::http::{Caller, Fault, Request, Response};
use crate::edge::metrics::{Ending, Try};
use crate::prelude::*;

/// Time to come back when this VM runs as many queries as it may.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time to come back when this VM stops; the balancer then knows.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time to come back to a VM that starts.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers the requests of all connections.
#[derive(Clone)]
pub(super) struct Handler {
    /// What all connections share.
    pub(super) shared: Arc<Shared>,
    /// Claims of idempotency keys.
    pub(super) claims: Claims,
}

impl Handler {
    /// Answers a request, or what was wrong with it; a panic costs that
    /// request only. Returns `None` if its caller is gone.
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
            log::error!("caller: a request failed by a fault of this program; report it");
            let failure = Failure::may_have_run(Reason::LeafError);
            Some(Response {
                status: 500,
                ..response::failure("", &failure)
            })
        })
    }

    /// Refuses a request on a connection that is one too many.
    pub(super) fn refuse(&self) -> Response {
        let failure = Failure::not_run(Reason::Shed).with_retry_after(FULL_RETRY_AFTER);
        self.shared.metrics.failure(&failure);
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
        let drawn = format!("r-{:016x}", rand::random::<u64>());
        let named = ask::read_request_id(http, drawn);
        let request = match named {
            Ok(request) => request,
            Err(fault) => return Some(self.invalid("", &fault, started)),
        };
        let view = self.shared.view.get();
        if view.catalog.service(service).is_none() && !self.shared.is_ready() {
            let failure = Failure::not_run(Reason::Starting);
            let failure = failure.with_retry_after(STARTING_RETRY_AFTER);
            self.shared.metrics.failure(&failure);
            return Some(response::failure(&request, &failure));
        }
        let ask = match Ask::new(service, request.clone(), http, &view.catalog) {
            Ok(ask) => ask,
            Err(fault) => return Some(self.invalid(&request, &fault, started)),
        };
        if self.shared.stopping.load(Ordering::Acquire) {
            let failure = Failure::not_run(Reason::Stopping);
            let failure = failure.with_retry_after(STOPPING_RETRY_AFTER);
            return Some(self.fail(&ask, &failure, started));
        }
        let Some(_permit) = Permit::take(&self.shared.running, self.shared.options.queries) else {
            let failure = Failure::not_run(Reason::Shed).with_retry_after(FULL_RETRY_AFTER);
            return Some(self.fail(&ask, &failure, started));
        };
        let mode = ask.mode.clone();
        match mode {
            Mode::Query => self.fan_out(&ask, view, started, caller),
            Mode::Execution { shard, key } => {
                Some(self.execute(&ask, &shard, key.as_deref(), view, started))
            }
        }
    }

    fn fan_out(
        &self,
        ask: &Ask,
        view: Arc<View>,
        started: Instant,
        caller: &Caller,
    ) -> Option<Response> {
        survey::before_query(&self.shared, &ask.layout, ask.time);
        let query = to_query(ask, started);
        let fan_out = FanOut::new(query, ask.layout.clone(), view, started);
        let mut machine = Machine::Query(Box::new(fan_out));
        let run = Run::new(&self.shared);
        let end = run.to_end(&mut machine, || caller.is_gone());
        let Machine::Query(fan_out) = machine else {
            return None;
        };
        self.count(&ask.service.name, fan_out.counters());
        let response = match end? {
            Ok(answer) => {
                let traces = fan_out.traces();
                self.succeed(ask, &answer, started);
                response::answer(&answer, ask.explain.then_some(&traces))
            }
            Err(failure) => self.fail(ask, &failure, started),
        };
        Some(response)
    }

    fn execute(
        &self,
        ask: &Ask,
        shard: &str,
        key: Option<&str>,
        view: Arc<View>,
        started: Instant,
    ) -> Response {
        let query = to_query(ask, started);
        let Some(shard) = ask.layout.shard(shard) else {
            return self.fail(ask, &Failure::not_run(Reason::NoReplica), started);
        };
        let service = ask.service.name.as_str();
        let answer_by = margin::answer_by(query.deadline, started);
        let claim = |key: &str| self.claims.claim(service, key, &ask.request, answer_by);
        let claim = match key.map(claim).transpose() {
            Ok(claim) => claim,
            Err(failure) => return self.fail(ask, &failure, started),
        };
        let execution = Execution::new(query, shard.clone(), view, started);
        let mut machine = Machine::Execution(Box::new(execution));
        let run = Run::new(&self.shared);
        let end = run.to_end(&mut machine, || false);
        let end = end.unwrap_or(Err(Failure::may_have_run(Reason::Deadline)));
        self.shared.metrics.part(service, Try::First);
        match end {
            Ok(answer) => {
                self.succeed(ask, &answer, started);
                response::answer(&answer, None)
            }
            Err(failure) => {
                if failure.verdict == Verdict::NotRun
                    && let Some(claim) = claim
                {
                    self.claims.release(claim);
                }
                self.fail(ask, &failure, started)
            }
        }
    }

    fn invalid(&self, request: &str, fault: &Fault, started: Instant) -> Response {
        let elapsed = started.elapsed();
        self.shared.metrics.query("", Ending::Invalid, elapsed);
        response::fault(request, fault)
    }

    fn succeed(&self, ask: &Ask, answer: &Answer, started: Instant) {
        let included = answer.coverage.included.len();
        let all = included + answer.coverage.missing.len();
        let ending = if included == all {
            Ending::Whole
        } else {
            Ending::Partial
        };
        let metrics = &self.shared.metrics;
        let service = &ask.service.name;
        metrics.query(service, ending, started.elapsed());
        metrics.coverage(service, included as f64 / all.max(1) as f64);
    }

    fn fail(&self, ask: &Ask, failure: &Failure, started: Instant) -> Response {
        let ending = match failure.verdict {
            Verdict::NotRun => Ending::Refused,
            Verdict::MayHaveRun | Verdict::Ran => Ending::Failed,
        };
        let metrics = &self.shared.metrics;
        metrics.query(&ask.service.name, ending, started.elapsed());
        metrics.failure(failure);
        response::failure(&ask.request, failure)
    }

    fn count(&self, service: &str, counters: Counters) {
        let metrics = &self.shared.metrics;
        let kinds = [
            (counters.first_attempts, Try::First),
            (counters.hedges, Try::Hedge),
            (counters.retries + counters.redirects, Try::Retry),
        ];
        for (count, kind) in kinds {
            for _ in 0..count {
                metrics.part(service, kind);
            }
        }
        for _ in 0..counters.snapshot_mismatches {
            metrics.dropped_reply(Reason::SnapshotMismatch);
        }
        for _ in 0..counters.ignored_outcomes {
            metrics.late_reply();
        }
    }
}

fn to_query(ask: &Ask, started: Instant) -> Query {
    Query {
        request: ask.request.clone(),
        service: ask.service.name.clone(),
        body: Arc::from(ask.body.as_slice()),
        deadline: started + ask.time,
        prefer: ask.service.prefer,
        extra_percent: ask.service.extra_percent,
    }
}
