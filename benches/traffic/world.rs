//! Simulated time: VMs, links and leaves around the product's decisions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniummount::core::contract::Contract;
use geraniummount::core::fan_out::{Action, FanOut, Query};
use geraniummount::core::holding::Holding;
use geraniummount::core::layout::Layout;
use geraniummount::core::leaf::State;
use geraniummount::core::leaf_queue::{self, Ending, Health, Held};
use geraniummount::core::service::{Service, Shard};
use geraniummount::core::traffic::Traffic;
use geraniummount::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fifo::Fifo;
use crate::figures::Figures;
use crate::queue::Queue;
use crate::scenario::{Policy, Run};

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

enum Event {
    Arrive,
    AtOwner {
        part: Part,
        query: usize,
        owner: usize,
    },
    CancelAtOwner {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    AtLeaf {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    LeafDone {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
    },
    AtOwnerAgain {
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
        ending: Ending,
    },
    CancelAtLeaf {
        attempt: AttemptId,
        leaf: usize,
    },
    Health {
        leaf: usize,
        owner: usize,
    },
    Outcome {
        query: usize,
        outcome: Outcome,
    },
    WakeQuery(usize),
    WakeQueue {
        leaf: usize,
        owner: usize,
    },
    Kill(usize),
    Detected(usize),
}

struct Timed {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        self.order == other.order
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

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
            layout,
            figures: Figures::new(MEASURED),
        }
    }

    pub fn run(mut self) -> Figures {
        self.schedule(Duration::ZERO, Event::Arrive);
        if self.run.kill {
            self.schedule(WARM_UP + MEASURED / 2, Event::Kill(0));
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
            Event::Kill(vm) => {
                self.vms[vm].alive = false;
                self.schedule(DETECTION, Event::Detected(vm));
            }
            Event::Detected(vm) => self.vms[vm].known_dead = true,
        }
    }

    fn ends(&self) -> Instant {
        self.start + WARM_UP + MEASURED
    }

