//! How recent the answer to a read of the platform's store has to be.

/// How recent the answer to a read has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It contains all changes that were made before the call.
    Current,
    /// It may be seconds old, which makes the call much cheaper.
    Outdated,
}
