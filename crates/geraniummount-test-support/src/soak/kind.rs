//! Kinds of requests that callers send.

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

    /// Method of its requests.
    pub fn method(self) -> &'static str {
        match self {
            Kind::Search | Kind::Lookup => "GET",
            Kind::Order => "POST",
        }
    }
}
