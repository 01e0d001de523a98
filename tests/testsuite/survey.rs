//! Which VMs are asked for the snapshots of a service's leaves.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use geraniummount::core::contract::Contract;
use geraniummount::core::relays::MAX_RELAYS_PER_DOMAIN;
use geraniummount::core::survey::Survey;
use geraniummount::core::{leaf, vm};
use geraniummount::prelude::*;

/// Failure domains and leaves of a query at the target.
const DOMAINS: usize = 10;
const SHARDS: usize = 61;
const REPLICAS: usize = 3;

fn domain(index: usize) -> DomainName {
    format!("domain-{}", index % DOMAINS)
}

/// A VM of domain 0 that knows the relays of the others, and a service whose
/// leaves are spread over all domains.
fn scene() -> (View, Service) {
    let record = |index: usize| Record {
        generation: 1,
        spec: Leaf {
            name: format!("leaf-{index}"),
            address: SocketAddr::from(([10, 0, 0, 1], 1 + index as u16)),
            failure_domain: domain(index),
            contract: Contract {
                slots: 2,
                connections: 25,
                open_ms: 6,
            },
            state: leaf::State::Serving,
        },
    };
    let vms = (0..DOMAINS * MAX_RELAYS_PER_DOMAIN).map(|index| Vm {
        name: format!("vm-{index}"),
        failure_domain: domain(index),
        peer_address: SocketAddr::from(([10, 0, 0, 2], 1 + index as u16)),
        incarnation: 1,
        state: vm::State::Live,
        revision: 1,
    });
    let shards: Vec<_> = (0..SHARDS)
        .map(|shard| {
            let leaf = |replica| format!("leaf-{}", shard * REPLICAS + replica);
            let replicas: Vec<_> = (0..REPLICAS).map(leaf).collect();
            serde_json::json!({"name": format!("{shard}"), "replicas": replicas})
        })
        .collect();
    let service = serde_json::json!({
        "name": "parts", "deadline_ms": 100, "max_deadline_ms": 100, "shards": shards,
    });
    let catalog = Catalog {
        revision: 1,
        leaves: (0..SHARDS * REPLICAS).map(record).collect(),
        ..Catalog::default()
    };
    let view = View {
        me: "vm-0".to_owned(),
        failure_domain: domain(0),
        catalog: Arc::new(catalog),
        vms: vms.collect(),
        draining: Vec::new(),
        health_draining: Vec::new(),
        stopping: false,
    };
    (view, serde_json::from_value(service).unwrap())
}

#[test]
fn one_vm_of_each_domain_is_asked_and_the_next_only_for_what_is_left_out() {
    let (view, service) = scene();
    let leaves = |place: usize| {
        let shards = service.shards.iter();
        let names = shards.flat_map(|shard| shard.replicas.iter().cloned());
        let wanted = domain(place + 1);
        let there =
            |leaf: &LeafName| view.catalog.leaf(leaf).unwrap().spec.failure_domain == wanted;
        names.filter(there).collect::<Vec<_>>()
    };
    let told = |leaf: LeafName| Holding {
        service: "parts".to_owned(),
        shard: "0".to_owned(),
        leaf,
        snapshots: Vec::new(),
    };
    /// How many of a domain's leaves each answer leaves out, and how many VMs
    /// are asked then.
    struct Case {
        left_out: usize,
        asked: usize,
    }
    let cases = [
        Case {
            left_out: 0,
            asked: 1,
        },
        Case {
            left_out: 1,
            asked: MAX_RELAYS_PER_DOMAIN,
        },
        Case {
            left_out: usize::MAX,
            asked: MAX_RELAYS_PER_DOMAIN,
        },
    ];
    for case in cases {
        let mut survey = Survey::new(&view, &service);
        assert_eq!(survey.domain_count(), DOMAINS - 1);
        for place in 0..survey.domain_count() {
            let mut asked = HashSet::new();
            while let Some(vm) = survey.next_vm(place, &view, |_| false) {
                assert!(asked.insert(vm), "{vm} is asked twice");
                let held = leaves(place).into_iter().skip(case.left_out).map(told);
                survey.on_answer(place, &held.collect::<Vec<_>>());
            }
            assert_eq!(asked.len(), case.asked, "{} left out", case.left_out);
        }
    }
    let mut survey = Survey::new(&view, &service);
    assert_eq!(survey.next_vm(0, &view, |_| true), None, "all are lost");
}
