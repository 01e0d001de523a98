//! What a connection has sent and received of the current exchange, as its transport records it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Maximum size of what surrounds the body of a reply: interim replies, the head, and trailers.
const MAX_SURROUNDING_BYTES: u64 = 64 * 1024;

/// Ratio of the maximum size of a body on the wire to its content, which chunks make longer.
const MAX_FRAMING_RATIO: u64 = 2;

/// Bytes of the current exchange on one connection.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    /// Whether bytes may have been sent.
    sent: AtomicBool,
    received: AtomicU64,
    max_received: AtomicU64,
}

impl Traffic {
    /// Begins an exchange whose reply has a body of at most `max_body_bytes`.
    pub(super) fn reset(&self, max_body_bytes: u64) {
        let max_received = max_body_bytes * MAX_FRAMING_RATIO + MAX_SURROUNDING_BYTES;
        self.sent.store(false, Ordering::Release);
        self.received.store(0, Ordering::Release);
        self.max_received.store(max_received, Ordering::Release);
    }

    /// Records that bytes are about to be sent.
    pub(super) fn record_sending(&self) {
        self.sent.store(true, Ordering::Release);
    }

    /// Returns whether bytes may have been sent.
    pub(super) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Records received bytes; returns whether the reply can still be within its maximum size.
    pub(super) fn record_received(&self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let received = self.received.fetch_add(bytes, Ordering::AcqRel) + bytes;
        received <= self.max_received.load(Ordering::Acquire)
    }
}
