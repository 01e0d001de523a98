//! The users' platform: its names, formats and calls, translated into the
//! product's types and back.
//!
//! Nothing here decides anything, and no other module knows the platform's
//! names. [`document`] reads the operator's configuration, [`registration`] a leaf's
//! registration, [`headers`] what requests and responses carry, and
//! [`Store`] speaks to the platform's key-value store.

pub mod document;
pub mod headers;
pub mod registration;
mod store;

pub use self::store::{Error, Event, Events, Item, Range, Store, Watch, WatchStatus};

/// Key of the operator's configuration.
pub const DOCUMENT_KEY: &str = "op/config";

/// Prefix of all keys: those of the operator and those of the leaves.
pub const ALL_KEYS: &str = "";

/// Prefix of the keys under which leaves register.
pub const REGISTRATION_PREFIX: &str = "servers/";

/// Path at which the platform asks whether a process takes connections.
pub const READY_PATH: &str = "/api/ready";
