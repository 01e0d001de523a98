//! Who handles a request of a caller.

use std::sync::Arc;

use super::Unable;
use crate::core::route::Table;

/// Who handles a request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Handler {
    /// This VM, by these routes.
    Own(Arc<Table>),
    /// This VM, by these routes, if there is an open connection for each part of the request;
    /// otherwise another VM.
    OwnIfConnected(Arc<Table>),
    /// Another VM, by routes that are at least as new as `min_version`.
    Peer {
        /// Oldest version of the routes by which the request may be handled.
        min_version: u64,
        /// Routes of this VM by which the request may be planned; `None` if newer ones have been
        /// seen.
        table: Option<Arc<Table>>,
    },
    /// Nobody for now, for this reason. The request is refused.
    Nobody(Unable),
}
