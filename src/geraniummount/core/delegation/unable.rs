//! Reasons for which nobody can handle a request.

/// Reason for which nobody can handle a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unable {
    /// The request has a key, this VM can't confirm that it may still be used, and it knows no other
    /// VM.
    KeysUnconfirmed,
    /// This VM knows no routes yet.
    NoRoutes,
    /// The routes of this VM are older than others that have been seen, and it knows no other VM.
    Outdated,
}

impl Unable {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Unable::KeysUnconfirmed => "keys-unconfirmed",
            Unable::NoRoutes => "no-routes",
            Unable::Outdated => "outdated",
        }
    }
}
