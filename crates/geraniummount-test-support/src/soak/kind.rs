//! Kinds of requests that callers send.

use std::time::Duration;

use crate::platform::users::caller::Request;

/// How long a caller waits, as it tells the gateway.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(1);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Over all shards.
    Search,
    /// To one leaf; may run more than once.
    Lookup,
    /// To one leaf; runs once at most.
    Order,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Search, Kind::Lookup, Kind::Order];

    /// Prefix of its route.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Search => "/search/",
            Kind::Lookup => "/lookup/",
            Kind::Order => "/order/",
        }
    }

    /// A request of this kind.
    pub fn request<'a>(self, id: &'a str, body: &'a [u8]) -> Request<'a> {
        Request {
            id,
            method: self.method(),
            path: self.prefix(),
            deadline: REQUEST_DEADLINE,
            body,
        }
    }

    /// Method of its requests.
    fn method(self) -> &'static str {
        match self {
            Kind::Search | Kind::Lookup => "GET",
            Kind::Order => "POST",
        }
    }
}
