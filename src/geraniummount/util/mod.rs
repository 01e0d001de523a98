//! Helpers that know nothing of the domain.

pub mod fixed_resolver;
pub mod h1;
pub mod logger;
pub mod published;
pub mod table;
