//! Converts accepted changes to the configuration between [`Delta`], the type that this VM works
//! with, and [`Changes`], the message that peers (VMs) send each other.
//!
//! A delta brings a lagging VM to a newer revision (a position in the log of accepted changes). It
//! holds entries of the log or, if these do not reach back to the revision of the lagging VM, the
//! catalog (all accepted resources at one revision). An empty catalog in the message stands for
//! none.

use std::sync::Arc;

use crate::core::config::change_log::Delta;
use crate::edge::peer::Changes;

/// Encodes a delta for a peer.
pub(super) fn encode(delta: &Delta) -> Changes {
    let catalog = delta.catalog.as_deref();
    Changes {
        revision: delta.revision,
        catalog: catalog.map(to_json).unwrap_or_default(),
        entries: delta
            .entries
            .iter()
            .map(|entry| to_json(&**entry))
            .collect(),
    }
}

/// Decodes a peer's delta. Returns `None` if it can't be parsed, for example because the peer runs
/// a newer version.
pub(super) fn decode(changes: &Changes) -> Option<Delta> {
    let catalog = match changes.catalog.as_slice() {
        [] => None,
        bytes => Some(Arc::new(serde_json::from_slice(bytes).ok()?)),
    };
    let entries = changes.entries.iter();
    let entries = entries.map(|entry| serde_json::from_slice(entry).ok().map(Arc::new));
    Some(Delta {
        revision: changes.revision,
        catalog,
        entries: entries.collect::<Option<Vec<_>>>()?,
    })
}

/// Serializes a value. Serialization can't fail, because the types contain only values that JSON
/// can represent.
fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
