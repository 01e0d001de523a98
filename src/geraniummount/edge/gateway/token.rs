//! Mapping between `mio` tokens and the event sources of the gateway.

use mio::Token;

/// Source of an event. A key is an index into one of the gateway's slabs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventSource {
    /// Channel of updates from other threads.
    Updates,
    CallersListener,
    ReadyListener,
    MetricsListener,
    /// Listener for other VMs.
    PeersListener,
    /// Socket for datagrams of other VMs.
    Datagrams,
    /// Connection that checks whether the platform's store is reachable.
    StoreCheck,
    /// Connection from a caller.
    Caller(usize),
    /// Connection to a leaf.
    Leaf(usize),
    /// Connection over which readiness or metrics are requested.
    Probe(usize),
    /// Connection to another VM.
    Peer(usize),
}

/// Number of token kinds: one for the sources without a key, and one for each kind with a key. A
/// token is `key * TOKEN_KINDS + kind`. The sources without a key are numbered, and the number
/// stands in the place of the key.
const TOKEN_KINDS: usize = 5;

impl EventSource {
    pub(super) fn token(self) -> Token {
        Token(match self {
            EventSource::Updates => 0,
            EventSource::CallersListener => TOKEN_KINDS,
            EventSource::ReadyListener => 2 * TOKEN_KINDS,
            EventSource::MetricsListener => 3 * TOKEN_KINDS,
            EventSource::StoreCheck => 4 * TOKEN_KINDS,
            EventSource::PeersListener => 5 * TOKEN_KINDS,
            EventSource::Datagrams => 6 * TOKEN_KINDS,
            EventSource::Caller(key) => key * TOKEN_KINDS + 1,
            EventSource::Leaf(key) => key * TOKEN_KINDS + 2,
            EventSource::Probe(key) => key * TOKEN_KINDS + 3,
            EventSource::Peer(key) => key * TOKEN_KINDS + 4,
        })
    }

    pub(super) fn from_token(token: Token) -> EventSource {
        let (key, kind) = (token.0 / TOKEN_KINDS, token.0 % TOKEN_KINDS);
        match (kind, key) {
            (0, 0) => EventSource::Updates,
            (0, 1) => EventSource::CallersListener,
            (0, 2) => EventSource::ReadyListener,
            (0, 3) => EventSource::MetricsListener,
            (0, 4) => EventSource::StoreCheck,
            (0, 5) => EventSource::PeersListener,
            (0, _) => EventSource::Datagrams,
            (1, key) => EventSource::Caller(key),
            (2, key) => EventSource::Leaf(key),
            (3, key) => EventSource::Probe(key),
            (_, key) => EventSource::Peer(key),
        }
    }
}
