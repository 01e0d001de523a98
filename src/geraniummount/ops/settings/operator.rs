//! Section `[operator]`: the listener where operators declare resources and read state.

use std::net::SocketAddr;

use super::section::Section;

/// Settings of the operators' listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Operator {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Operator> {
        section.check_keys(&["listen"]);
        let listen = section.listener("listen");
        Some(Operator { listen: listen? })
    }
}
