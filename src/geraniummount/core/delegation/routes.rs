//! Decides who may handle a request, so that no request is handled by older routes than an earlier
//! one.
//!
//! Load pattern: a VM has lost its links to the leaves, or has just got them back, while the store
//! turns it away and the routes change. It passes requests to other VMs, whose routes are newer.
//! Once one of them has handled a request by newer routes, callers of this VM have seen their
//! effect: a route that has moved must not lead to its old service again, and a route that was added
//! must not be missing again. Most VMs may have lost their links, so what can be served here still
//! is, as long as no newer routes have been seen.
//!
//! [`Routes`] owns the routes in force, and gives them out only with the decision who handles a
//! request.

use std::sync::Arc;

use super::{Decline, Handler, Links, Unable};
use crate::core::key_lease::Keys;
use crate::core::route::{Limits, Repeat, Table};
use crate::core::tenant::{Credential, Denial, Directory, Tenant};
use crate::prelude::*;

/// Routes in force at this VM, and the newest version by which a request of its callers was handled.
#[derive(Debug, Default)]
pub struct Routes {
    /// `None` until the first version is known.
    table: Option<Arc<Table>>,
    /// Newest version by which another VM has handled, or is handling, a request of this one.
    seen_version: u64,
    /// Whether any version has had a list of tenants. One that has none any more takes all keys away.
    requires_keys: bool,
}

impl Routes {
    /// Brings a version into force, unless a newer one is in force; returns whether it is in force
    /// now.
    pub fn apply(&mut self, table: Table) -> bool {
        self.requires_keys |= table.tenants().needs_keys();
        let is_older = table.version < self.version();
        if !is_older {
            self.table = Some(Arc::new(table));
            self.close_without_list();
        }
        !is_older
    }

    /// Records that an earlier version had a list of tenants, perhaps before this VM was started.
    pub fn require_keys(&mut self) {
        self.requires_keys = true;
        self.close_without_list();
    }

    /// Lets requests need keys by routes that have no list of tenants, if an earlier version had one.
    fn close_without_list(&mut self) {
        let is_open = |table: &mut Arc<Table>| !table.tenants().needs_keys();
        if self.requires_keys
            && let Some(table) = self.table.take_if(is_open)
        {
            let table = Arc::unwrap_or_clone(table);
            self.table = Some(Arc::new(table.with_tenants(Directory::closed())));
        }
    }

    /// Records that another VM handles a request of this one by a version of the routes.
    pub fn on_seen(&mut self, version: u64) {
        self.seen_version = self.seen_version.max(version);
    }

    /// Returns the version in force; 0 if none is.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the oldest version by which a request of a caller may be handled.
    pub fn min_version(&self) -> u64 {
        self.seen_version.max(self.version())
    }

    /// Returns whether routes are in force.
    pub fn is_known(&self) -> bool {
        self.table.is_some()
    }

    /// Returns whether requests need keys by the configuration in force.
    pub fn needs_keys(&self) -> bool {
        let table = self.table.as_ref();
        table.is_some_and(|table| table.tenants().needs_keys())
    }

    /// Returns whether requests need keys by the configuration in force, and nobody holds one.
    pub fn is_closed(&self) -> bool {
        self.needs_keys() && self.tenants().is_empty()
    }

    /// Returns why a request is denied while nobody holds a key; `None` if it is not, or somebody does.
    /// Such a request is not passed on: a VM of an older build takes the empty list for none.
    pub fn denial_while_closed(
        &self,
        credential: Credential,
        allows_anonymous: bool,
    ) -> Option<Denial> {
        let table = self.table.as_ref().filter(|_| self.is_closed())?;
        let access = table.tenants().authenticate(credential, allows_anonymous);
        access.err()
    }

    /// Returns the tenants of the configuration in force, sorted by name.
    pub fn tenants(&self) -> &[Arc<Tenant>] {
        self.table
            .as_ref()
            .map_or(&[], |table| table.tenants().tenants())
    }

    /// Returns whether the configuration in force restricts any requests to regions.
    pub fn has_regions(&self) -> bool {
        self.table.as_ref().is_some_and(|table| {
            let mut tenants = table.tenants().tenants().iter();
            let mut routes = table.routes().iter();
            tenants.any(|tenant| tenant.regions.is_some())
                || routes.any(|route| route.regions.is_some())
        })
    }

