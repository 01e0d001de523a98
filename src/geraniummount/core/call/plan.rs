//! Plans a request: the services it is sent to and its time limits.
//!
//! A part is the share of a request that goes to one shard; a request to one service has one part.

use std::time::{Duration, Instant};

use crate::core::margin;
use crate::core::placement::Placement;
use crate::core::route::{Gather, Repeat, Route};
use crate::core::scope::Scope;
use crate::prelude::*;

/// Time reserved from the target latency for sending the answer to the caller.
const TARGET_MARGIN: Duration = Duration::from_millis(11);

/// Time reserved per shard: a small VM needs this long to merge the shard's part and to send its
/// signature (the text by which the leaf identifies itself) over a narrow link.
const MARGIN_PER_SHARD: Duration = Duration::from_micros(60);

/// The margin is at least the target latency divided by this.
const TARGET_MARGIN_DIVISOR: u32 = 8;

/// An attempt is worth sending only if more than the target latency divided by this is left.
const MIN_ATTEMPT_TIME_DIVISOR: u32 = 10;

/// Minimum time that is stated to the receiver of a request, in which times are whole milliseconds.
const MIN_TIME: Duration = Duration::from_millis(1);

/// Maximum time for a request whose route this VM does not know.
const MAX_TIME_WITHOUT_ROUTE: Duration = Duration::from_secs(30);

/// Name that stands for the route of such a request in logs.
const NO_ROUTE: &str = "unknown";

/// Services that a request is sent to, and its time limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the route. Requests of one route have similar latencies.
    pub route: String,
    /// The one service, or the services that hold one shard each.
    pub services: Vec<ServiceName>,
    /// Requirements on the answer to a query over many shards; `None` for a single service.
    pub gather: Option<Requirements>,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Maximum number of leaves that each part may be sent to.
    pub max_attempts: u32,
    /// When an answer that covers enough shards is sent.
    pub answer_by: Instant,
    /// When the request ends, even without an answer.
    pub end_by: Instant,
    /// An attempt is worth sending only if more than this time is left until `end_by`.
    pub min_attempt_time: Duration,
    /// Whether the request was counted before, in the retry allowances of the VM that delegated it.
    pub is_counted: bool,
    /// Failure domains whose leaves may run the request.
    pub scope: Scope,
}

/// Requirements on the answer to a query over many shards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requirements {
    /// Maximum number of records in the answer.
    pub top_k: usize,
    /// Minimum number of shards that the answer includes.
    pub min_shards: usize,
}

impl Plan {
    /// Plans a request of a route.
    ///
    /// `service` is the service chosen for a route that does not gather, that is, does not merge
    /// the parts of many shards. `caller_timeout` is how long the caller waits for the answer.
    pub fn new(
        route: &Route,
        service: Option<ServiceName>,
        gather: Option<&Gather>,
        caller_timeout: Option<Duration>,
        now: Instant,
    ) -> Plan {
        let timeout = caller_timeout.map_or(route.timeout, |time| time.min(route.timeout));
        let end_by = margin::answer_by(now + timeout, now);
        let services = match gather {
            Some(gather) => gather.shards.clone(),
            None => service.into_iter().collect(),
        };
        let shards = u32::try_from(services.len()).unwrap_or(u32::MAX);
        let margin = TARGET_MARGIN + MARGIN_PER_SHARD.saturating_mul(shards);
        let margin = margin.max(route.target_latency / TARGET_MARGIN_DIVISOR);
        let answer_by = now + route.target_latency.saturating_sub(margin);
        Plan {
            route: route.name.clone(),
            services,
            gather: gather.map(|gather| Requirements {
                top_k: gather.top_k,
                min_shards: gather.min_shards(),
            }),
            repeat: route.repeat,
            max_attempts: route.max_attempts.max(1),
            answer_by: answer_by.min(end_by),
            end_by,
            min_attempt_time: route.target_latency / MIN_ATTEMPT_TIME_DIVISOR,
            is_counted: false,
            scope: Scope::ANY,
        }
    }

    /// Plans a request that another VM handles by routes that this VM does not know. That VM sets
    /// the time limits of the route, and the request may be one that may run only once.
    pub fn without_route(caller_timeout: Option<Duration>, now: Instant) -> Plan {
        let timeout = caller_timeout.map_or(MAX_TIME_WITHOUT_ROUTE, |time| {
            time.min(MAX_TIME_WITHOUT_ROUTE)
        });
        let end_by = margin::answer_by(now + timeout, now);
        Plan {
            route: NO_ROUTE.to_string(),
            services: Vec::new(),
            gather: None,
            repeat: Repeat::AtMostOnce,
            max_attempts: 1,
            answer_by: end_by,
            end_by,
            min_attempt_time: Duration::ZERO,
            is_counted: false,
            scope: Scope::ANY,
        }
    }

    /// Returns the plan of a request that another VM had before. It has taken the time `elapsed` so
    /// far, and up to `sends` leaves of each shard may have received it.
    pub fn continued(self, elapsed: Duration, sends: u32, now: Instant) -> Plan {
        let answer_by = self.answer_by.checked_sub(elapsed);
        Plan {
            answer_by: answer_by.map_or(now, |at| at.max(now)),
            max_attempts: self.max_attempts.saturating_sub(sends).max(1),
            is_counted: sends > 0,
            ..self
        }
    }

    /// Restricts the request to the leaves of the failure domains in `scope`.
    #[must_use]
    pub fn within(self, scope: Scope) -> Plan {
        Plan { scope, ..self }
    }

    /// Ends the request at `limit` at the latest.
    pub fn end_before(&mut self, limit: Instant) {
        self.end_by = self.end_by.min(limit);
        self.answer_by = self.answer_by.min(limit);
    }

    /// Returns whether enough time is left for another attempt, at a leaf or through another VM.
    /// Without it, a leaf would begin to run a request that is about to be answered without it.
    pub fn has_time_for_attempt(&self, now: Instant) -> bool {
        self.end_by.saturating_duration_since(now) > self.min_attempt_time
    }

    /// Returns the time that is left when an attempt is written at `now`, less the time `transit` that
    /// the request takes to its receiver. Returns `None` if an attempt is no longer worth sending.
    ///
    /// An attempt is planned with the time at which an iteration of the event loop began. After a
    /// query over some hundred shards on a VM that has used up its share of the processor, that time
    /// was 542 ms old.
    pub fn time_to_write(&self, transit: Duration, now: Instant) -> Option<Duration> {
        let left = self.end_by.saturating_duration_since(now);
        let left = left.saturating_sub(transit);
        (left > self.min_attempt_time && left >= MIN_TIME).then_some(left)
    }

    /// Records the request in the retry allowance (the limit on retries and hedges) of each of its
    /// services.
    ///
    /// Requests that are turned away because of load count as well as those that are sent, so that
    /// while leaves shed load, the former pay for retries of the latter.
    pub fn record_requests(&self, placement: &mut Placement, now: Instant) {
        if self.is_counted {
            return;
        }
        for service in &self.services {
            placement.record_request(service, now);
        }
    }

    /// Returns whether the request goes to many shards.
    pub fn is_gather(&self) -> bool {
        self.gather.is_some()
    }

    /// Returns the minimum number of shards that an answer includes.
    pub fn min_shards(&self) -> usize {
        self.gather
            .map_or(1, |requirements| requirements.min_shards)
    }
}
