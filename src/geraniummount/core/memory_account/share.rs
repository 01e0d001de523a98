//! Bytes that one buffer holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::Holder;

/// Bytes held in all, and by each holder.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) total: AtomicUsize,
    by_holder: [AtomicUsize; Holder::ALL.len()],
}

impl Counters {
    pub(super) fn held(&self, holder: Holder) -> usize {
        self.by_holder[holder as usize].load(Ordering::Relaxed)
    }
}

/// Bytes that one buffer holds, recorded for a holder. They are given back when the share is dropped,
/// so it is kept beside its buffer.
#[derive(Debug)]
pub struct Share {
    counters: Arc<Counters>,
    holder: Holder,
    bytes: usize,
}

impl Share {
    pub(super) fn new(counters: Arc<Counters>, holder: Holder) -> Share {
        Share {
            counters,
            holder,
            bytes: 0,
        }
    }

    /// Returns the number of bytes that are recorded.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records the number of bytes that the buffer holds now.
    pub fn resize(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let held = [
            &self.counters.total,
            &self.counters.by_holder[self.holder as usize],
        ];
        for held in held {
            held.fetch_add(bytes, Ordering::Relaxed);
            held.fetch_sub(self.bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.resize(0);
    }
}
