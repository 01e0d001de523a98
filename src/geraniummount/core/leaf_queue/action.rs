//! What a leaf's queue asks of the holder of its connections.

use crate::prelude::*;

/// What the holder of the connections has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the part to the leaf.
    Start {
        /// The part.
        part: Part,
        /// Connection that it may use.
        connection: ConnectionKind,
    },
    /// Close the attempt's connection and tell the leaf that it is cancelled.
    /// `finish` is still due, as the slot counts until then.
    Abort(AttemptId),
    /// Return the outcome to whoever submitted the part.
    Answer(Outcome),
    /// Close the connections that carry no part now.
    CloseIdle,
    /// Ask the health endpoint; `observe` is due.
    Probe,
}

/// Connections that a part may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionKind {
    /// Any open one.
    Any,
    /// One opened, or proven alive, just before.
    Verified,
}
