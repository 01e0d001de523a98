//! HTTP for operators: resources, status, state, metrics and health.
//!
//! A request is routed to one method of the [`Backend`], and what comes back
//! is written as JSON. A refusal names what was wrong, what is allowed and
//! whether the change took effect. Watches wait on a worker, so only some of
//! the workers may hold one.

mod backend;
mod refusal;
mod route;
mod server;
mod watches;

pub use self::backend::{Accepted, Backend, Change, Changes, Entry, Listing};
pub use self::refusal::Refusal;
pub use self::server::Server;
