//! Where the outcome of a part goes.

use std::sync::mpsc;

use futures::channel::oneshot;

use crate::prelude::*;

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
