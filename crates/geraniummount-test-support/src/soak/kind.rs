//! Defines the kinds of requests that callers send.

use std::time::Duration;

use crate::platform::users::caller::Request;

/// Deadline that callers send with each request.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(1);

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A query over all shards.
    Search,
    /// An idempotent request to one leaf, which may run more than once.
    Lookup,
    /// A non-idempotent request to one leaf, which runs at most once.
    Order,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Search, Kind::Lookup, Kind::Order];

    /// Returns the path prefix of the kind's route.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Search => "/search/",
            Kind::Lookup => "/lookup/",
            Kind::Order => "/order/",
        }
    }

    /// Creates a request of this kind.
    pub fn request<'a>(self, id: &'a str, body: &'a [u8]) -> Request<'a> {
        Request {
            id,
            method: self.method(),
            path: self.prefix(),
            deadline: REQUEST_DEADLINE,
            body,
        }
    }

    /// Returns the HTTP method of the kind's requests.
    fn method(self) -> &'static str {
        match self {
            Kind::Search | Kind::Lookup => "GET",
            Kind::Order => "POST",
        }
    }
}
