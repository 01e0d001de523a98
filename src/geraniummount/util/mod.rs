//! Helpers that know nothing of the domain.

pub mod fixed;
pub mod h1;
pub mod lines;
pub mod published;
pub mod table;
