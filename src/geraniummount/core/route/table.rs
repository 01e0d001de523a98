//! Routing table of one version of the configuration.

use super::{Limits, Route};
use crate::prelude::*;

/// Routing table, with the limits on callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version of the configuration. A higher version is newer.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Backend>,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that a leaf (a server process) of the service accepts from all
    /// VMs together.
    pub max_connections: usize,
    /// Path at which a leaf of the service answers health checks.
    pub health_path: String,
}

impl Table {
    /// Creates the table of a version. The comparison of hosts is case-insensitive.
    pub fn new(
        version: u64,
        limits: Limits,
        mut routes: Vec<Route>,
        mut services: Vec<Backend>,
    ) -> Table {
        for route in &mut routes {
            route.host.make_ascii_lowercase();
        }
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Table {
            version,
            limits,
            routes,
            services,
        }
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let slashes = path.rmatch_indices('/');
        let mut prefixes = slashes.map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| {
            let key = (host.as_str(), prefix);
            let order = |route: &Route| (route.host.as_str(), route.prefix.as_str()).cmp(&key);
            let index = self.routes.binary_search_by(order).ok()?;
            Some(&self.routes[index])
        })
    }

    /// Returns the maximum number of connections that a leaf of the service accepts from all VMs.
    pub fn max_connections(&self, service: &str) -> Option<usize> {
        Some(self.backend(service)?.max_connections)
    }

    /// Returns the path at which a leaf of the service answers health checks.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        Some(&self.backend(service)?.health_path)
    }

    fn backend(&self, service: &str) -> Option<&Backend> {
        let order = |backend: &Backend| backend.name.as_str().cmp(service);
        let index = self.services.binary_search_by(order).ok()?;
        Some(&self.services[index])
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
