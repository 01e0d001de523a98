//! The world of a run: a store, leaves, gateways, and what befalls them.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use super::disturbance::{Disturbances, Scope};
use super::known::{Known, lock};
use super::member::Member;
use super::routes::configuration;
use super::schedule::Schedule;
use super::strike::Undo;
use super::vm::Vm;
use super::{CALM, Options, RECOVERY};
use crate::platform::users::Store;
use crate::platform::users::document::DOCUMENT_KEY;

/// Time until an ended process is started again.
const RESTART: Duration = Duration::from_millis(200);

/// Time between two looks of the world.
const STEP: Duration = Duration::from_millis(10);

/// A look that is late by more shows that this machine stood still.
const STALL: Duration = Duration::from_millis(300);

/// Time that a stopped process has until it is killed.
pub(super) const GRACE: Duration = Duration::from_secs(6);

/// Time until the first answers after the start.
const START: Duration = Duration::from_secs(20);

/// The end of a process.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// The gateway.
    pub vm: usize,
    /// When it was told to stop; `None` where it was not.
    pub told: Option<Instant>,
    /// When it was seen to have ended.
    pub at: Instant,
    /// Whether it ended well.
    pub success: bool,
    /// Whether the world killed it.
    pub killed: bool,
}

/// The world of a run.
pub struct World {
    /// When it was ready.
    pub started: Instant,
    /// All leaves, also those that have ended.
    pub members: Vec<Member>,
    /// Ends of processes, in order.
    pub exits: Vec<Exit>,
    /// Starts of processes: the gateway, and when.
    pub starts: Vec<(usize, Instant)>,
    /// What befell whom.
    pub disturbances: Disturbances,
    /// What callers may know.
    pub known: Arc<Known>,
    /// The gateways.
    pub vms: Vec<Vm>,
    /// Shards of a search.
    pub shards: usize,
    pub(super) store: Store,
    /// The members that stand now, by place.
    pub(super) places: Vec<usize>,
    /// What ends faults, and when.
    pub(super) undos: Vec<(Instant, Undo)>,
    /// Gateways whose processes were killed and have not been seen to end.
    pub(super) killed: Vec<bool>,
    seed: u64,
    folder: TempDir,
}

impl World {
    /// Starts everything and waits until all gateways serve.
    pub fn start(options: &Options) -> io::Result<World> {
        let folder = tempfile::Builder::new()
            .prefix("geraniummount-soak-")
            .tempdir()?;
        let mut world = World {
            started: Instant::now(),
            members: Vec::new(),
            exits: Vec::new(),
            starts: Vec::new(),
            disturbances: Disturbances::default(),
            known: Arc::default(),
            vms: Vec::new(),
            shards: options.shards,
            store: Store::start(),
            places: Vec::new(),
            undos: Vec::new(),
            killed: vec![false; options.vms],
            seed: options.seed,
            folder,
        };
        for place in 0..options.shards * 2 + 4 {
            let member = world.add_member(place)?;
            world.places.push(member);
        }
        world.write_version();
        for number in 0..options.vms {
            let address = world.store.address();
            let domain = domain(number);
            let folder = world.folder.path().to_path_buf();
            let vm = Vm::start(
                &options.binary,
                &folder,
                number,
                domain,
                address,
                options.seed,
            )?;
            world.vms.push(vm);
            world.starts.push((number, Instant::now()));
        }
        world.wait_until_all_serve()?;
        world.started = Instant::now();
        Ok(world)
    }

    /// Plays a schedule, then the time in which all gets well again.
    pub fn play(&mut self, schedule: &Schedule) {
        let mut steps = schedule.steps.iter().peekable();
        let end = self.started + schedule.over + RECOVERY + CALM;
        let mut last = Instant::now();
        while last < end {
            thread::sleep(STEP);
            let now = Instant::now();
            let late = now.saturating_duration_since(last);
            if late > STALL {
                self.disturbances.add(Scope::Machine, last, late);
            }
            last = now;
            while let Some(step) = steps.next_if(|step| self.started + step.at <= now) {
                self.strike(step, now);
            }
            self.undo_due(now);
            self.watch_processes(now);
        }
    }

    /// Stops all gateways, and waits for their ends.
    pub fn stop(&mut self) {
        let told = Instant::now();
        for vm in &mut self.vms {
            vm.stopping = Some(told);
            vm.stop();
        }
        while self.vms.iter().any(Vm::is_running) {
            thread::sleep(STEP);
            self.watch_processes(Instant::now());
        }
    }

    /// Folder with settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder when the world ends.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    fn wait_until_all_serve(&mut self) -> io::Result<()> {
        let end = Instant::now() + START;
        let mut waiting: Vec<_> = self.vms.iter().map(|vm| vm.callers).collect();
        while !waiting.is_empty() {
            waiting.retain(|address| !super::caller::serves(*address));
            if Instant::now() > end {
                let late = self.vms.iter().filter(|vm| waiting.contains(&vm.callers));
                let logs: Vec<String> = late.map(Vm::log).collect();
                let problem = format!("gateways did not serve in time: {}", logs.join("\n"));
                return Err(io::Error::other(problem));
            }
            thread::sleep(STEP);
        }
        Ok(())
    }

    /// Starts a leaf in the place of another.
    pub(super) fn replace(&mut self, place: usize) {
        match self.add_member(place) {
            Ok(member) => self.places[place] = member,
            Err(error) => panic!("a leaf can't be started: {error}"),
        }
    }

    fn add_member(&mut self, place: usize) -> io::Result<usize> {
        let service = self.service(place);
        let mut member = Member::start(&service, domain(place), self.seed)?;
        // Known to the callers before a gateway can choose it.
        lock(&self.known.leaves).push(member.identity().clone());
        member.register(&self.store);
        self.members.push(member);
        Ok(self.members.len() - 1)
    }

    fn service(&self, place: usize) -> String {
        match (place / 2).checked_sub(self.shards) {
            None => format!("shard-{}", place / 2),
            Some(0) => "lookup".to_string(),
            Some(_) => "orders".to_string(),
        }
    }

    fn watch_processes(&mut self, now: Instant) {
        for vm in 0..self.vms.len() {
            let told = self.vms[vm].stopping;
            if told.is_some_and(|told| now.saturating_duration_since(told) > GRACE) {
                self.vms[vm].kill();
            }
            let Some(status) = self.vms[vm].ended() else {
                continue;
            };
            self.exits.push(Exit {
                vm,
                told,
                at: now,
                success: status.success(),
                killed: std::mem::take(&mut self.killed[vm]),
            });
            self.undos.push((now + RESTART, Undo::Launch(vm)));
        }
    }

    /// Writes the next version of the routes.
    pub(super) fn write_version(&mut self) {
        let mut versions = lock(&self.known.versions);
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        versions.push((version, Instant::now()));
        let numbers: Vec<u64> = versions.iter().map(|(version, _)| *version).collect();
        drop(versions);
        let document = configuration(version, &numbers, self.shards);
        self.store.put(DOCUMENT_KEY, document);
    }
}

fn domain(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}
