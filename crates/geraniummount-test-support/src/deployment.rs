//! Describes the users' two deployments as resources, at their current sizes.
//!
//! The users' description of a service with two leaves can be read in two ways: as one shard with
//! two replicas, which is the default, or as two shards with one replica each. A [`Layout`] selects
//! one of them. A group of services such as counter-desk has one more service that includes all of
//! them.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// How the index of a service with two leaves is divided among them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// One shard, with a replica on each leaf.
    Replicas,
    /// One shard for each leaf.
    Shards,
}

/// What a service prefers when a shard is late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preference {
    /// Low latency: it answers without the late shard.
    Latency,
    /// Full coverage: it waits for the late shard.
    Coverage,
}

/// An organisation with its failure domains and services.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Failure domains.
    pub failure_domains: &'static [&'static str],
    /// One-way delay between failure domains, in milliseconds.
    pub inter_domain_delay_ms: u64,
    /// One-way delay between callers and failure domains, in milliseconds.
    pub caller_delay_ms: u64,
    /// What the services prefer when a shard is late.
    pub preference: Preference,
    /// Groups of services.
    pub groups: &'static [Group],
}

/// A group of services whose leaves have the same limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name of the group. In a group of several services it is also the name of the service that
    /// includes them.
    pub name: &'static str,
    /// Number of services. Several services are named `NAME-01`, `NAME-02` and onwards.
    pub services: usize,
    /// Number of leaves of each service.
    pub leaves: usize,
    /// Number of requests that a leaf runs at once.
    pub slots: u16,
    /// Number of connections that a leaf accepts.
    pub connections: u16,
    /// Time to open a connection to a leaf, in milliseconds.
    pub open_ms: u32,
}

/// A leaf of a deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafSite {
    /// Name.
    pub name: String,
    /// Service that the leaf belongs to.
    pub service: String,
    /// Shard that the leaf holds, as `service/shard`.
    pub shard: String,
    /// Failure domain of its backend server.
    pub failure_domain: String,
    /// Group of its service, with the leaf's limits.
    pub group: Group,
}

const ARUSHA_GROUPS: &[Group] = &[
    Group::small("counter-desk", 20),
    Group::small("parts-stock", 30),
    Group::single("safety-cert", 5, 3, 100),
    Group::single("guide-billing", 4, 3, 100),
];

const ALFOLD_REGIO_GROUPS: &[Group] = &[
    Group::small("csaladi-bolt", 20),
    Group::small("templom-rend", 30),
    Group::single("pult-igazolo", 5, 6, 50),
    Group::single("konyha-terv", 3, 6, 50),
];

const DEADLINE_MS: u32 = 1_000;
const MAX_DEADLINE_MS: u32 = 10_000;

impl Group {
    /// Services of two leaves each, which accept few connections and open them slowly.
    const fn small(name: &'static str, services: usize) -> Group {
        Group {
            name,
            services,
            leaves: 2,
            slots: 2,
            connections: 25,
            open_ms: 6,
        }
    }

    /// One service whose leaves open connections quickly.
    const fn single(name: &'static str, leaves: usize, slots: u16, connections: u16) -> Group {
        Group {
            name,
            services: 1,
            leaves,
            slots,
            connections,
            open_ms: 1,
        }
    }

    /// Returns the names of the group's services.
    pub fn service_names(&self) -> Vec<String> {
        match self.services {
            1 => vec![self.name.to_string()],
            count => (1..=count)
                .map(|n| format!("{}-{n:02}", self.name))
                .collect(),
        }
    }
}

impl Deployment {
    /// Returns the deployment of Kilele Gear Menders Ltd.
    pub fn arusha() -> Deployment {
        Deployment {
            name: "arusha",
            failure_domains: &["arusha-a", "arusha-b", "arusha-c", "arusha-d"],
            inter_domain_delay_ms: 4,
            caller_delay_ms: 3,
            preference: Preference::Latency,
            groups: ARUSHA_GROUPS,
        }
    }

    /// Returns the deployment of Magyar Édességrendelők Szövetsége.
    pub fn alfold_regio() -> Deployment {
        Deployment {
            name: "alfold-regio",
            failure_domains: &["alfold-a", "alfold-b", "alfold-c"],
            inter_domain_delay_ms: 5,
            caller_delay_ms: 1,
            preference: Preference::Coverage,
            groups: ALFOLD_REGIO_GROUPS,
        }
    }

    /// Returns the leaves of all services. The leaves of a service are spread over the failure
    /// domains in turn, and share one only if the service has more leaves than there are domains.
    pub fn leaves(&self, layout: Layout) -> Vec<LeafSite> {
        let mut sites = Vec::new();
        for group in self.groups {
            for service in group.service_names() {
                let first = sites.len();
                sites.extend((0..group.leaves).map(|index| {
                    let domain = self.failure_domains[(first + index) % self.failure_domains.len()];
                    LeafSite {
                        name: format!("{service}-leaf-{}", index + 1),
                        shard: format!("{service}/{}", shard_name(group, layout, index)),
                        service: service.clone(),
                        failure_domain: domain.to_string(),
                        group: *group,
                    }
                }));
            }
        }
        sites
    }

    /// Returns all services as resources. A service comes after the services that it includes.
    pub fn services(&self, layout: Layout) -> Vec<Value> {
        let sites = self.leaves(layout);
        let names = self.groups.iter().flat_map(Group::service_names);
        let plain = names.map(|name| self.service(&name, &sites));
        let groups = self.groups.iter().filter(|group| group.services > 1);
        let aggregates = groups.map(|group| self.resource(group.name, &[], &group.service_names()));
        plain.chain(aggregates).collect()
    }

    fn service(&self, name: &str, sites: &[LeafSite]) -> Value {
        let mut shards: Vec<(&str, Vec<&str>)> = Vec::new();
        for site in sites.iter().filter(|site| site.service == name) {
            let shard = site.shard.rsplit('/').next().unwrap_or_default();
            match shards.iter_mut().find(|(other, _)| *other == shard) {
                Some((_, replicas)) => replicas.push(&site.name),
                None => shards.push((shard, vec![&site.name])),
            }
        }
        let shards: Vec<Value> = shards
            .into_iter()
            .map(|(name, replicas)| json!({ "name": name, "replicas": replicas }))
            .collect();
        self.resource(name, &shards, &[])
    }

    fn resource(&self, name: &str, shards: &[Value], includes: &[String]) -> Value {
        let prefer = match self.preference {
            Preference::Latency => "latency",
            Preference::Coverage => "coverage",
        };
        json!({
            "name": name,
            "shards": shards,
            "includes": includes,
            "deadline_ms": DEADLINE_MS,
            "max_deadline_ms": MAX_DEADLINE_MS,
            "prefer": prefer,
        })
    }
}

impl LeafSite {
    /// Returns the leaf as a resource with the given address.
    pub fn resource(&self, address: SocketAddr) -> Value {
        json!({
            "name": self.name,
            "address": address,
            "failure_domain": self.failure_domain,
            "contract": {
                "slots": self.group.slots,
                "connections": self.group.connections,
                "open_ms": self.group.open_ms,
            },
        })
    }
}

/// Returns the name of the shard that the leaf at `index` holds. The layout applies only to
/// services of two leaves; in a larger service each leaf holds its own shard.
fn shard_name(group: &Group, layout: Layout, index: usize) -> String {
    match (group.leaves, layout) {
        (2, Layout::Replicas) => "1".to_string(),
        _ => (index + 1).to_string(),
    }
}
