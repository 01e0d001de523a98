//! What a VM asks the writer of the shared list to do.

use crate::core::quarantine::{Claim, Record};

/// A job of the writer.
#[derive(Clone, Debug)]
pub enum Job {
    /// Add records to the list. Later ones contain all that earlier ones have and the list lacks.
    Add(Vec<Record>),
    /// Claim the next trial of a request.
    Claim(Claim),
}
