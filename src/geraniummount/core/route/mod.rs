//! Where a caller's request goes: routes by host and path prefix.
//!
//! An operator names routes; a [`Table`] finds the route of a request, and the
//! route's [`Target`] says which service, or which shards, the request is for.

mod limits;
mod split;
mod table;
mod target;

use std::time::Duration;

pub use self::limits::Limits;
pub use self::split::Split;
pub use self::table::{Backend, Table};
pub use self::target::{Gather, Target, WeightedService};

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What serves the request.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Leaves that one request, or each of its parts, may be sent to.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub target_latency: Duration,
    /// Rank under overload; 0 is served first.
    pub priority: u32,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
}
