//! Whose request it is, or why it is not served.

use std::sync::Arc;

use super::Tenant;

/// Whose request it is.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The configuration has no list of tenants, and requests need no keys.
    Unrestricted,
    /// A request without a key on a route that serves anonymous requests.
    Anonymous,
    /// A request of a tenant.
    Tenant(Arc<Tenant>),
}

impl Access {
    /// Returns the tenant whose request it is.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Access::Tenant(tenant) => Some(tenant),
            Access::Unrestricted | Access::Anonymous => None,
        }
    }
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The request has no key, and its route requires one.
    NoKey,
    /// The request has several keys, or one that cannot be read.
    MalformedKey,
    /// No tenant holds the key.
    UnknownKey,
}

impl Denial {
    /// Returns the value of `why` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Denial::NoKey => "no-key",
            Denial::MalformedKey => "malformed-key",
            Denial::UnknownKey => "unknown-key",
        }
    }
}
