//! Tenants (workspaces), which share the system, and the keys by which their requests are told apart.
//!
//! The operator names the tenants and their keys in each version of the configuration. A request
//! carries one of the keys, unless its route serves anonymous requests. [`Directory`] decides whose
//! request it is. Only digests of keys are kept and compared, so that no dump, log line or message
//! to another VM can contain a key.

mod access;
mod credential;
mod directory;
mod key_digest;
mod quota;

use crate::prelude::*;

pub use self::access::{Access, Denial};
pub use self::credential::Credential;
pub use self::directory::{Conflict, Directory};
pub use self::key_digest::KeyDigest;
pub use self::quota::Quota;

/// A customer of the system, whose requests have keys of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, which leaves are told.
    pub name: TenantName,
    /// Priority of its requests, which replaces that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests over all VMs; `None` if there is none.
    pub quota: Option<Quota>,
    /// Regions whose leaves may run its requests; `None` if all may.
    pub regions: Option<Vec<RegionName>>,
}
