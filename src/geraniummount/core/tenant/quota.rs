//! Limit on the requests of a tenant.

/// Limit on the requests of a tenant over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may come at once in addition.
    pub burst: f64,
}
