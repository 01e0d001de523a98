//! Who competes for capacity.

use crate::core::route::Route;
use crate::core::tenant::Access;
use crate::prelude::*;

/// Who competes for capacity. The order is that of the priorities.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claimant {
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Tenant; `None` stands for all anonymous callers together.
    pub tenant: Option<TenantName>,
}

impl Claimant {
    /// Returns the claimant of a request. The tenant's priority replaces that of the route.
    pub fn new(route: &Route, access: &Access) -> Claimant {
        let tenant = access.tenant();
        let priority = tenant.and_then(|tenant| tenant.priority);
        Claimant {
            priority: priority.unwrap_or(route.priority),
            tenant: tenant.map(|tenant| tenant.name.clone()),
        }
    }
}
