//! What a connection to another VM is used for.

use crate::prelude::*;

/// The handoff that a connection to another VM carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Assignment {
    /// Key of the delegated request. Keys are reused, and a request is passed to several VMs, so that
    /// the key by itself does not tell whether the request still waits for this VM.
    pub(super) request: usize,
    pub(super) handoff: HandoffId,
}
