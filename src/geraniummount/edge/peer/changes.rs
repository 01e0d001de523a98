//! Accepted configuration changes that a peer returns.

use crate::peer_capnp::peer::changes_results;
use crate::prelude::*;

/// Configuration changes that were accepted after a given revision, which is a position in the log
/// of all accepted changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Revision of the configuration after these changes.
    pub revision: Revision,
    /// Complete catalog (all accepted resources) as JSON if the peer no longer has the individual
    /// entries; otherwise empty.
    pub catalog: Vec<u8>,
    /// Entries of the change log as JSON, in order of their revisions.
    pub entries: Vec<Vec<u8>>,
}

impl Changes {
    pub(super) fn read(reader: changes_results::Reader<'_>) -> capnp::Result<Changes> {
        let entries = reader.get_entries()?;
        let entries = entries.iter().map(|entry| entry.map(<[u8]>::to_vec));
        Ok(Changes {
            revision: reader.get_revision(),
            catalog: reader.get_catalog()?.to_vec(),
            entries: entries.collect::<capnp::Result<_>>()?,
        })
    }

    pub(super) fn write(&self, mut builder: changes_results::Builder<'_>) {
        builder.set_revision(self.revision);
        builder.set_catalog(&self.catalog);
        let mut entries = builder.init_entries(self.entries.len() as u32);
        for (index, entry) in self.entries.iter().enumerate() {
            entries.set(index as u32, entry);
        }
    }
}
