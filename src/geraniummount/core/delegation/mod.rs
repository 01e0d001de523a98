//! Decides which other VM serves the requests of a VM that has lost its links to the leaves.
//!
//! Load pattern: one VM, most VMs of a failure domain, or all of them, reach no leaf for seconds,
//! while callers still send them as many requests as before and the other VMs reach all leaves. The
//! platform's store may be away at the same time. A VM that is asked for help may be gone, frozen,
//! stopping, overloaded, or without links itself.
//!
//! A VM in this state delegates: it passes each request as a whole to a peer, another VM, which
//! serves it like a request of its own and returns the answer. Only the VM that sends a request to
//! leaves counts it, hedges it and retries it, so that budgets and limits count it once. A
//! delegated request is never delegated again.
//!
//! A peer acknowledges a request before it sends it to a leaf, with the version of its routes, and
//! declines at once what it does not serve. A peer that does neither is taken for frozen: it is
//! avoided for a while, and a request that may run more than once goes to the next peer. A request
//! that may run only once goes to another peer only if the last one has declined it or has not
//! received it.
//!
//! A VM that works also passes queries to others, if those are stronger: see [`offload`].
//!
//! A peer's response and the timer that gives this peer up may be due at the same moment, and a response
//! may come after its peer was given up. Each handoff therefore has an id: an outcome that does not name
//! the handoff which is open is ignored, and the step of a timer is given the outcome that had arrived.
//!
//! [`Routes`] decides who handles a request, [`Peers`] knows the other VMs and chooses one of them,
//! [`Request`] is the state of one delegated request. The inputs are events and the current time;
//! the outputs are [`Action`]s.

mod action;
mod completion;
mod decline;
mod ending;
mod handler;
mod handoff;
mod links;
pub mod offload;
mod outcome;
mod peer;
mod peers;
mod purpose;
mod request;
mod routes;
mod terms;
mod unable;

pub use self::action::{Action, End};
pub use self::completion::Completion;
pub use self::decline::Decline;
pub use self::ending::Ending;
pub use self::handler::Handler;
pub use self::links::Links;
pub use self::outcome::{Answer, Outcome};
pub use self::peer::Peer;
pub use self::peers::Peers;
pub use self::purpose::Purpose;
pub use self::request::Request;
pub use self::routes::Routes;
pub use self::terms::Terms;
pub use self::unable::Unable;
