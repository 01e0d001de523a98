//! Whom an event is for.

use mio::Token;

/// Whom an event is for; keys are places in the gateway's tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Owner {
    Updates,
    Callers,
    Ready,
    Metrics,
    Check,
    Caller(usize),
    Leaf(usize),
    Probe(usize),
}

const KINDS: usize = 4;

impl Owner {
    pub(super) fn token(self) -> Token {
        Token(match self {
            Owner::Updates => 0,
            Owner::Callers => KINDS,
            Owner::Ready => 2 * KINDS,
            Owner::Metrics => 3 * KINDS,
            Owner::Check => 4 * KINDS,
            Owner::Caller(key) => key * KINDS + 1,
            Owner::Leaf(key) => key * KINDS + 2,
            Owner::Probe(key) => key * KINDS + 3,
        })
    }

    pub(super) fn of(token: Token) -> Owner {
        let (key, kind) = (token.0 / KINDS, token.0 % KINDS);
        match (kind, key) {
            (0, 0) => Owner::Updates,
            (0, 1) => Owner::Callers,
            (0, 2) => Owner::Ready,
            (0, 3) => Owner::Metrics,
            (0, _) => Owner::Check,
            (1, key) => Owner::Caller(key),
            (2, key) => Owner::Leaf(key),
            (_, key) => Owner::Probe(key),
        }
    }
}
