//! Parameters of a run: deployment, workload, policy, load and loss.

use std::time::Duration;

use geraniummount::core::service::Preference;

/// Size of a deployment and the one-way delays of its links.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Number of VMs in all failure domains.
    pub vms: usize,
    /// One-way delay between failure domains.
    pub inter_domain_delay: Duration,
    /// One-way delay between a VM and its clients.
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
    /// Number of shards of the service.
    pub shards: usize,
    /// Number of leaves for each shard.
    pub replicas: usize,
    /// Requests that a leaf runs at the same time.
    pub slots: u16,
    /// Maximum number of connections to a leaf.
    pub connections: u16,
    /// Time to open a connection to a leaf.
    pub open_delay: Duration,
    pub prefer: Preference,
    /// Time from the arrival of a query to its deadline.
    pub deadline: Duration,
    /// Maximum hedges and retries, in percent of the first attempts.
    pub extra_percent: u8,
}

const COUNTER_DESK: Workload = Workload {
    name: "counter-desk",
    deployment: KILELE,
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    open_delay: Duration::from_millis(6),
    prefer: Preference::Latency,
    deadline: Duration::from_millis(250),
    extra_percent: 4,
};

/// Measured workloads. Two leaves of a service are either two replicas of one shard (`replicas` is
/// 2) or two shards (`replicas` is 1).
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
        open_delay: Duration::from_millis(1),
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

/// Traffic policy: the product's, or the product's with one part simplified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The product's policy.
    Product,
    /// Each VM has its own connections to each leaf instead of sending parts to the leaf's owner.
    OwnConnections,
    /// No hedges or retries.
    NoHedge,
    /// A first-in, first-out queue for each leaf.
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

/// Loss in the middle of a run, which lasts until its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    None,
    KilledVm,
    /// One leaf accepts requests and does not answer.
    FrozenLeaf,
    /// All leaves of one failure domain accept requests and do not answer.
    FrozenLeaves,
    /// No message enters or leaves one failure domain.
    CutDomain,
    /// One VM accepts parts and does not answer.
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

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub workload: Workload,
    pub policy: Policy,
    /// Load as a share of the leaves' capacity.
    pub load: f64,
    /// Share of the leaf requests that straggle.
    pub stragglers: f64,
    /// What is lost from the middle of the run to its end.
    pub loss: Loss,
}
