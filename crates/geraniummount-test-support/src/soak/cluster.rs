//! The cluster of a run: a store, leaves, gateways, and what befalls them.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use super::catalog::{Catalog, lock};
use super::disturbance::{Disturbances, Scope};
use super::injection::FollowUp;
use super::proxied_leaf::ProxiedLeaf;
use super::routes::configuration;
use super::schedule::Schedule;
use super::vm::Vm;
use super::{FINAL_CHECK_DURATION, Options, RECOVERY_TIMEOUT};
use crate::platform::users::Store;
use crate::platform::users::document::DOCUMENT_KEY;

/// Time until an ended process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Time between two probes of the cluster.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A look that is late by more shows that this machine stood still.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// Time that a stopped process has until it is killed.
pub(super) const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time until the first answers after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The end of a process.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// The gateway.
    pub vm: usize,
    /// When it was stop_requested_at to stop; `None` where it was not.
    pub stop_requested_at: Option<Instant>,
    /// When it was history to have ended.
    pub at: Instant,
    /// Whether it ended well.
    pub success: bool,
    /// Whether the cluster killed it.
    pub killed: bool,
}

/// The cluster of a run.
pub struct Cluster {
    /// When it was ready.
    pub started_at: Instant,
    /// All leaves, also those that have ended.
    pub leaves: Vec<ProxiedLeaf>,
    /// Ends of processes, in order.
    pub exits: Vec<Exit>,
    /// Starts of processes: the gateway, and when.
    pub starts: Vec<(usize, Instant)>,
    /// What befell whom.
    pub disturbances: Disturbances,
    /// What callers may know.
    pub catalog: Arc<Catalog>,
    /// The gateways.
    pub vms: Vec<Vm>,
    /// Shards of a search.
    pub shards: usize,
    pub(super) store: Store,
    /// The leaves that stand now, by slot.
    pub(super) slots: Vec<usize>,
    /// What ends faults, and when.
    pub(super) follow_ups: Vec<(Instant, FollowUp)>,
    /// Gateways whose processes were killed and have not been history to end.
    pub(super) killed: Vec<bool>,
    seed: u64,
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
            disturbances: Disturbances::default(),
            catalog: Arc::default(),
            vms: Vec::new(),
            shards: options.shards,
            store: Store::start(),
            slots: Vec::new(),
            follow_ups: Vec::new(),
            killed: vec![false; options.vms],
            seed: options.seed,
            folder,
        };
        for slot in 0..options.shards * 2 + 4 {
            let index = cluster.add_leaf(slot)?;
            cluster.slots.push(index);
        }
        cluster.write_version();
        for number in 0..options.vms {
            let address = cluster.store.address();
            let domain = failure_domain(number);
            let folder = cluster.folder.path().to_path_buf();
            let vm = Vm::start(
                &options.binary,
                &folder,
                number,
                domain,
                address,
                options.seed,
            )?;
            cluster.vms.push(vm);
            cluster.starts.push((number, Instant::now()));
        }
        cluster.wait_until_all_serve()?;
        cluster.started_at = Instant::now();
        Ok(cluster)
    }

    /// Plays a schedule, then the time in which all gets well again.
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
        }
    }

    /// Stops all gateways, and waits for their ends.
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

    /// Folder with settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder when the cluster ends.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    fn wait_until_all_serve(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let mut waiting: Vec<_> = self.vms.iter().map(|vm| vm.caller_address).collect();
        while !waiting.is_empty() {
            waiting.retain(|address| !super::caller::is_serving(*address));
            if Instant::now() > end {
                let unready = self
                    .vms
                    .iter()
                    .filter(|vm| waiting.contains(&vm.caller_address));
                let logs: Vec<String> = unready.map(Vm::log).collect();
                let problem = format!("gateways did not serve in time: {}", logs.join("\n"));
                return Err(io::Error::other(problem));
            }
            thread::sleep(TICK_INTERVAL);
        }
        Ok(())
    }

    /// Starts a leaf in the slot of another.
    pub(super) fn replace_leaf(&mut self, slot: usize) {
        match self.add_leaf(slot) {
            Ok(index) => self.slots[slot] = index,
            Err(error) => panic!("a leaf can't be started: {error}"),
        }
    }

    fn add_leaf(&mut self, slot: usize) -> io::Result<usize> {
        let service = self.service(slot);
        let mut proxied_leaf = ProxiedLeaf::start(&service, failure_domain(slot), self.seed)?;
        // Catalog to the callers before a gateway can choose it.
        lock(&self.catalog.leaves).push(proxied_leaf.identity().clone());
        proxied_leaf.register(&self.store);
        self.leaves.push(proxied_leaf);
        Ok(self.leaves.len() - 1)
    }

    fn service(&self, slot: usize) -> String {
        match (slot / 2).checked_sub(self.shards) {
            None => format!("shard-{}", slot / 2),
            Some(0) => "lookup".to_string(),
            Some(_) => "orders".to_string(),
        }
    }

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
                success: status.success(),
                killed: std::mem::take(&mut self.killed[vm]),
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
        let numbers: Vec<u64> = versions.iter().map(|(version, _)| *version).collect();
        drop(versions);
        let document = configuration(version, &numbers, self.shards);
        self.store.put(DOCUMENT_KEY, document);
    }
}

fn failure_domain(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}
