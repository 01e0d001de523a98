//! Runs a store, leaves and gateways, and restarts gateway processes that exit.

use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use super::catalog::{Catalog, lock};
use super::disturbance::{Disturbances, Scope};
use super::fault::LostLinks;
use super::follow_up::FollowUp;
use super::link;
use super::operator::Evacuation;
use super::proxied_leaf::ProxiedLeaf;
use super::routes::configuration;
use super::schedule::Schedule;
use super::tenant::{self, Directory};
use super::vm::Vm;
use super::{FINAL_CHECK_DURATION, Options, RECOVERY_TIMEOUT};
use crate::platform::users::document::DOCUMENT_KEY;
use crate::platform::users::{Backup, Run, Store};
use crate::proxy::Proxy;

/// Delay between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Interval at which the cluster checks for due faults and exited processes.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two copies of the store's contents.
const BACKUP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of copies that are kept. The store goes back by up to this many intervals.
const MAX_BACKUPS: usize = 6;

/// Time between two ticks above which the machine that runs the test counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// Time from a request to stop until the process is killed.
pub(super) const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time after the start within which all gateways have to serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The exit of a gateway process.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// Index of the gateway.
    pub vm: usize,
    /// When the process was requested to stop; `None` if it was not.
    pub stop_requested_at: Option<Instant>,
    /// When the exit was detected.
    pub at: Instant,
    /// Whether the exit status reports success.
    pub is_success: bool,
    /// Whether an injected fault killed the process.
    pub is_killed: bool,
}

/// The processes and servers of a run.
pub struct Cluster {
    /// When all gateways served for the first time; times of the schedule count from here.
    pub started_at: Instant,
    /// All leaves, including stopped ones.
    pub leaves: Vec<ProxiedLeaf>,
    /// Exits of gateway processes, in order.
    pub exits: Vec<Exit>,
    /// Starts of gateway processes in order: the index of the gateway and the time.
    pub starts: Vec<(usize, Instant)>,
    /// Requests that crashed a leaf, one for each leaf.
    pub crashes: Vec<Run>,
    /// Evacuations of failure domains, in order.
    pub evacuations: Vec<Evacuation>,
    /// Time spans in which faults affect parts of the cluster.
    pub disturbances: Disturbances,
    /// Started leaves and written versions, shared with the callers.
    pub catalog: Arc<Catalog>,
    /// The gateways, whether or not their processes run.
    pub vms: Vec<Vm>,
    /// Number of shards that a search queries.
    pub shards: usize,
    pub(super) store: Store,
    /// Copies of the store's contents, the oldest first, and when the last one was made.
    pub(super) backups: VecDeque<Backup>,
    backed_up_at: Instant,
    /// Index in `leaves` of the current leaf of each slot. Each service has two slots, and a new
    /// leaf takes the slot of a leaf that leaves or crashes.
    pub(super) slots: Vec<usize>,
    /// For each gateway, how it has lost its links to all leaves, if it has.
    pub(super) lost_links: Vec<Option<LostLinks>>,
    /// Scheduled follow-up actions and their times.
    pub(super) follow_ups: Vec<(Instant, FollowUp)>,
    /// For each gateway, whether a fault killed its process and the exit is not yet detected.
    pub(super) killed: Vec<bool>,
    seed: u64,
    /// Folder with the settings and logs of the gateways.
    folder: TempDir,
}

