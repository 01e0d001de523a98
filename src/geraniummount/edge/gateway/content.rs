//! Body of a request, shared by all connections that write it.

use crate::core::memory_account::Share;

/// Body of a request, with the memory that the request takes until the last connection has written
/// it.
#[derive(Debug)]
pub(super) struct Content {
    bytes: Vec<u8>,
    _share: Share,
}

impl Content {
    /// Books a body in a share, together with a head of `head_bytes`.
    pub(super) fn new(bytes: Vec<u8>, head_bytes: usize, mut share: Share) -> Content {
        share.resize(bytes.capacity() + head_bytes);
        Content {
            bytes,
            _share: share,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
