//! Section `[limits]`: limits on requests, replies and a planned stop.

use std::time::Duration;

use super::section::Section;

const DEFAULT_MAX_BODY_BYTES: u64 = 64 * 1024;
const DEFAULT_QUERIES: u64 = 512;
pub(super) const DEFAULT_MAX_REPLY_BYTES: u64 = 4 * 1024 * 1024;
pub(super) const MAX_REPLY_BYTES: u64 = 32 * 1024 * 1024;
const DEFAULT_BODY_READ_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_DRAIN_MS: u64 = 10_000;
const DEFAULT_LINGER_MS: u64 = 2_000;

/// Limits on requests, replies and a planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a reply from a leaf, in bytes; a longer one counts as truncated.
    pub max_reply_bytes: usize,
    /// Maximum number of queries that run at once; further ones are rejected.
    pub queries: usize,
    /// Time within which a caller has to send the body of a request.
    pub body_read_timeout: Duration,
    /// Time after which a planned stop ends even if requests are still in flight.
    pub drain: Duration,
    /// Time for which new requests are still accepted after a planned stop begins and readiness
    /// fails.
    pub linger: Duration,
}

impl Limits {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Limits> {
        section.check_keys(&[
            "max_body_bytes",
            "max_reply_bytes",
            "queries",
            "body_read_ms",
            "drain_ms",
            "linger_ms",
        ]);
        let max_body_bytes = section.count("max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1..=1 << 20);
        let max_reply_bytes = section.count(
            "max_reply_bytes",
            DEFAULT_MAX_REPLY_BYTES,
            1..=MAX_REPLY_BYTES,
        );
        let queries = section.count("queries", DEFAULT_QUERIES, 1..=100_000);
        let body_read_timeout =
            section.millis("body_read_ms", DEFAULT_BODY_READ_TIMEOUT_MS, 10..=60_000);
        let drain = section.millis("drain_ms", DEFAULT_DRAIN_MS, 0..=600_000);
        let linger = section.millis("linger_ms", DEFAULT_LINGER_MS, 0..=600_000);
        Some(Limits {
            max_body_bytes: max_body_bytes?,
            max_reply_bytes: max_reply_bytes?,
            queries: queries?,
            body_read_timeout: body_read_timeout?,
            drain: drain?,
            linger: linger?,
        })
    }
}
