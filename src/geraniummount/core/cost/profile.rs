//! What is known of a request before it runs, by which its cost is learned.

use crate::prelude::*;

/// What is known of a request before it runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Profile {
    /// Name of the route.
    pub route: String,
    /// Tenant that sends the request; `None` if it is anonymous or there are no tenants.
    pub tenant: Option<TenantName>,
    /// Size class of the body; each covers a factor of 16.
    pub size_class: u8,
}

impl Profile {
    /// Creates the profile of a request with a body of the given size in bytes.
    pub fn new(route: String, tenant: Option<TenantName>, body_bytes: usize) -> Profile {
        let bits = usize::BITS - body_bytes.leading_zeros();
        Profile {
            route,
            tenant,
            size_class: bits.div_ceil(4) as u8,
        }
    }
}
