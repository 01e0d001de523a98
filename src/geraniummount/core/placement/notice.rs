//! What a leaf says in a response about further requests to it.
//!
//! Load pattern: a leaf that is full or leaving says so in its answers well before the platform's
//! store does. Requests that are sent to it nevertheless are rejected, and delay their callers as
//! well as the requests that the leaf still runs.

use std::time::Duration;

/// Maximum time for which a leaf can ask for no requests. It limits the effect of an absurd value.
pub const MAX_HOLD: Duration = Duration::from_secs(60);

/// What a leaf says in a response about further requests to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the leaf is leaving: it takes no new requests in this run.
    pub is_leaving: bool,
    /// Time for which the leaf wants no requests from this VM.
    pub hold: Option<Duration>,
}

impl Notice {
    /// Returns whether the leaf says anything.
    pub fn is_empty(self) -> bool {
        self == Notice::default()
    }
}
