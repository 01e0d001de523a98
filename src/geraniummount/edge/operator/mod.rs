//! HTTP for operators: resources, status, state, metrics and health.
//!
//! A request is routed to the [`Registry`](crate::edge::registry::Registry) or
//! to what the [`Process`] tells of itself, and what comes back is written as
//! JSON. A refusal names what was wrong, what is allowed and whether the
//! change took effect. Watches wait on a worker, so only some of the workers
//! may hold one.

mod listing;
mod process;
mod refusal;
mod route;
mod semaphore;
mod server;

pub use self::process::{JsonSource, Process};
pub use self::refusal::Refusal;
pub use self::server::Server;
