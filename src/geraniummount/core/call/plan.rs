//! What a request asks for, and until when.

use std::time::{Duration, Instant};

use crate::core::margin;
use crate::core::route::{Gather, Repeat, Route};
use crate::prelude::*;

/// Time kept back from the aim for the answer's way to the caller.
const AIM_MARGIN: Duration = Duration::from_millis(11);

/// The margin is at least the aim divided by this.
const AIM_MARGIN_DIVISOR: u32 = 8;

/// What a request asks for, and until when.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The service, or the services that hold a shard each.
    pub services: Vec<ServiceName>,
    /// Records in the answer and the least number of shards, for a query over
    /// many shards.
    pub gather: Option<Coverage>,
    /// Whether VMs of other failure domains may collect shards for it.
    pub may_delegate: bool,
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
pub struct Coverage {
    /// Records in the answer.
    pub top: usize,
    /// Shards that it has to include.
    pub least: usize,
}

impl Plan {
    /// Plans a request of a route; `service` is the one chosen for it, where
    /// the route does not gather. `patience` is how long the caller waits.
    pub fn new(
        route: &Route,
        service: Option<ServiceName>,
        gather: Option<&Gather>,
        patience: Option<Duration>,
        now: Instant,
    ) -> Plan {
        let patience = patience.map_or(route.timeout, |time| time.min(route.timeout));
        let end_by = margin::answer_by(now + patience, now);
        let kept = AIM_MARGIN.max(route.aim / AIM_MARGIN_DIVISOR);
        let answer_by = now + route.aim.saturating_sub(kept);
        let services = match gather {
            Some(gather) => gather.shards.clone(),
            None => service.into_iter().collect(),
        };
        Plan {
            services,
            gather: gather.map(|gather| Coverage {
                top: gather.top,
                least: gather.least(),
            }),
            may_delegate: false,
            repeat: route.repeat,
            attempts: route.attempts.max(1),
            answer_by: answer_by.min(end_by),
            end_by,
        }
    }

    /// Keeps those of the shards that another VM asks for, by their places in
    /// the route. Returns whether all of them are there.
    pub fn keep_shards(&mut self, shards: &[usize]) -> bool {
        let Some(coverage) = self.gather else {
            return false;
        };
        let kept = shards
            .iter()
            .map(|place| self.services.get(*place).cloned());
        let Some(kept) = kept.collect::<Option<Vec<_>>>() else {
            return false;
        };
        // The other VM knows what it has besides, and decides.
        self.gather = Some(Coverage {
            least: 0,
            ..coverage
        });
        self.services = kept;
        self.may_delegate = false;
        true
    }

    /// Returns whether the request goes to many shards.
    pub fn is_gather(&self) -> bool {
        self.gather.is_some()
    }

    /// Returns how many shards an answer has to include.
    pub fn least(&self) -> usize {
        self.gather.map_or(1, |coverage| coverage.least)
    }
}
