//! What the connection of a caller, or of another VM that delegates requests, is doing.

use crate::edge::gateway::trials::Waiting;
use crate::util::h1::{Body, Request};

/// What a caller's connection is doing.
#[derive(Debug)]
pub(in crate::edge::gateway) enum State {
    /// No byte of the next request has been received.
    Idle,
    /// Part of a request head has been received.
    Head,
    /// The request head has been received, and the body is incomplete.
    Body {
        request: Request,
        body: Body,
        content: Vec<u8>,
    },
    /// A request has been received completely and its response is pending.
    InFlight {
        /// Key of the request's call.
        call: usize,
    },
    /// As [`State::InFlight`]; another VM serves the request.
    Delegated {
        /// Key of the delegated request.
        request: usize,
    },
    /// A request of another VM is held until it is known whether that VM still waits for it.
    Held { request: Request, content: Vec<u8> },
    /// The request is withheld, and is sent if this VM gets its trial.
    AwaitingTrial(Box<Waiting>),
    /// The request waits for a token of its tenant's quota.
    AwaitingToken(Box<Waiting>),
    /// A request was rejected; input is discarded until the caller closes the connection.
    Closing,
}

impl State {
    /// Returns whether a request has been received completely and has no response yet.
    pub(in crate::edge::gateway) fn has_request(&self) -> bool {
        match self {
            State::InFlight { .. }
            | State::Delegated { .. }
            | State::Held { .. }
            | State::AwaitingTrial(_)
            | State::AwaitingToken(_) => true,
            State::Idle | State::Head | State::Body { .. } | State::Closing => false,
        }
    }

    /// Returns the number of bytes of the request that the state holds.
    pub(super) fn held_bytes(&self) -> usize {
        match self {
            State::Body {
                request, content, ..
            }
            | State::Held { request, content } => request.held_bytes() + content.capacity(),
            State::AwaitingTrial(waiting) | State::AwaitingToken(waiting) => {
                waiting.arrival.held_bytes()
            }
            State::Idle
            | State::Head
            | State::InFlight { .. }
            | State::Delegated { .. }
            | State::Closing => 0,
        }
    }
}