    /// Returns the regions to which the configuration in force restricts the requests of the
    /// tenant that holds a key; `None` if it does not restrict them.
    pub fn regions_of(&self, credential: Credential) -> Option<Vec<RegionName>> {
        let access = self
            .table
            .as_ref()?
            .tenants()
            .authenticate(credential, true);
        access.ok()?.tenant()?.regions.clone()
    }

    /// Returns whether newer routes than those in force have been seen.
    pub fn is_outdated(&self) -> bool {
        self.version() < self.seen_version
    }

    /// Returns whether a request may be handled by the routes in force only while their keys are
    /// confirmed.
    pub fn needs_confirmed_keys(&self, host: &str, path: &str, credential: Credential) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        let route = table.find(host, path);
        let tenants = table.tenants();
        route.is_some_and(|route| tenants.needs_confirmation(credential, route.allows_anonymous))
    }

    /// Decides who handles a request of a caller. `keys` says whether this VM may decide about the
    /// key of the request.
    pub fn handler(&self, links: Links, keys: Keys, has_peers: bool) -> Handler {
        let Some(table) = &self.table else {
            return Handler::Nobody(Unable::NoRoutes);
        };
        if self.is_outdated() {
            return match has_peers {
                true => Handler::Peer {
                    min_version: self.seen_version,
                    table: None,
                },
                false => Handler::Nobody(Unable::Outdated),
            };
        }
        let table = Arc::clone(table);
        match (keys, links) {
            (Keys::Unconfirmed, _) if !has_peers => Handler::Nobody(Unable::KeysUnconfirmed),
            (Keys::Confirmed, Links::OnlyOpenConnections) if has_peers => {
                Handler::OwnIfConnected(table)
            }
            (Keys::Unconfirmed, _) | (_, Links::Lost) if has_peers => Handler::Peer {
                min_version: table.version,
                table: Some(table),
            },
            _ => Handler::Own(table),
        }
    }

    /// Returns the routes by which a request of another VM is handled here. `min_version` is the
    /// oldest version by which it may be handled, and `keys` says whether this VM may decide about
    /// its key.
    ///
    /// # Errors
    ///
    /// Returns the reason to decline the request if no routes are known, if they are older than the
    /// other VM requires, or than this VM has seen, or if the key can't be confirmed.
    pub fn for_peer(&self, min_version: u64, keys: Keys) -> Result<Arc<Table>, Decline> {
        let table = self.table.as_ref().ok_or(Decline::NotReady)?;
        match keys {
            _ if table.version < min_version.max(self.seen_version) => Err(Decline::Outdated),
            Keys::Unconfirmed => Err(Decline::KeysUnconfirmed),
            Keys::Confirmed => Ok(Arc::clone(table)),
        }
    }

    /// Returns whether a request may run more than once by all routes that may be in force: those of
    /// `version`, which it was handled by and which say `planned`, and newer ones that this VM knows or
    /// has seen.
    pub fn repeat_since(&self, version: u64, planned: Repeat, host: &str, path: &str) -> Repeat {
        if planned == Repeat::AtMostOnce || version >= self.min_version() {
            return planned;
        }
        if self.is_outdated() {
            return Repeat::AtMostOnce;
        }
        let table = self.table.as_ref();
        let route = table.and_then(|table| table.find(host, path));
        route.map_or(planned, |route| route.repeat)
    }

    /// Returns the limits on callers. While newer routes have been seen, whose limits are unknown,
    /// they are not below the usual ones.
    pub fn limits(&self) -> Limits {
        let usual = Limits::default();
        let Some(limits) = self.table.as_ref().map(|table| table.limits) else {
            return usual;
        };
        match self.is_outdated() {
            true => limits.max(usual),
            false => limits,
        }
    }

    /// Returns the maximum number of connections that a leaf of the service accepts from all VMs.
    pub fn max_connections(&self, service: &str) -> Option<usize> {
        self.table.as_ref()?.max_connections(service)
    }

    /// Returns the path at which a leaf of the service answers health checks.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.table.as_ref()?.health_path(service)
    }
}
