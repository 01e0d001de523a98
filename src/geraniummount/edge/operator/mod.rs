//! HTTP API for operators: resources (the declared leaves and services), status, state, metrics and
//! health.
//!
//! Each request is routed to the [`Registry`](crate::edge::registry::Registry) or to a status
//! function of the [`Process`]. Responses are JSON, except for the metrics, which are text. A
//! [`Refusal`] states what was wrong, what is allowed and whether the change took effect. A watch,
//! which is a request that waits for newer changes, blocks the thread of its connection, and the
//! number of connections is bounded. The number of concurrent watches is therefore limited
//! separately, so that watches cannot block changes.

mod listing;
mod process;
mod refusal;
mod route;
mod semaphore;
mod server;

pub use self::process::{JsonSource, Process};
pub use self::refusal::Refusal;
pub use self::server::Server;
