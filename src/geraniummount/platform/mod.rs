//! Adapter of the users' platform: translates its names, formats and calls to and from the types of
//! this crate.
//!
//! This module makes no decisions, and no other module uses the names of the platform. [`document`]
//! parses the operator's configuration, [`registration`] parses the registrations of leaves (the
//! servers that run the requests), [`headers`] reads and writes the header fields of requests and
//! responses, [`vm_rate`] reads and writes what VMs tell each other of their rates of requests,
//! [`peer_entry`] the entries by which they find each other, and [`Store`] is the client of the
//! platform's key-value store.

#![deny(clippy::disallowed_methods)]

mod address;
pub mod document;
pub mod headers;
mod path;
pub mod peer_entry;
pub mod registration;
mod store;
pub mod vm_rate;

pub use self::store::{
    Error, Event, Events, Item, LeaseId, Listing, Range, Store, Watch, WatchStatus,
};

/// Key of the operator's configuration document.
pub const DOCUMENT_KEY: &str = "op/config";

/// Prefix of the keys that operators write: the configuration document and the evacuations.
pub const OPERATOR_PREFIX: &str = "op/";

/// Prefix of the keys that name the failure domains whose leaves must get nothing.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Prefix that matches all keys: that of the operator's document and those of the leaves'
/// registrations.
pub const ALL_KEYS: &str = "";

/// Prefix of the keys of leaf registrations.
pub const REGISTRATION_PREFIX: &str = "servers/";

/// Prefix of the keys under which VMs tell each other their rates of requests.
pub const VM_RATE_PREFIX: &str = "vm-rates/";

/// Key of the list of requests during which leaves crashed, which the VMs share.
pub const QUARANTINE_KEY: &str = "quarantine/requests";

/// Key that exists once a configuration has had a list of tenants.
pub const KEYS_REQUIRED_KEY: &str = "tenants/named";

/// Prefix of the keys under which VMs register for requests that other VMs delegate to them.
pub const PEER_PREFIX: &str = "peers/";

/// Path of the readiness probe, by which the platform asks whether a process accepts connections.
pub const READY_PATH: &str = "/api/ready";
