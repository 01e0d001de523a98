//! Helpers that know nothing of the domain.

pub mod published;
pub mod table;
