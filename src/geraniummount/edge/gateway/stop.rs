//! Planned stop: shuts the gateway down without dropping a request that was read.
//!
//! The platform's readiness probes fail at once, and each caller's connection is closed after its
//! next response. Connections are still accepted until the platform, which the users run and which
//! directs callers to VMs that are ready, has had time to notice. Then the listeners for callers and for
//! other VMs are closed, once they have accepted what has arrived, and the idle connections. The process ends when all requests are answered or the
//! drain time is over.
//!
//! Each request that was read is answered before that, if only with a timeout. One that may run only
//! once is rejected, as not run, if it may take longer: another VM can take it.

use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use super::caller::{CallerConnection, Origin, State};
use super::timers::Timer;
use crate::core::call::Plan;
use crate::core::route::Repeat;

/// Interval at which a stop in progress is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time reserved before the end of the process for sending the last answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// `Retry-After` of a request that may take longer than the process lives.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// A planned stop in progress.
#[derive(Debug)]
pub(super) struct Stop {
    /// When the listener for callers is closed.
    stop_accepting_at: Instant,
    /// When the requests in flight are answered at the latest.
    answer_by: Instant,
    /// When the process ends even if requests are unanswered.
    deadline: Instant,
}

impl Gateway {
    pub(super) fn begin_stop(&mut self) {
        if self.stop.is_some() {
            return;
        }
        let open = self.open_requests();
        info!("stop event=begun open={open}");
        let drain = self.options.drain;
        let answer_by = self.now + drain.saturating_sub(ANSWER_MARGIN);
        self.stop = Some(Stop {
            stop_accepting_at: self.now + self.options.linger,
            answer_by,
            deadline: self.now + drain,
        });
        self.timers.add(self.now + CHECK_INTERVAL, Timer::Stop);
        self.end_calls_before(answer_by);
        self.end_delegated_before(answer_by);
        self.stop_counting_quotas();
    }

    /// Lets the plan of a request end before the process does. Returns whether the request may be
    /// passed on.
    pub(super) fn fit_into_stop(&self, plan: &mut Plan) -> bool {
        let Some(stop) = &self.stop else {
            return true;
        };
        let fits = plan.end_by <= stop.answer_by;
        plan.end_before(stop.answer_by);
        fits || (plan.repeat == Repeat::Idempotent && self.now < stop.answer_by)
    }

    /// Rejects a request that may take longer than the process lives. `key` is that of the caller's
    /// connection.
    pub(super) fn refuse_because_of_stop(&mut self, key: usize, id: &str) {
        info!("request id={id} outcome=stopping status=503");
        self.metrics.count_answer("stopping");
        let why = "it has not run, as this VM is being stopped; send it to another one";
        self.write_plain(key, 503, why, Some(RETRY_AFTER));
    }

    pub(super) fn on_stop_timer(&mut self) {
        let Some(stop) = &self.stop else {
            return;
        };
        if self.now >= stop.stop_accepting_at && self.callers_listener.is_some() {
            self.accept_all(Origin::Caller);
            self.accept_all(Origin::Peer);
            self.callers_listener = None;
            self.delegation.listener = None;
            self.close_idle_callers();
        }
        self.timers.add(self.now + CHECK_INTERVAL, Timer::Stop);
    }

    /// Returns whether all requests were answered; `None` until the stop is over.
    pub(super) fn stop_result(&self) -> Option<bool> {
        let stop = self.stop.as_ref()?;
        if self.now >= stop.deadline {
            let open = self.open_requests();
            info!("stop event=ended open={open}");
            return Some(open == 0);
        }
        let is_over = self.callers_listener.is_none() && self.caller_connections.is_empty();
        if is_over {
            info!("stop event=ended open=0");
        }
        is_over.then_some(true)
    }

    /// Returns the number of requests that have no response yet.
    fn open_requests(&self) -> usize {
        self.calls.len() + self.delegation.open_count() + self.quota.open_count()
    }

    /// Closes the callers' idle connections, after reading each a last time so that no request that
    /// has already arrived is lost.
    fn close_idle_callers(&mut self) {
        let keys: Vec<usize> = self.caller_connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.read_caller(key, false);
            let unused = |caller: &CallerConnection| {
                matches!(caller.state, State::Idle) && !caller.socket.has_pending_output()
            };
            if self.caller_connections.get(key).is_some_and(unused) {
                self.caller_connections.remove(key);
            }
        }
    }
}
