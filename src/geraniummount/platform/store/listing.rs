//! Keys with a prefix, read from the key-value store of the users' platform page by page.

use super::{Error, Item};
use crate::prelude::*;

/// Keys with a prefix, as far as they could be read.
#[derive(Debug)]
pub struct Listing {
    /// Keys with their values, without those that can't be read.
    pub items: Vec<Item>,
    /// Lowest revision of the store at which a page was read: later changes may be missing.
    pub as_of: Revision,
    /// Key up to which the list is complete, as no page followed the one that ends there; `None` if
    /// it is complete to its end.
    pub complete_to: Option<String>,
}

impl Listing {
    /// Returns all keys.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Incomplete`] if the list is not complete.
    pub fn into_items(self) -> Result<Vec<Item>, Error> {
        match self.complete_to {
            None => Ok(self.items),
            Some(_) => Err(Error::Incomplete),
        }
    }
}
