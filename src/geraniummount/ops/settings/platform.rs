//! Section `[platform]`: access to the platform, which consists of two services that the users run:
//! a key-value service and the membership list (of all processes, VMs and leaves).

use std::net::SocketAddr;

use super::section::Section;

const DEFAULT_PREFIX: &str = "geraniummount";

/// Access to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Prefix of all keys that this fleet writes; all its VMs need the same one.
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
