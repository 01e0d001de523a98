//! Destination of the outcome of a part, which is the share of a request that goes to one shard.

use std::sync::mpsc;

use futures::channel::oneshot;

use crate::prelude::*;

/// Destination of a part's outcome. The outcome is discarded if the receiver no longer exists.
#[derive(Debug)]
pub enum ReplyTo {
    /// The thread on this VM that serves the caller.
    Caller(mpsc::Sender<Outcome>),
    /// The call of a peer (another VM) that sent the part.
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
