//! The layout of a query: all shards that its service covers, read from the configuration that was
//! in force when the query was admitted.

use crate::core::service;
use crate::prelude::*;

/// Maximum nesting depth of included services; deeper ones are left out of the layout.
const MAX_INCLUDE_DEPTH: usize = 8;

/// Shards of a service and of the services it includes, all at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Revision (position in the log of all accepted changes) of the configuration that the layout
    /// was read from.
    pub revision: Revision,
    /// Shards, sorted by name.
    pub shards: Vec<Shard>,
}

/// A shard and its replicas, under the name that the query's answer uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shard {
    /// Name in the answer: `shard` for a shard of the queried service itself, `service/shard` for
    /// a shard of an included service.
    pub name: ShardName,
    /// Service that declares the shard.
    pub service: ServiceName,
    /// Name of the shard within that service.
    pub shard: ShardName,
    /// Leaves that hold a replica, in the order that the operator declared.
    pub replicas: Vec<LeafName>,
}

impl Layout {
    /// Collects the shards of a service. Returns `None` if the service does not exist.
    pub fn new(catalog: &Catalog, service: &str) -> Option<Layout> {
        let spec = &catalog.service(service)?.spec;
        let mut shards: Vec<Shard> = spec.shards.iter().map(|s| own_shard(service, s)).collect();
        let mut seen = vec![spec.name.clone()];
        for included in &spec.includes {
            collect_included(catalog, included, MAX_INCLUDE_DEPTH, &mut seen, &mut shards);
        }
        shards.sort_by(|a, b| a.name.cmp(&b.name));
        shards.dedup_by(|a, b| a.name == b.name);
        Some(Layout {
            revision: catalog.revision,
            shards,
        })
    }

    /// Returns the shard that has the given name in the answer.
    pub fn shard(&self, name: &str) -> Option<&Shard> {
        let index = self.shards.binary_search_by(|s| s.name.as_str().cmp(name));
        index.ok().map(|index| &self.shards[index])
    }

    /// Returns the services that declare the shards, sorted by name.
    pub fn services(&self) -> Vec<ServiceName> {
        let mut services: Vec<ServiceName> =
            self.shards.iter().map(|s| s.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }
}

fn own_shard(service: &str, shard: &service::Shard) -> Shard {
    Shard {
        name: shard.name.clone(),
        service: service.to_owned(),
        shard: shard.name.clone(),
        replicas: shard.replicas.clone(),
    }
}

/// Adds the shards of an included service, and of the services that it includes, down to `depth`
/// levels. Services in `seen` are skipped.
fn collect_included(
    catalog: &Catalog,
    service: &str,
    depth: usize,
    seen: &mut Vec<ServiceName>,
    shards: &mut Vec<Shard>,
) {
    if depth == 0 || seen.iter().any(|name| name == service) {
        return;
    }
    seen.push(service.to_owned());
    let Some(record) = catalog.service(service) else {
        return;
    };
    for shard in &record.spec.shards {
        shards.push(Shard {
            name: format!("{service}/{}", shard.name),
            ..own_shard(service, shard)
        });
    }
    for included in &record.spec.includes {
        collect_included(catalog, included, depth - 1, seen, shards);
    }
}
