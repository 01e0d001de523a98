//! Routes callers' requests by host and path prefix.
//!
//! The operator names the routes. A [`Table`] finds the route of a request, and the route's
//! [`Target`] determines the service, or the shards, that serve the request. A leaf is one of the
//! server processes of a service. A gather is a request that goes to many shards; it has one part
//! for each.

mod limits;
mod split;
mod table;
mod target;

use std::time::Duration;

pub use self::limits::Limits;
pub use self::split::Split;
pub use self::table::{Backend, Table, WarmUp};
pub use self::target::{Gather, Target, WeightedService};

use crate::prelude::*;

/// A route, with the target and the limits of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the request, in lower case.
    pub host: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub prefix: String,
    /// What serves the request.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum number of leaves that a request, or each part of a gather, may be sent to.
    pub max_attempts: u32,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency within which an answer has its full value for the caller.
    pub target_latency: Duration,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Whether requests without a key are served.
    pub allows_anonymous: bool,
    /// Regions whose leaves may run the requests; `None` if all may.
    pub regions: Option<Vec<RegionName>>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
}