    fn arrive(&mut self) {
        if self.now >= self.ends() {
            return;
        }
        let gap = -self.random.random::<f64>().max(1e-12).ln() * self.gap;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        let live: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| self.vms[vm].alive)
            .collect();
        let vm = live[self.random.random_range(0..live.len())];
        let workload = &self.run.workload;
        let extra_percent = match self.run.policy {
            Policy::NoHedge => 0,
            _ => workload.extra_percent,
        };
        let query = Query {
            request: String::new(),
            service: SERVICE.to_owned(),
            body: Arc::from(&b"{}"[..]),
            deadline: self.now + workload.deadline,
            prefer: workload.prefer,
            extra_percent,
        };
        let view = Arc::clone(&self.vms[vm].view);
        let fan_out = FanOut::new(query, self.layout.clone(), view, self.now);
        let index = self.queries.len();
        self.queries.push(SimQuery {
            vm,
            arrived: self.now,
            measured: self.now >= self.start + WARM_UP,
            fan_out,
            woken: None,
            done: false,
        });
        let now = self.now;
        self.with_query(index, |fan_out, traffic| fan_out.start(traffic, now));
    }

    fn with_query(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut FanOut, &mut Traffic) -> Vec<Action>,
    ) {
        let query = &mut self.queries[index];
        if !self.vms[query.vm].alive {
            return self.lose(index);
        }
        let traffic = &mut self.vms[query.vm].traffic;
        let actions = step(&mut query.fan_out, traffic);
        for action in actions {
            match action {
                Action::Send(part) => self.send(index, part),
                Action::Cancel { attempt, leaf } => self.cancel(index, attempt, &leaf),
                Action::Finish(result) => self.finish(index, result),
            }
        }
        let query = &mut self.queries[index];
        let Some(wake) = query.fan_out.next_wake() else {
            return;
        };
        if query.woken.is_none_or(|woken| wake < woken) {
            query.woken = Some(wake);
            let delay = wake.saturating_duration_since(self.now);
            self.schedule(delay, Event::WakeQuery(index));
        }
    }

    fn wake_query(&mut self, index: usize) {
        self.queries[index].woken = None;
        let now = self.now;
        self.with_query(index, |fan_out, traffic| fan_out.tick(traffic, now));
    }

    fn outcome(&mut self, index: usize, outcome: Outcome) {
        if let Err(failure) = &outcome.result
            && failure.verdict == Verdict::NotRun
            && self.ran.contains(&outcome.attempt)
        {
            self.broken("an attempt ran that is told not run");
        }
        let now = self.now;
        self.with_query(index, |fan_out, traffic| {
            fan_out.on_outcome(outcome, traffic, now)
        });
    }

    fn lose(&mut self, index: usize) {
        let query = &mut self.queries[index];
        if !query.done && query.measured {
            self.figures.lost += 1;
        }
        query.done = true;
    }

    fn broken(&mut self, promise: &str) {
        if self.figures.broken.len() < 5 {
            self.figures.broken.push(promise.to_owned());
        }
    }

    /// VM that holds a leaf's queue, as the other VMs know it.
    fn owner(&self, leaf: usize, entry: usize) -> usize {
        if self.run.policy == Policy::OwnConnections {
            return entry;
        }
        let domain = self.leaves[leaf].failure_domain;
        let domains = self.run.workload.deployment.failure_domains;
        let members: Vec<usize> = (0..self.vms.len())
            .filter(|vm| vm % domains == domain && !self.vms[*vm].known_dead)
            .collect();
        members[(leaf / domains) % members.len()]
    }

    fn link(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return NEAR;
        }
        let between = self.run.workload.deployment.between;
        between.mul_f64(1.0 + JITTER * self.random.random::<f64>())
    }

    fn vm_delay(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.link(self.vms[from].failure_domain, self.vms[to].failure_domain)
    }

    fn leaf_delay(&mut self, vm: usize, leaf: usize) -> Duration {
        self.link(
            self.vms[vm].failure_domain,
            self.leaves[leaf].failure_domain,
        )
    }

    fn send(&mut self, query: usize, part: Part) {
        let vm = self.queries[query].vm;
        let leaf = leaf_index(&part.leaf);
        let owner = self.owner(leaf, vm);
        let delay = self.vm_delay(vm, owner);
        self.schedule(delay, Event::AtOwner { part, query, owner });
    }

    fn cancel(&mut self, query: usize, attempt: AttemptId, leaf: &str) {
        let vm = self.queries[query].vm;
        let leaf = leaf_index(leaf);
        let owner = self.owner(leaf, vm);
        let delay = self.vm_delay(vm, owner);
        self.schedule(
            delay,
            Event::CancelAtOwner {
                attempt,
                leaf,
                owner,
            },
        );
    }

    fn at_owner(&mut self, part: Part, query: usize, owner: usize) {
        let origin = Origin {
            query,
            shard: part.shard.clone(),
        };
        self.origins.insert(part.attempt, origin);
        let leaf = leaf_index(&part.leaf);
        let now = self.now;
        self.with_queue(leaf, owner, |queue| queue.submit(part, now));
    }

    fn new_owned(&self) -> Owned {
        let workload = &self.run.workload;
        let contract = Contract {
            slots: workload.slots,
            connections: workload.connections,
            open_ms: workload.open.as_millis() as u32,
        };
        let sharers = match self.run.policy {
            Policy::OwnConnections => self.vms.len(),
            _ => CONNECTED_VMS,
        };
        let share = workload.connections / sharers as u16;
        let queue = match self.run.policy {
            Policy::Fifo => Queue::Fifo(Fifo::new(workload.slots)),
            _ => Queue::product(contract, share, self.now),
        };
        Owned {
            queue,
            idle: 0,
            woken: None,
        }
    }

    fn with_queue(
        &mut self,
        leaf: usize,
        owner: usize,
        step: impl FnOnce(&mut Queue) -> Vec<leaf_queue::Action>,
    ) {
        if !self.vms[owner].alive {
            return;
        }
        if !self.queues.contains_key(&(leaf, owner)) {
            let owned = self.new_owned();
            self.queues.insert((leaf, owner), owned);
        }
        let owned = self.queues.get_mut(&(leaf, owner)).expect("was inserted");
        let actions = step(&mut owned.queue);
        for action in actions {
            self.queue_action(leaf, owner, action);
        }
        let owned = self.queues.get_mut(&(leaf, owner)).expect("was inserted");
        let Some(wake) = owned.queue.next_wake() else {
            return;
        };
        if owned.woken.is_none_or(|woken| wake < woken)
            && self.now < self.start + WARM_UP * 2 + MEASURED
        {
            owned.woken = Some(wake);
            let delay = wake.saturating_duration_since(self.now);
            self.schedule(delay, Event::WakeQueue { leaf, owner });
        }
    }

    fn queue_action(&mut self, leaf: usize, owner: usize, action: leaf_queue::Action) {
        match action {
            leaf_queue::Action::Start { part, .. } => self.start_part(leaf, owner, part.attempt),
            leaf_queue::Action::Abort(attempt) => {
                let delay = self.leaf_delay(owner, leaf);
                self.schedule(delay, Event::CancelAtLeaf { attempt, leaf });
                let ending = Ending::TimedOut;
                self.aborted.insert(attempt);
                self.leaves[leaf].connections -= 1;
                self.schedule(
                    Duration::ZERO,
                    Event::AtOwnerAgain {
                        attempt,
                        leaf,
                        owner,
                        ending,
                    },
                );
            }
            leaf_queue::Action::Answer(outcome) => self.answer(owner, outcome),
            leaf_queue::Action::CloseIdle => {
                let owned = self.queues.get_mut(&(leaf, owner)).expect("is there");
                self.leaves[leaf].connections -= owned.idle;
                owned.idle = 0;
            }
            leaf_queue::Action::Probe => {
                let delay = self.leaf_delay(owner, leaf) * 2;
                self.schedule(delay, Event::Health { leaf, owner });
            }
        }
    }

    fn start_part(&mut self, leaf: usize, owner: usize, attempt: AttemptId) {
        let owned = self.queues.get_mut(&(leaf, owner)).expect("is there");
        let open = if owned.idle > 0 {
            owned.idle -= 1;
            Duration::ZERO
        } else {
            self.leaves[leaf].connections += 1;
            self.run.workload.open
        };
        let connections = self.leaves[leaf].connections;
        self.figures.connections = self.figures.connections.max(connections);
        let delay = open + self.leaf_delay(owner, leaf);
        self.schedule(
            delay,
            Event::AtLeaf {
                attempt,
                leaf,
                owner,
            },
        );
    }

    fn answer(&mut self, owner: usize, outcome: Outcome) {
        let Some(origin) = self.origins.get(&outcome.attempt) else {
            return;
        };
        let query = origin.query;
        let vm = self.queries[query].vm;
        let delay = self.vm_delay(owner, vm);
        self.schedule(delay, Event::Outcome { query, outcome });
    }

    fn at_leaf(&mut self, attempt: AttemptId, leaf: usize, owner: usize) {
        self.count_leaf_request(attempt);
        let slots = usize::from(self.run.workload.slots);
        if self.leaves[leaf].busy.len() >= slots {
            let ending = Ending::Shed {
                retry_after: None,
                state: State::Serving,
            };
            let delay = self.leaf_delay(owner, leaf);
            return self.schedule(
                delay,
                Event::AtOwnerAgain {
                    attempt,
                    leaf,
                    owner,
                    ending,
                },
            );
        }
        if !self.ran.insert(attempt) {
            self.broken("an attempt ran twice");
        }
        self.leaves[leaf].busy.push(attempt);
        let time = self.service_time();
        self.schedule(
            time,
            Event::LeafDone {
                attempt,
                leaf,
                owner,
            },
        );
    }

    fn service_time(&mut self) -> Duration {
        if self.random.random::<f64>() < self.run.stragglers {
            return STRAGGLER;
        }
        let (a, b): (f64, f64) = (self.random.random(), self.random.random());
        let normal = (-2.0 * a.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        Duration::from_secs_f64(MEDIAN_MS * (SIGMA * normal).exp() / 1e3)
    }

    fn count_leaf_request(&mut self, attempt: AttemptId) {
        let Some(origin) = self.origins.get(&attempt) else {
            return;
        };
        if !self.queries[origin.query].measured {
            return;
        }
        self.figures.leaf_requests += 1;
        if self.reached.insert((origin.query, origin.shard.clone())) {
            self.figures.leaf_needed += 1;
        }
    }

    fn leaf_done(&mut self, attempt: AttemptId, leaf: usize, owner: usize) {
        let busy = &mut self.leaves[leaf].busy;
        let Some(place) = busy.iter().position(|&running| running == attempt) else {
            return;
        };
        busy.remove(place);
        let ending = Ending::Replied {
            echo: Some(attempt),
            snapshot: Some(SNAPSHOT),
            body: b"{}".to_vec(),
            state: State::Serving,
        };
        let delay = self.leaf_delay(owner, leaf);
        self.schedule(
            delay,
            Event::AtOwnerAgain {
                attempt,
                leaf,
                owner,
                ending,
            },
        );
    }

    fn at_owner_again(&mut self, attempt: AttemptId, leaf: usize, owner: usize, ending: Ending) {
        let aborted = self.aborted.contains(&attempt);
        let by_abort = matches!(ending, Ending::TimedOut);
        if aborted != by_abort || !self.vms[owner].alive {
            return;
        }
        if !aborted {
            let owned = self.queues.get_mut(&(leaf, owner)).expect("is there");
            owned.idle += 1;
        }
        let now = self.now;
        self.with_queue(leaf, owner, |queue| queue.finish(attempt, ending, now));
    }

    fn health(&mut self, leaf: usize, owner: usize) {
        let held = self.layout.shards.iter().map(|shard| Held {
            shard: shard.shard.clone(),
            snapshots: vec![SNAPSHOT],
        });
        let name = leaf_name(leaf);
        let shards = self.layout.shards.iter().zip(held);
        let held = shards.filter(|(shard, _)| shard.replicas.contains(&name));
        let held = held.map(|(_, held)| held).collect();
        let health = Health::Answered {
            state: State::Serving,
            held,
        };
        let now = self.now;
        self.with_queue(leaf, owner, |queue| queue.observe(health, now));
    }

    fn finish(
        &mut self,
        index: usize,
        result: Result<geraniummount::core::answer::Answer, Failure>,
    ) {
        let query = &mut self.queries[index];
        if query.done {
            return self.broken("a query was answered twice");
        }
        query.done = true;
        let elapsed = self.now - query.arrived;
        let first = query.fan_out.counters().first;
        if !query.measured {
            return;
        }
        let figures = &mut self.figures;
        let all = self.layout.shards.len() as u64;
        figures.queries += 1;
        figures.shards_asked += all;
        if elapsed > self.run.workload.deadline {
            figures.late += 1;
        }
        match result {
            Ok(answer) => {
                let included = answer.coverage.included.len();
                figures.shards_included += included as u64;
                let told = included + answer.coverage.missing.len();
                let honest = told as u64 == all && answer.results.len() == included;
                match included as u64 == all {
                    true => figures.whole += 1,
                    false => figures.partial += 1,
                }
                let total = elapsed + self.run.workload.deployment.to_clients * 2;
                let micros = total.as_micros() as u64;
                figures.latency.record(micros).expect("it resizes itself");
                if !honest || answer.snapshot != SNAPSHOT {
                    self.broken("an answer's coverage or snapshot is not true");
                }
            }
            Err(failure) => {
                match failure.verdict {
                    Verdict::NotRun => figures.refused += 1,
                    _ => figures.failed += 1,
                }
                if first == 0 {
                    figures.slowest_refusal = figures.slowest_refusal.max(elapsed);
                }
            }
        }
    }
}

