//! The tenants of one version of the configuration.
//!
//! A version without a list of tenants needs no keys. One with a list needs them also if the list is
//! empty: nobody holds a key then. A version that names less than the one before allows nothing more.

use std::fmt;
use std::sync::Arc;

use super::{Access, Credential, Denial, KeyDigest, Tenant};
use crate::prelude::*;

/// The tenants of one version of the configuration, with their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// Whether the version has a list of tenants, which may be empty, so that requests need keys.
    is_named: bool,
    /// Sorted by name.
    tenants: Vec<Arc<Tenant>>,
    /// Digests of the keys, sorted, each with its tenant.
    keys: Vec<(KeyDigest, Arc<Tenant>)>,
}

/// Two entries that contradict each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Conflict {
    /// Two tenants have the same name.
    Name(TenantName),
    /// Two tenants hold the same key.
    Key(TenantName, TenantName),
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Conflict::Name(name) => {
                write!(f, "two tenants are named {name}; rename one of them")
            }
            Conflict::Key(first, second) => write!(
                f,
                "tenants {first} and {second} hold the same key; remove it from one of them"
            ),
        }
    }
}

impl Directory {
    /// Creates the directory of tenants, each with the digests of its keys.
    ///
    /// # Errors
    ///
    /// Returns an error if two tenants have the same name or hold the same key.
    pub fn new(
        entries: impl IntoIterator<Item = (Tenant, Vec<KeyDigest>)>,
    ) -> Result<Directory, Conflict> {
        let mut tenants = Vec::new();
        let mut keys = Vec::new();
        for (tenant, digests) in entries {
            let tenant = Arc::new(tenant);
            keys.extend(digests.into_iter().map(|key| (key, Arc::clone(&tenant))));
            tenants.push(tenant);
        }
        tenants.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = tenants.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(Conflict::Name(pair[0].name.clone()));
        }
        keys.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        let is_shared = |pair: &&[(KeyDigest, Arc<Tenant>)]| {
            pair[0].0 == pair[1].0 && pair[0].1.name != pair[1].1.name
        };
        if let Some(pair) = keys.windows(2).find(is_shared) {
            let (first, second) = (&pair[0].1.name, &pair[1].1.name);
            return Err(Conflict::Key(first.clone(), second.clone()));
        }
        keys.dedup_by_key(|entry| entry.0);
        Ok(Directory {
            is_named: true,
            tenants,
            keys,
        })
    }

    /// Returns the directory of a list without tenants: requests need keys, and nobody holds one.
    pub fn closed() -> Directory {
        Directory {
            is_named: true,
            ..Directory::default()
        }
    }

    /// Returns whether requests need keys.
    pub fn needs_keys(&self) -> bool {
        self.is_named
    }

    /// Returns whether there is no tenant.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns all tenants, sorted by name.
    pub fn tenants(&self) -> &[Arc<Tenant>] {
        &self.tenants
    }

    /// Returns the tenant with a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        let order = |tenant: &Arc<Tenant>| tenant.name.as_str().cmp(name);
        let index = self.tenants.binary_search_by(order).ok()?;
        Some(&self.tenants[index])
    }

    /// Returns the digests of a tenant's keys, sorted.
    pub fn keys_of(&self, name: &str) -> impl Iterator<Item = KeyDigest> {
        let keys = self.keys.iter();
        keys.filter(move |(_, tenant)| tenant.name == name)
            .map(|(key, _)| *key)
    }

    /// Decides whose request it is.
    ///
    /// # Errors
    ///
    /// Returns why the request is not served.
    pub fn authenticate(
        &self,
        credential: Credential,
        allows_anonymous: bool,
    ) -> Result<Access, Denial> {
        if !self.is_named {
            return Ok(Access::Unrestricted);
        }
        match credential {
            Credential::Absent if allows_anonymous => Ok(Access::Anonymous),
            Credential::Absent => Err(Denial::NoKey),
            Credential::Malformed => Err(Denial::MalformedKey),
            Credential::Key(key) => {
                let holder = self.holder(key).ok_or(Denial::UnknownKey)?;
                Ok(Access::Tenant(Arc::clone(holder)))
            }
        }
    }

    /// Returns whether a request is judged by its key, so that the list of keys has to be the newest.
    /// Without a list, a request with a key is: the key must not be shown to a leaf, and a newer version
    /// may have the first list.
    pub fn needs_confirmation(&self, credential: Credential, allows_anonymous: bool) -> bool {
        if !self.is_named {
            return credential != Credential::Absent;
        }
        match self.authenticate(credential, allows_anonymous) {
            Ok(Access::Tenant(_)) | Err(Denial::UnknownKey) => true,
            Ok(Access::Unrestricted | Access::Anonymous)
            | Err(Denial::NoKey | Denial::MalformedKey) => false,
        }
    }

    fn holder(&self, key: KeyDigest) -> Option<&Arc<Tenant>> {
        let index = self.keys.binary_search_by_key(&key, |entry| entry.0).ok()?;
        Some(&self.keys[index].1)
    }
}
