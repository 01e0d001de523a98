//! Routing table of one version of the configuration.

use std::time::Duration;

use super::{Limits, Route};
use crate::core::tenant::Directory;
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
    /// Tenants, with their keys.
    tenants: Directory,
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
    /// Limits on a leaf that has not warmed up; `None` if the service has none.
    pub warm_up: Option<WarmUp>,
}

/// Limits on a leaf that has not warmed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time after its start for which a leaf is cold.
    pub duration: Duration,
    /// Requests per second that a cold leaf takes from all VMs together.
    pub per_second: f64,
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
            tenants: Directory::default(),
        }
    }

    /// Sets the tenants, whose requests need keys.
    pub fn with_tenants(self, tenants: Directory) -> Table {
        Table { tenants, ..self }
    }

    /// Returns the tenants, with their keys.
    pub fn tenants(&self) -> &Directory {
        &self.tenants
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

    /// Returns the limits on a leaf of the service that has not warmed up.
    pub fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.backend(service)?.warm_up
    }

    /// Returns the limits on leaves that have not warmed up, sorted by service.
    pub fn warm_ups(&self) -> Vec<(ServiceName, WarmUp)> {
        let services = self.services.iter();
        let limited = services.filter_map(|service| Some((service.name.clone(), service.warm_up?)));
        limited.collect()
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

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[Backend] {
        &self.services
    }
}