fn leaf_name(leaf: usize) -> LeafName {
    format!("leaf-{leaf:03}")
}

fn leaf_index(name: &str) -> usize {
    name["leaf-".len()..].parse().expect("a leaf's number")
}

fn domain_name(domain: usize) -> DomainName {
    format!("domain-{domain}")
}

fn catalog(run: &Run) -> Catalog {
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
                open_ms: workload.open.as_millis() as u32,
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
        services: vec![Record {
            generation: 1,
            spec: service,
        }],
    }
}

fn entry(vm: usize, run: &Run, catalog: &Arc<Catalog>, now: Instant) -> Entry {
    let failure_domain = vm % run.workload.deployment.failure_domains;
    let mut traffic = Traffic::new(SEED + 1 + vm as u64);
    let mut held = Vec::new();
    for shard in &catalog.services[0].spec.shards {
        for leaf in &shard.replicas {
            held.push(Holding {
                service: SERVICE.to_owned(),
                shard: shard.name.clone(),
                leaf: leaf.clone(),
                snapshots: vec![SNAPSHOT],
            });
        }
    }
    traffic.holdings.survey(SERVICE, held, now);
    Entry {
        failure_domain,
        alive: true,
        known_dead: false,
        traffic,
        view: Arc::new(View {
            me: format!("vm-{vm}"),
            failure_domain: domain_name(failure_domain),
            catalog: Arc::clone(catalog),
            vms: Vec::new(),
            draining: Vec::new(),
            stopping: false,
        }),
    }
}
