//! What a leaf says in a response about further requests to it.
//!
//! Load pattern: a leaf that is full or leaving says so in its answers well before the platform's
//! store does. Requests that are sent to it nevertheless are rejected, and delay their callers as
//! well as the requests that the leaf still runs.

use std::time::Duration;

/// Maximum time for which a leaf can ask for no requests. It limits the effect of an absurd value.
pub const MAX_HOLD: Duration = Duration::from_secs(60);

/// The limit that a leaf names in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The leaf names no limit; one that it named before has ended.
    #[default]
    Absent,
    /// Number of requests per second that the leaf takes from all VMs together.
    PerSecond(f64),
    /// The leaf names a limit that cannot be interpreted; the one that it named before still holds.
    Unreadable,
}

/// What a leaf says in a response about further requests to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the leaf is leaving: it takes no new requests in this run.
    pub is_leaving: bool,
    /// Time for which the leaf wants no requests from this VM.
    pub hold: Option<Duration>,
    /// Limit on the requests of all VMs together.
    pub limit: NamedLimit,
}

impl Notice {
    /// Returns whether the leaf says anything.
    pub fn is_empty(self) -> bool {
        self == Notice::default()
    }
}
