//! Revision of the platform's store, as a read returned it.

use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Revision of the platform's store up to which all changes of the configuration have to be in
/// force for the read to confirm it, as a current read returned it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// When the read was begun.
    pub began: BootTime,
    /// Era of the store.
    pub era: Era,
    /// Revision of the store, or of the last change of the configuration, at some moment after the
    /// read was begun.
    pub revision: Revision,
}
