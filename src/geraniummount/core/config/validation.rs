//! Validation of a change against the whole configuration, before the change is proposed.
//!
//! The catalog is the configuration: all accepted resources at one revision, a position in the log
//! of all accepted changes. A leaf's contract is what the leaf grants: slots, connections and the
//! time to open one.
//!
//! All faults are reported together, each with the field and the allowed values, which lets an
//! operator correct them in one pass.

use crate::core::config::change::{Action, Change};
use crate::core::config::contract::Contract;
use crate::core::config::fault::Fault;
use crate::core::config::resource::{Kind, Resource};
use crate::core::service::Shard;
use crate::prelude::*;

/// Maximum length of the name of a resource, shard, VM or failure domain, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum number of leaves in a configuration.
pub const MAX_LEAVES: usize = 20_000;
/// Maximum number of services in a configuration.
pub const MAX_SERVICES: usize = 2_000;
/// Maximum number of shards that a service may cover, including those of included services.
pub const MAX_SHARDS: usize = 1_024;
/// Maximum number of replicas of a shard.
pub const MAX_REPLICAS: usize = 16;
/// Maximum deadline of a service, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 600_000;
/// Maximum declared time to open a connection, in milliseconds.
pub const MAX_OPEN_MS: u32 = 60_000;
/// Maximum value of `extra_percent`, the number of retries (attempts after a failed one) and hedges
/// (attempts in addition to a late one) together, in percent of the first attempts.
pub const MAX_EXTRA_PERCENT: u8 = 50;

/// Returns all faults of a change on top of `catalog`; the list is empty if the change is valid.
pub fn check(catalog: &Catalog, change: &Change) -> Vec<Fault> {
    let mut faults = Vec::new();
    match &change.action {
        Action::Put(resource) => {
            check_identity(change, resource, &mut faults);
            match resource {
                Resource::Leaf(leaf) => check_leaf(catalog, leaf, &mut faults),
                Resource::Service(service) => check_service(catalog, service, &mut faults),
            }
        }
        Action::Delete => check_delete(catalog, change, &mut faults),
    }
    faults
}

fn check_identity(change: &Change, resource: &Resource, faults: &mut Vec<Fault>) {
    if resource.kind() != change.kind || resource.name() != change.name {
        let problem = format!("`{}` differs from the path", resource.name());
        faults.push(Fault::new("name", problem, change.name.as_str()));
    }
}

/// Returns whether `name` is a valid name of a resource, shard, VM or failure domain.
pub fn is_valid_name(name: &str) -> bool {
    let is_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let starts_alphanumeric = name.bytes().next().is_some_and(is_alphanumeric);
    let all_allowed = name
        .bytes()
        .all(|byte| is_alphanumeric(byte) || byte == b'-');
    starts_alphanumeric && all_allowed && name.len() <= MAX_NAME_BYTES
}

/// Describes the names that [`is_valid_name`] accepts.
pub fn name_rule() -> String {
    format!("1 to {MAX_NAME_BYTES} of a-z, 0-9 and `-`, starting with a letter or digit")
}

fn check_name(field: &str, name: &str, faults: &mut Vec<Fault>) {
    if !is_valid_name(name) {
        faults.push(Fault::new(
            field,
            format!("`{name}` is no name"),
            name_rule(),
        ));
    }
}

fn check_range(field: &str, value: u64, allowed: (u64, u64), faults: &mut Vec<Fault>) {
    let (min, max) = allowed;
    if (min..=max).contains(&value) {
        return;
    }
    let problem = format!("{value} is out of range");
    faults.push(Fault::new(field, problem, format!("{min} to {max}")));
}

fn check_leaf(catalog: &Catalog, leaf: &Leaf, faults: &mut Vec<Fault>) {
    check_name("name", &leaf.name, faults);
    check_name("failure_domain", &leaf.failure_domain, faults);
    check_address(catalog, leaf, faults);
    check_contract(&leaf.contract, faults);
    if catalog.leaf(&leaf.name).is_none() && catalog.leaves.len() >= MAX_LEAVES {
        faults.push(Fault::new(
            "name",
            "too many leaves",
            format!("at most {MAX_LEAVES} leaves"),
        ));
    }
}

fn check_address(catalog: &Catalog, leaf: &Leaf, faults: &mut Vec<Fault>) {
    if leaf.address.port() == 0 || leaf.address.ip().is_unspecified() {
        let problem = format!("{} can't be connected to", leaf.address);
        faults.push(Fault::new("address", problem, "an IP number and port"));
    }
    let duplicate = catalog
        .leaves
        .iter()
        .find(|other| other.spec.address == leaf.address && other.spec.name != leaf.name);
    if let Some(duplicate) = duplicate {
        let problem = format!("{} belongs to leaf `{}`", leaf.address, duplicate.spec.name);
        faults.push(Fault::new("address", problem, "an address of its own"));
    }
}

fn check_contract(contract: &Contract, faults: &mut Vec<Fault>) {
    let max = u64::from(u16::MAX);
    check_range("contract.slots", contract.slots.into(), (1, max), faults);
    check_range(
        "contract.connections",
        contract.connections.into(),
        (1, max),
        faults,
    );
    let open_ms = u64::from(contract.open_ms);
    check_range("contract.open_ms", open_ms, (0, MAX_OPEN_MS.into()), faults);
}

