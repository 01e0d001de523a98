//! Section `[caller]`: the callers' listener.

use std::net::SocketAddr;

use super::section::Section;

const DEFAULT_SPARE_CONNECTIONS: u64 = 64;
const MAX_SPARE_CONNECTIONS: u64 = 1024;

/// Settings of the callers' listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of open connections beyond the number of queries that can run at once.
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
