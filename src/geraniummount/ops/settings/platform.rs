//! Section `[platform]`: the platform's key-value service.

use std::net::SocketAddr;

use super::section::Section;

const DEFAULT_PREFIX: &str = "geraniummount";

/// How to reach the platform's key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// Start of every key that this fleet writes; the same on all its VMs.
    pub prefix: String,
}

impl Platform {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Platform> {
        section.check_keys(&["address", "prefix"]);
        let address = section.target("address");
        let prefix = section.prefix("prefix", DEFAULT_PREFIX);
        Some(Platform {
            address: address?,
            prefix: prefix?,
        })
    }
}
