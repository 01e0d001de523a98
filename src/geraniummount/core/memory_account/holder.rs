//! What a VM holds memory for.

/// What a VM holds memory for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// Bytes received from callers that are not parsed yet: heads, and pipelined requests.
    Heads,
    /// Bodies of callers' requests that are being read or wait to be admitted.
    Bodies,
    /// Heads and bodies of the requests of other VMs.
    PeerRequests,
    /// Bodies of requests that are under way or kept for further attempts.
    Requests,
    /// Answers that callers have not taken yet.
    Answers,
    /// Connections to leaves: requests that are being written and replies that are being read.
    Leaves,
    /// Replies of leaves that wait for the other parts of their query.
    Parts,
    /// Connections to other VMs: requests that are being written and answers that are being read.
    Peers,
    /// Connections for readiness and metrics.
    Probes,
}

impl Holder {
    /// All holders, in the order of their numbers.
    pub const ALL: [Holder; 9] = [
        Holder::Heads,
        Holder::Bodies,
        Holder::PeerRequests,
        Holder::Requests,
        Holder::Answers,
        Holder::Leaves,
        Holder::Parts,
        Holder::Peers,
        Holder::Probes,
    ];

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Holder::Heads => "heads",
            Holder::Bodies => "bodies",
            Holder::PeerRequests => "peer-requests",
            Holder::Requests => "requests",
            Holder::Answers => "answers",
            Holder::Leaves => "leaves",
            Holder::Parts => "parts",
            Holder::Peers => "peers",
            Holder::Probes => "probes",
        }
    }
}