impl Cluster {
    /// Starts everything and waits until all gateways serve.
    pub fn start(options: &Options) -> io::Result<Cluster> {
        let folder = tempfile::Builder::new()
            .prefix("geraniummount-soak-")
            .tempdir()?;
        let mut cluster = Cluster {
            started_at: Instant::now(),
            leaves: Vec::new(),
            exits: Vec::new(),
            starts: Vec::new(),
            crashes: Vec::new(),
            evacuations: Vec::new(),
            disturbances: Disturbances::default(),
            catalog: Arc::default(),
            vms: Vec::new(),
            shards: options.shards,
            store: Store::start(),
            backups: VecDeque::new(),
            backed_up_at: Instant::now(),
            slots: Vec::new(),
            lost_links: vec![None; options.vms],
            follow_ups: Vec::new(),
            killed: vec![false; options.vms],
            seed: options.seed,
            folder,
        };
        // Each shard and the services `lookup` and `orders` have two slots.
        for slot in 0..options.shards * 2 + 4 {
            let index = cluster.add_leaf(slot)?;
            cluster.slots.push(index);
        }
        let mut sections = String::new();
        if options.has_tenants {
            *lock(&cluster.catalog.tenants) = Some(Directory::new());
            sections = tenant::settings();
        }
        cluster.write_version();
        for number in 0..options.vms {
            let address = cluster.store.address();
            let domain = failure_domain(number);
            let folder = cluster.folder.path().to_path_buf();
            let mut builds = [Some(&options.binary), options.other_binary.as_ref()];
            if builds[1].is_some() && number % 2 == 1 {
                builds.reverse();
            }
            let binary = builds[0].unwrap_or(&options.binary);
            let seed = options.seed;
            let mut vm = Vm::create(binary, &folder, number, domain, address, seed)?;
            vm.add_settings(&sections)?;
            vm.launch()?;
            if let Some(other) = builds[1] {
                vm.alternate_with(other);
            }
            cluster.vms.push(vm);
            cluster.starts.push((number, Instant::now()));
        }
        cluster.wait_until_all_serve()?;
        cluster.started_at = Instant::now();
        Ok(cluster)
    }

    /// Injects the faults of a schedule, then waits for the recovery and the final check.
    pub fn run_schedule(&mut self, schedule: &Schedule) {
        let mut steps = schedule.steps.iter().peekable();
        let end = self.started_at + schedule.end + RECOVERY_TIMEOUT + FINAL_CHECK_DURATION;
        let mut last = Instant::now();
        while last < end {
            thread::sleep(TICK_INTERVAL);
            let now = Instant::now();
            let late = now.saturating_duration_since(last);
            if late > STALL_THRESHOLD {
                self.disturbances.add(Scope::TestHost, last, late);
            }
            last = now;
            while let Some(step) = steps.next_if(|step| self.started_at + step.at <= now) {
                self.inject(step, now);
            }
            self.run_due_follow_ups(now);
            self.collect_exits(now);
            self.collect_crashes(now);
            self.back_up_store(now);
        }
    }

    /// Copies the store's contents if the last copy is old enough.
    fn back_up_store(&mut self, now: Instant) {
        if now.saturating_duration_since(self.backed_up_at) < BACKUP_INTERVAL {
            return;
        }
        self.backed_up_at = now;
        if self.backups.len() == MAX_BACKUPS {
            self.backups.pop_front();
        }
        self.backups.push_back(self.store.back_up());
    }

    /// Returns whether a gateway's process was not started between two times.
    pub fn is_running_since(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let is_start = |(number, at): &&(usize, Instant)| *number == vm && *at >= from && *at <= to;
        !self.starts.iter().any(|start| is_start(&start))
    }

    /// Returns the gateway that a leaf got a request from. In a run with tenants, gateways that
    /// can't confirm their keys hand requests over to others; in other runs it is taken to be the
    /// gateway `addressee`, which the caller sent it to.
    pub fn sender(&self, leaf: &ProxiedLeaf, run: &Run, addressee: usize) -> usize {
        let has_tenants = lock(&self.catalog.tenants).is_some();
        let source = leaf.source_of(run).filter(|_| has_tenants);
        let sender = |source| self.vms.iter().position(|vm| vm.source == source);
        source.and_then(sender).unwrap_or(addressee)
    }

    /// Requests all gateways to stop and waits until they have exited.
    pub fn stop_gateways(&mut self) {
        let stop_requested_at = Instant::now();
        for vm in &mut self.vms {
            vm.stop_requested_at = Some(stop_requested_at);
            vm.stop();
        }
        while self.vms.iter().any(Vm::is_running) {
            thread::sleep(TICK_INTERVAL);
            self.collect_exits(Instant::now());
        }
    }

