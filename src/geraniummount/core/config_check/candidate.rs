//! A document that is not in force yet.

use crate::core::route::Table;
use crate::prelude::*;

/// A document that is not in force yet, with what its table does not show.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Routes, services, limits and tenants of the document.
    pub table: Table,
    /// Tenants that have a burst but no rate, so that the burst has no effect.
    pub bursts_without_rate: Vec<TenantName>,
}
