//! General-purpose utilities that do not depend on the rest of the crate.

pub mod bounded;
pub mod fixed_resolver;
pub mod h1;
pub mod json;
pub mod logger;
pub mod published;
pub mod table;
