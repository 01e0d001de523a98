//! Accepted changes of the configuration, as peers pass them on.

use crate::peer_capnp::peer::changes_results;
use crate::prelude::*;

/// Changes after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Revision that they lead to.
    pub revision: Revision,
    /// Whole catalog as JSON, where the single entries are no longer at hand;
    /// else empty.
    pub catalog: Vec<u8>,
    /// Entries as JSON, in order.
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
