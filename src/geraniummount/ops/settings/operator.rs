//! Section `[operator]`: where operators declare resources and read state.

use std::net::SocketAddr;

use super::section::Section;

/// The operators' listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Where it listens.
    pub listen: SocketAddr,
}

impl Operator {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Operator> {
        section.check_keys(&["listen"]);
        let listen = section.listener("listen");
        Some(Operator { listen: listen? })
    }
}
