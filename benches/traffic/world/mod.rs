//! Simulated time: VMs, links and leaves around the product's decisions.

mod catalog;
mod event;
mod leaves;
mod links;
mod loss;
mod owners;
mod queries;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniummount::core::contract::Contract;
use geraniummount::core::fan_out::{Action, FanOut, Query};
use geraniummount::core::holding::Holding;
use geraniummount::core::layout::Layout;
use geraniummount::core::leaf::State;
use geraniummount::core::leaf_queue::{self, Completion, Health, HeldSnapshots};
use geraniummount::core::service::{Service, Shard};
use geraniummount::core::traffic::Traffic;
use geraniummount::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use self::catalog::{catalog, entry, leaf_index, leaf_name};
use self::event::{Event, Timed};
use crate::fifo::Fifo;
use crate::figures::Figures;
use crate::queue::Queue;
use crate::scenario::{Loss, Policy, Run};

const SEED: u64 = 4;
const SERVICE: &str = "service";
const SNAPSHOT: SnapshotId = 1;
const WARM_UP: Duration = Duration::from_secs(2);
const MEASURED: Duration = Duration::from_secs(8);

/// Link within a failure domain, one way.
const NEAR: Duration = Duration::from_micros(250);

/// Spread of a link between failure domains, as a share of its delay.
const JITTER: f64 = 0.25;

/// Time at a leaf: lognormal.
const MEDIAN_MS: f64 = 8.0;
const SIGMA: f64 = 0.35;
const STRAGGLER: Duration = Duration::from_millis(150);

/// Time from a kill until the other VMs know of it.
const DETECTION: Duration = Duration::from_secs(1);

/// VMs that may connect to one leaf.
const CONNECTED_VMS: usize = 3;

struct Entry {
    failure_domain: usize,
    alive: bool,
    known_dead: bool,
    traffic: Traffic,
    view: Arc<View>,
}

struct Owned {
    queue: Queue,
    idle: usize,
    woken: Option<Instant>,
}

#[derive(Default)]
struct SimLeaf {
    failure_domain: usize,
    busy: Vec<AttemptId>,
    connections: usize,
}

struct SimQuery {
    vm: usize,
    arrived: Instant,
    measured: bool,
    fan_out: FanOut,
    woken: Option<Instant>,
    done: bool,
}

/// Where an attempt came from, for its way back.
struct Origin {
    query: usize,
    shard: ShardName,
}

pub struct World {
    run: Run,
    start: Instant,
    now: Instant,
    order: u64,
    events: BinaryHeap<Reverse<Timed>>,
    random: StdRng,
    vms: Vec<Entry>,
    leaves: Vec<SimLeaf>,
    queues: HashMap<(usize, usize), Owned>,
    queries: Vec<SimQuery>,
    origins: HashMap<AttemptId, Origin>,
    aborted: HashSet<AttemptId>,
    ran: HashSet<AttemptId>,
    reached: HashSet<(usize, ShardName)>,
    lost_at: Option<Instant>,
    /// Attempts, with their queries, that went to VMs which are silent.
    silent: HashMap<AttemptId, usize>,
    layout: Layout,
    gap: f64,
    figures: Figures,
}
impl World {
    pub fn new(run: Run) -> World {
        let start = Instant::now();
        let catalog = Arc::new(catalog(&run));
        let layout = Layout::new(&catalog, SERVICE).expect("service is declared");
        let leaves = (0..catalog.leaves.len()).map(|leaf| SimLeaf {
            failure_domain: leaf % run.workload.deployment.failure_domains,
            ..SimLeaf::default()
        });
        let leaves: Vec<SimLeaf> = leaves.collect();
        let vms = (0..run.workload.deployment.vms).map(|vm| entry(vm, &run, &catalog, start));
        let mean = MEDIAN_MS * (SIGMA * SIGMA / 2.0).exp()
            + run.stragglers * STRAGGLER.as_secs_f64() * 1e3;
        let slots = leaves.len() as f64 * f64::from(run.workload.slots);
        let parts = run.load * slots * 1e3 / mean;
        World {
            gap: run.workload.shards as f64 / parts,
            vms: vms.collect(),
            run,
            start,
            now: start,
            order: 0,
            events: BinaryHeap::new(),
            random: StdRng::seed_from_u64(SEED),
            leaves,
            queues: HashMap::new(),
            queries: Vec::new(),
            origins: HashMap::new(),
            aborted: HashSet::new(),
            ran: HashSet::new(),
            reached: HashSet::new(),
            lost_at: None,
            silent: HashMap::new(),
            layout,
            figures: Figures::new(MEASURED),
        }
    }

    pub fn run(mut self) -> Figures {
        self.schedule(Duration::ZERO, Event::Arrive);
        if self.run.loss != Loss::None {
            self.schedule(WARM_UP + MEASURED / 2, Event::Lose);
        }
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at;
            self.handle(next.event);
        }
        self.figures
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let at = self.now + delay;
        self.order += 1;
        let order = self.order;
        self.events.push(Reverse(Timed { at, order, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AtOwner { part, query, owner } => self.at_owner(part, query, owner),
            Event::CancelAtOwner {
                attempt,
                leaf,
                owner,
            } => {
                let now = self.now;
                self.with_queue(leaf, owner, |queue| queue.cancel(attempt, now));
            }
            Event::AtLeaf {
                attempt,
                leaf,
                owner,
            } => self.at_leaf(attempt, leaf, owner),
            Event::LeafDone {
                attempt,
                leaf,
                owner,
            } => self.leaf_done(attempt, leaf, owner),
            Event::AtOwnerAgain {
                attempt,
                leaf,
                owner,
                ending,
            } => {
                self.at_owner_again(attempt, leaf, owner, ending);
            }
            Event::CancelAtLeaf { attempt, leaf } => {
                self.leaves[leaf].busy.retain(|&busy| busy != attempt);
            }
            Event::Health { leaf, owner } => self.health(leaf, owner),
            Event::Outcome { query, outcome } => self.outcome(query, outcome),
            Event::WakeQuery(query) => self.wake_query(query),
            Event::WakeQueue { leaf, owner } => {
                let now = self.now;
                if let Some(owned) = self.queues.get_mut(&(leaf, owner)) {
                    owned.woken = None;
                }
                self.with_queue(leaf, owner, |queue| queue.tick(now));
            }
            Event::HealthSilent { leaf, owner } => {
                let now = self.now;
                self.with_queue(leaf, owner, |queue| {
                    queue.observe(Health::Unresponsive, now)
                });
            }
            Event::Lose => self.begin_loss(),
            Event::Detected(vms) => self.detected(&vms),
        }
    }

    fn ends(&self) -> Instant {
        self.start + WARM_UP + MEASURED
    }
}
