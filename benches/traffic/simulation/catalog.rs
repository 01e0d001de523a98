//! Catalog of the simulated deployment, and the initial state of each VM.

use super::*;

pub(super) fn leaf_name(leaf: usize) -> LeafName {
    format!("leaf-{leaf:03}")
}

pub(super) fn leaf_index(name: &str) -> usize {
    name["leaf-".len()..]
        .parse()
        .expect("a leaf's name ends in its index")
}

pub(super) fn domain_name(domain: usize) -> DomainName {
    format!("domain-{domain}")
}

pub(super) fn catalog(run: &Run) -> Catalog {
    let workload = &run.workload;
    let domains = workload.deployment.failure_domains;
    let leaves = (0..workload.shards * workload.replicas).map(|leaf| Record {
        generation: 1,
        spec: Leaf {
            name: leaf_name(leaf),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: domain_name(leaf % domains),
            contract: Contract {
                slots: workload.slots,
                connections: workload.connections,
                open_ms: workload.open_delay.as_millis() as u32,
            },
            state: State::Serving,
        },
    });
    let shards = (0..workload.shards).map(|shard| Shard {
        name: format!("shard-{shard:02}"),
        replicas: (0..workload.replicas)
            .map(|replica| leaf_name(shard * workload.replicas + replica))
            .collect(),
    });
    let service = Service {
        name: SERVICE.to_owned(),
        shards: shards.collect(),
        includes: Vec::new(),
        deadline_ms: workload.deadline.as_millis() as u32,
        max_deadline_ms: workload.deadline.as_millis() as u32,
        prefer: workload.prefer,
        extra_percent: workload.extra_percent,
    };
    Catalog {
        revision: 1,
        leaves: leaves.collect(),
        services: [Record {
            generation: 1,
            spec: service,
        }]
        .into_iter()
        .collect(),
    }
}

pub(super) fn new_vm(vm: usize, run: &Run, catalog: &Arc<Catalog>, now: Instant) -> SimVm {
    let failure_domain = vm % run.workload.deployment.failure_domains;
    let mut traffic = Traffic::new(SEED + 1 + vm as u64);
    let mut held = Vec::new();
    let service = catalog.service(SERVICE).expect("service is declared");
    for shard in &service.spec.shards {
        for leaf in &shard.replicas {
            held.push(Holding {
                service: SERVICE.to_owned(),
                shard: shard.name.clone(),
                leaf: leaf.clone(),
                snapshots: vec![SNAPSHOT],
            });
        }
    }
    traffic.holdings.record_survey(SERVICE, held, now);
    SimVm {
        failure_domain,
        is_alive: true,
        is_known_dead: false,
        traffic,
        view: Arc::new(View {
            me: format!("vm-{vm}"),
            failure_domain: domain_name(failure_domain),
            catalog: Arc::clone(catalog),
            vms: Vec::new().into(),
            draining: Vec::new(),
            health_draining: Vec::new(),
            stopping: false,
        }),
    }
}
