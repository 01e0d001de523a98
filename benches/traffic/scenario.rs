//! What is measured: a service, a policy and a load.

use std::time::Duration;

use geraniummount::core::service::Preference;

/// Delays of one deployment's links, one way.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub failure_domains: usize,
    pub vms: usize,
    pub inter_domain_delay: Duration,
    pub client_delay: Duration,
}

pub const KILELE: Deployment = Deployment {
    failure_domains: 4,
    vms: 8,
    inter_domain_delay: Duration::from_millis(4),
    client_delay: Duration::from_millis(3),
};

pub const ASSOCIATION: Deployment = Deployment {
    failure_domains: 3,
    vms: 9,
    inter_domain_delay: Duration::from_millis(5),
    client_delay: Duration::from_millis(1),
};

/// A composed service over its leaves.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub deployment: Deployment,
    pub shards: usize,
    pub replicas: usize,
    pub slots: u16,
    pub connections: u16,
    pub open: Duration,
    pub prefer: Preference,
    pub deadline: Duration,
    pub extra_percent: u8,
}

const COUNTER_DESK: Workload = Workload {
    name: "counter-desk",
    deployment: KILELE,
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    open: Duration::from_millis(6),
    prefer: Preference::Latency,
    deadline: Duration::from_millis(250),
    extra_percent: 4,
};

/// Two leaves of a service are two replicas of one shard, or two shards.
pub const WORKLOADS: [Workload; 6] = [
    COUNTER_DESK,
    Workload {
        name: "counter-desk/1",
        shards: 40,
        replicas: 1,
        ..COUNTER_DESK
    },
    Workload {
        name: "parts-stock",
        shards: 30,
        ..COUNTER_DESK
    },
    Workload {
        name: "safety-cert",
        shards: 5,
        replicas: 1,
        slots: 3,
        connections: 100,
        open: Duration::from_millis(1),
        ..COUNTER_DESK
    },
    Workload {
        name: "csaladi-bolt",
        deployment: ASSOCIATION,
        prefer: Preference::Coverage,
        deadline: Duration::from_millis(500),
        ..COUNTER_DESK
    },
    Workload {
        name: "templom-rend",
        deployment: ASSOCIATION,
        shards: 30,
        prefer: Preference::Coverage,
        deadline: Duration::from_millis(500),
        ..COUNTER_DESK
    },
];

/// The product's policy, or it with one part made simpler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// As the product does it.
    Product,
    /// Each VM connects to each leaf by itself.
    OwnConnections,
    /// No hedges and retries.
    NoHedge,
    /// Plain first in, first out at the leaves.
    Fifo,
}

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Policy::Product => "product",
            Policy::OwnConnections => "own connections",
            Policy::NoHedge => "no hedge",
            Policy::Fifo => "fifo",
        }
    }
}

/// What is lost in the middle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    None,
    KilledVm,
    /// One leaf takes requests and does not answer.
    FrozenLeaf,
    /// Every leaf of a failure domain does so.
    FrozenLeaves,
    /// Nothing gets into a failure domain or out of it.
    CutDomain,
    /// One VM takes parts and does not answer.
    FrozenOwner,
}

impl Loss {
    pub fn name(self) -> &'static str {
        match self {
            Loss::None => "no",
            Loss::KilledVm => "killed VM",
            Loss::FrozenLeaf => "frozen leaf",
            Loss::FrozenLeaves => "frozen leaves",
            Loss::CutDomain => "cut domain",
            Loss::FrozenOwner => "frozen owner",
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub workload: Workload,
    pub policy: Policy,
    /// Share of what the leaves can take.
    pub load: f64,
    /// Share of the leaf requests that straggle.
    pub stragglers: f64,
    /// What is lost in the middle, for the rest of the run.
    pub loss: Loss,
}
