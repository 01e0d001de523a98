//! Encoding of the datagrams between VMs.

use serde::{Deserialize, Serialize};

use super::Message;
use crate::prelude::*;

/// A message with its sender, as one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Envelope {
    /// VM that sends the message.
    pub(super) from: VmName,
    /// Secret that the receiving VM has registered in the platform's store.
    pub(super) key: String,
    /// Number of the question, which its answer repeats.
    pub(super) id: u64,
    /// The message.
    pub(super) message: Message,
}

impl Envelope {
    /// Encodes the datagram.
    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::json!(self).to_string().into_bytes()
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub(super) fn decode(bytes: &[u8]) -> Option<Envelope> {
        serde_json::from_slice(bytes).ok()
    }
}
