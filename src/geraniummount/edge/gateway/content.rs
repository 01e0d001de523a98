//! Body of a request, shared by all connections that write it.

use crate::core::memory_account::Share;

/// Body of a request, with the memory that it takes until the last connection has written it.
#[derive(Debug)]
pub(super) struct Content {
    bytes: Vec<u8>,
    _share: Share,
}

impl Content {
    /// Books a body in a share.
    pub(super) fn new(bytes: Vec<u8>, mut share: Share) -> Content {
        share.resize(bytes.capacity());
        Content {
            bytes,
            _share: share,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