fn check_service(catalog: &Catalog, service: &Service, faults: &mut Vec<Fault>) {
    check_name("name", &service.name, faults);
    check_deadlines(service, faults);
    if service.shards.is_empty() && service.includes.is_empty() {
        faults.push(Fault::new(
            "shards",
            "the service covers nothing",
            "a shard or an included service",
        ));
    }
    for (index, shard) in service.shards.iter().enumerate() {
        let first = &service.shards[..index];
        check_shard(catalog, (index, shard), first, faults);
    }
    check_includes(catalog, service, faults);
    if catalog.service(&service.name).is_none() && catalog.services.len() >= MAX_SERVICES {
        faults.push(Fault::new(
            "name",
            "too many services",
            format!("at most {MAX_SERVICES} services"),
        ));
    }
}

fn check_deadlines(service: &Service, faults: &mut Vec<Fault>) {
    let max = u64::from(MAX_DEADLINE_MS);
    let max_deadline = service.max_deadline_ms.into();
    check_range("max_deadline_ms", max_deadline, (1, max), faults);
    let default_deadline = service.deadline_ms.into();
    check_range(
        "deadline_ms",
        default_deadline,
        (1, max_deadline.clamp(1, max)),
        faults,
    );
    let extra = service.extra_percent.into();
    check_range(
        "extra_percent",
        extra,
        (0, MAX_EXTRA_PERCENT.into()),
        faults,
    );
}

fn check_shard(
    catalog: &Catalog,
    (index, shard): (usize, &Shard),
    earlier: &[Shard],
    faults: &mut Vec<Fault>,
) {
    let field = format!("shards[{index}]");
    check_name(&format!("{field}.name"), &shard.name, faults);
    if earlier.iter().any(|other| other.name == shard.name) {
        let problem = format!("`{}` stands twice", shard.name);
        faults.push(Fault::new(
            format!("{field}.name"),
            problem,
            "a name of its own",
        ));
    }
    let count = shard.replicas.len() as u64;
    let max = MAX_REPLICAS as u64;
    check_range(
        &format!("{field}.replicas (count)"),
        count,
        (1, max),
        faults,
    );
    for (position, leaf) in shard.replicas.iter().enumerate() {
        let field = format!("{field}.replicas[{position}]");
        if catalog.leaf(leaf).is_none() {
            let problem = format!("leaf `{leaf}` does not exist");
            faults.push(Fault::new(&field, problem, "a declared leaf"));
        }
        if shard.replicas[..position].contains(leaf) {
            let problem = format!("leaf `{leaf}` stands twice");
            faults.push(Fault::new(&field, problem, "each leaf once"));
        }
    }
}

fn check_includes(catalog: &Catalog, service: &Service, faults: &mut Vec<Fault>) {
    for (index, include) in service.includes.iter().enumerate() {
        if *include != service.name && catalog.service(include).is_none() {
            let problem = format!("service `{include}` does not exist");
            faults.push(Fault::new(
                format!("includes[{index}]"),
                problem,
                "a declared service",
            ));
        }
    }
    // The change also affects all services that include this one, directly or indirectly.
    let others = catalog.services.iter().map(|record| &record.spec);
    let affected = others.filter(|other| other.name != service.name && !other.includes.is_empty());
    for root in std::iter::once(service).chain(affected) {
        check_covered_shards(catalog, service, root, faults);
    }
}

/// Checks the services and shards that `root` would cover once `changed` is in force.
fn check_covered_shards(
    catalog: &Catalog,
    changed: &Service,
    root: &Service,
    faults: &mut Vec<Fault>,
) {
    let mut reached = vec![root.name.as_str()];
    let mut pending = vec![root];
    let mut shards = 0;
    while let Some(service) = pending.pop() {
        shards += service.shards.len();
        for include in &service.includes {
            if reached.contains(&include.as_str()) {
                let problem = format!("`{}` reaches service `{include}` twice", root.name);
                faults.push(Fault::new(
                    "includes",
                    problem,
                    "each service once, no cycles",
                ));
                return;
            }
            reached.push(include);
            let next = if *include == changed.name {
                Some(changed)
            } else {
                catalog.service(include).map(|record| &record.spec)
            };
            pending.extend(next);
        }
    }
    if shards > MAX_SHARDS {
        let problem = format!("`{}` covers {shards} shards", root.name);
        faults.push(Fault::new(
            "shards",
            problem,
            format!("at most {MAX_SHARDS}"),
        ));
    }
}

fn check_delete(catalog: &Catalog, change: &Change, faults: &mut Vec<Fault>) {
    if catalog.generation(change.kind, &change.name) == 0 {
        let problem = format!("{} `{}` does not exist", change.kind, change.name);
        faults.push(Fault::new("name", problem, "a declared resource"));
    }
    for record in catalog.services.iter() {
        if uses_resource(&record.spec, change) {
            let problem = format!("in use by service `{}`", record.spec.name);
            faults.push(Fault::new(
                "name",
                problem,
                "a resource that no service uses",
            ));
        }
    }
}

fn uses_resource(service: &Service, change: &Change) -> bool {
    match change.kind {
        Kind::Leaf => service
            .shards
            .iter()
            .any(|shard| shard.replicas.contains(&change.name)),
        Kind::Service => service.includes.contains(&change.name),
    }
}
