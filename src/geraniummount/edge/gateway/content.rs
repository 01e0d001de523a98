//! Body of a request, shared by all connections that write it.

use std::sync::Arc;

use crate::core::memory_account::Share;

/// Body of a request, with the memory that the request takes until the last connection has written
/// it.
#[derive(Debug)]
pub(super) struct Content {
    bytes: Vec<u8>,
    _share: Share,
}

impl Content {
    /// Records a body in a share, together with a head of `head_bytes`.
    pub(super) fn new(bytes: Vec<u8>, head_bytes: usize, mut share: Share) -> Content {
        share.resize(bytes.capacity() + head_bytes);
        Content {
            bytes,
            _share: share,
        }
    }

    /// Returns the body, without a copy if nobody else writes it.
    pub(super) fn into_bytes(content: Arc<Content>) -> Vec<u8> {
        match Arc::try_unwrap(content) {
            Ok(content) => content.bytes,
            Err(shared) => shared.bytes.clone(),
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
