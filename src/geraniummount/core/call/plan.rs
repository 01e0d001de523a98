//! What a request asks for, and until when.

use std::time::{Duration, Instant};

use crate::core::margin;
use crate::core::placement::Placement;
use crate::core::route::{Gather, Repeat, Route};
use crate::prelude::*;

/// Time kept back from the aim for the answer's way to the caller.
const TARGET_MARGIN: Duration = Duration::from_millis(11);

/// Time kept back for each shard: a small VM takes as long to merge its part
/// and to send its signature over a narrow link.
const MARGIN_PER_SHARD: Duration = Duration::from_micros(60);

/// The margin is at least the aim divided by this.
const TARGET_MARGIN_DIVISOR: u32 = 8;

/// What a request asks for, and until when.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the route; requests of one route take alike times.
    pub route: String,
    /// The service, or the services that hold a shard each.
    pub services: Vec<ServiceName>,
    /// Records in the answer and the least number of shards, for a query over
    /// many shards.
    pub gather: Option<Requirements>,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Leaves that each part may be sent to.
    pub attempts: u32,
    /// When an answer that covers enough shards goes out.
    pub answer_by: Instant,
    /// When the request ends without an answer.
    pub end_by: Instant,
}

/// What an answer over many shards consists of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requirements {
    /// Records in the answer.
    pub top_k: usize,
    /// Shards that it has to include.
    pub min_shards: usize,
}

impl Plan {
    /// Plans a request of a route; `service` is the one chosen for it, where
    /// the route does not gather. `patience` is how long the caller waits.
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
            attempts: route.attempts.max(1),
            answer_by: answer_by.min(end_by),
            end_by,
        }
    }

    /// Notes the request in the allowance of each of its services. Requests
    /// count there whether they are sent on or not, so that what is turned
    /// away while leaves shed lets the others be sent once more.
    pub fn record_requests(&self, placement: &mut Placement, now: Instant) {
        for service in &self.services {
            placement.record_request(service, now);
        }
    }

    /// Returns whether the request goes to many shards.
    pub fn is_gather(&self) -> bool {
        self.gather.is_some()
    }

    /// Returns how many shards an answer has to include.
    pub fn min_shards(&self) -> usize {
        self.gather
            .map_or(1, |requirements| requirements.min_shards)
    }
}
