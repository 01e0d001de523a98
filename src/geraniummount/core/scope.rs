//! Failure domains that a request may reach.
//!
//! Load pattern: the operator restricts the requests of a route or of a tenant to regions, for
//! example because the law requires it. The settings give the region of each failure domain. A
//! domain whose region is unknown is not allowed: a request that is refused is a loss, while one
//! that runs in another region breaks the restriction. Most requests are not restricted, and cost
//! one comparison a leaf.

use std::sync::Arc;

use crate::prelude::*;

/// Failure domains that a request may reach.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scope {
    /// Sorted; `None` if the request may reach all of them.
    domains: Option<Arc<[DomainName]>>,
}

impl Scope {
    /// All failure domains.
    pub const ANY: Scope = Scope { domains: None };

    /// Creates the scope of a request. `regions` gives the region of each failure domain, and
    /// `allowed` contains the lists of regions that bind the request, all of them.
    pub fn new<'a>(
        regions: &[(DomainName, RegionName)],
        allowed: impl IntoIterator<Item = &'a [RegionName]>,
    ) -> Scope {
        let lists: Vec<&[RegionName]> = allowed.into_iter().collect();
        if lists.is_empty() {
            return Scope::ANY;
        }
        let is_allowed = |region| lists.iter().all(|list| list.contains(region));
        let domains = regions.iter().filter(|(_, region)| is_allowed(region));
        Scope::of_domains(domains.map(|(domain, _)| domain.clone()))
    }

    /// Returns the scope without any failure domain.
    pub fn nowhere() -> Scope {
        Scope::of_domains([])
    }

    /// Returns this scope with a failure domain and the others of the same region.
    #[must_use]
    pub fn with_region_of(&self, own: &str, regions: &[(DomainName, RegionName)]) -> Scope {
        let Some(domains) = &self.domains else {
            return Scope::ANY;
        };
        let own_region = regions.iter().find(|(domain, _)| domain == own);
        let is_near = |region: &RegionName| own_region.is_some_and(|(_, own)| own == region);
        let near = regions.iter().filter(|(_, region)| is_near(region));
        let near = near.map(|(domain, _)| domain.clone());
        Scope::of_domains(domains.iter().cloned().chain(near).chain([own.to_string()]))
    }

    /// Returns whether the request may reach a failure domain.
    pub fn contains(&self, domain: &str) -> bool {
        let domains = self.domains.as_ref();
        domains.is_none_or(|domains| {
            let order = |known: &DomainName| known.as_str().cmp(domain);
            domains.binary_search_by(order).is_ok()
        })
    }

    fn of_domains(domains: impl IntoIterator<Item = DomainName>) -> Scope {
        let mut domains: Vec<DomainName> = domains.into_iter().collect();
        domains.sort_unstable();
        domains.dedup();
        Scope {
            domains: Some(domains.into()),
        }
    }
}