    /// Returns the folder with settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder after the cluster is dropped.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    /// Waits until all gateways serve each kind of request.
    fn wait_until_all_serve(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let fields = self.steady_fields();
        let mut waiting: Vec<_> = self.vms.iter().map(|vm| vm.caller_address).collect();
        while !waiting.is_empty() {
            waiting.retain(|address| !super::caller::is_serving(*address, &fields));
            if Instant::now() > end {
                let unready = self
                    .vms
                    .iter()
                    .filter(|vm| waiting.contains(&vm.caller_address));
                let logs: Vec<String> = unready.map(Vm::log).collect();
                let problem = format!(
                    "gateways did not serve in time; their logs: {}",
                    logs.join("\n")
                );
                return Err(io::Error::other(problem));
            }
            thread::sleep(TICK_INTERVAL);
        }
        Ok(())
    }

    /// Returns the header fields of requests that are served throughout the run.
    pub(super) fn steady_fields(&self) -> String {
        let has_tenants = lock(&self.catalog.tenants).is_some();
        match has_tenants {
            true => tenant::fields(tenant::STEADY_KEY),
            false => String::new(),
        }
    }

    /// Starts a new leaf in the slot of a leaf that leaves or has crashed.
    pub(super) fn replace_leaf(&mut self, slot: usize) {
        match self.add_leaf(slot) {
            Ok(index) => self.slots[slot] = index,
            Err(error) => panic!("cannot start a leaf: {error}"),
        }
    }

    /// Starts and registers a leaf; returns its index.
    fn add_leaf(&mut self, slot: usize) -> io::Result<usize> {
        let service = self.service(slot);
        let mut proxied_leaf = ProxiedLeaf::start(&service, failure_domain(slot), self.seed)?;
        self.apply_lost_links(&proxied_leaf.proxy);
        // Callers have to know the leaf before a gateway can send it their requests.
        lock(&self.catalog.leaves).push(proxied_leaf.identity().clone());
        proxied_leaf.register(&self.store);
        self.leaves.push(proxied_leaf);
        Ok(self.leaves.len() - 1)
    }

    /// Lets the gateways that have lost their links to all leaves lose the one to this leaf too.
    pub(super) fn apply_lost_links(&self, proxy: &Proxy) {
        for (vm, fault) in self.vms.iter().zip(&self.lost_links) {
            if let Some(fault) = fault {
                link::lose(proxy, vm.source, *fault);
            }
        }
    }

    /// Returns the service of a slot.
    fn service(&self, slot: usize) -> String {
        match (slot / 2).checked_sub(self.shards) {
            None => format!("shard-{}", slot / 2),
            Some(0) => "lookup".to_string(),
            Some(_) => "orders".to_string(),
        }
    }

    /// Kills processes that exceed [`STOP_GRACE`], records exits and schedules restarts.
    fn collect_exits(&mut self, now: Instant) {
        for vm in 0..self.vms.len() {
            let stop_requested_at = self.vms[vm].stop_requested_at;
            if stop_requested_at.is_some_and(|at| now.saturating_duration_since(at) > STOP_GRACE) {
                self.vms[vm].kill();
            }
            let Some(status) = self.vms[vm].take_exit_status() else {
                continue;
            };
            self.exits.push(Exit {
                vm,
                stop_requested_at,
                at: now,
                is_success: status.success(),
                is_killed: std::mem::take(&mut self.killed[vm]),
            });
            self.follow_ups
                .push((now + RESTART_DELAY, FollowUp::LaunchVm(vm)));
        }
    }

    /// Writes the next version of the routes.
    pub(super) fn write_version(&mut self) {
        let mut versions = lock(&self.catalog.versions);
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        versions.push((version, Instant::now()));
        drop(versions);
        self.rewrite_routes();
    }

    /// Writes the newest version of the routes, again if it was written before.
    pub(super) fn rewrite_routes(&self) {
        let versions = lock(&self.catalog.versions);
        let numbers: Vec<u64> = versions.iter().map(|(version, _)| *version).collect();
        drop(versions);
        let version = numbers.last().copied().unwrap_or_default();
        let tenants = lock(&self.catalog.tenants);
        let document = configuration(version, &numbers, self.shards, tenants.as_ref());
        drop(tenants);
        self.store.put(DOCUMENT_KEY, document);
    }
}

/// Returns the failure domain of a gateway or of a leaf slot.
pub(super) fn failure_domain(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}
