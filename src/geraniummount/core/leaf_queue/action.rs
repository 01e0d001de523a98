//! Actions that a leaf's queue returns to the holder of the leaf's connections.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! the leaf.

use crate::prelude::*;

/// Action that the holder of the leaf's connections performs.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the part to the leaf.
    Start {
        /// The part.
        part: Part,
        /// Kind of connection that may carry the part.
        connection: ConnectionKind,
    },
    /// Close the attempt's connection and notify the leaf that the attempt is cancelled. `finish`
    /// must still be called, because the attempt occupies its slot (one of the requests that the
    /// leaf runs at a time) until then.
    Abort(AttemptId),
    /// Return the outcome to the submitter of the part.
    Answer(Outcome),
    /// Close the connections that carry no part.
    CloseIdle,
    /// Query the health endpoint and report the result to `on_health`.
    Probe,
}

/// Kind of connection that a part may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionKind {
    /// Any open connection.
    Any,
    /// A connection that has just been opened or verified to be alive.
    Verified,
}
