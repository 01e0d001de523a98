//! Section `[caller]`: where callers send queries.

use std::net::SocketAddr;

use super::section::Section;

const DEFAULT_SPARE_CONNECTIONS: u64 = 64;
const MAX_SPARE_CONNECTIONS: u64 = 1024;

/// The callers' listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections that may be open besides those whose query runs.
    pub spare_connections: usize,
}

impl Caller {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Caller> {
        section.check_keys(&["listen", "spare_connections"]);
        let listen = section.listener("listen");
        let spare_connections = section.count(
            "spare_connections",
            DEFAULT_SPARE_CONNECTIONS,
            1..=MAX_SPARE_CONNECTIONS,
        );
        Some(Caller {
            listen: listen?,
            spare_connections: spare_connections?,
        })
    }
}
