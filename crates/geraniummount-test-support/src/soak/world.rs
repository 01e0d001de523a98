//! The world of a run: a store, leaves, gateways, and what befalls them.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use super::disturbance::{Disturbances, Scope};
use super::fault::{Fault, LeafFault, LinkFault, StoreFault, VmFault};
use super::kind::Kind;
use super::member::{Identity, Member, WELL};
use super::schedule::{Schedule, Step};
use super::vm::Vm;
use super::{CALM, Options, RECOVERY};
use crate::platform::users::Store;
use crate::platform::users::document::{self, DOCUMENT_KEY, Gather, gather_route, service_route};
use crate::proxy::{Flow, Link, Proxy};

/// Time until an ended process is started again.
const RESTART: Duration = Duration::from_millis(200);

/// Time between two looks of the world.
const STEP: Duration = Duration::from_millis(10);

/// A look that is late by more shows that this machine stood still.
const STALL: Duration = Duration::from_millis(300);

/// Time that a stopped process has until it is killed.
const GRACE: Duration = Duration::from_secs(6);

/// Time for which a leaf serves after it registered as leaving.
const LEAVING: Duration = Duration::from_millis(3_200);

/// Delay of a slow link, each way.
const SLOWNESS: Duration = Duration::from_millis(60);

/// Time in which silent connections are given up.
const SILENCE: Duration = Duration::from_secs(4);

/// Time until the first answers after the start.
const START: Duration = Duration::from_secs(20);

/// Least share of the shards that an answer includes.
const LEAST: f64 = 0.5;

/// A version of the routes, and when it was written.
pub type Version = (u64, Instant);

/// What callers may know of the world while it runs.
#[derive(Debug, Default)]
pub struct Known {
    /// All leaves that were ever started.
    pub leaves: Mutex<Vec<Identity>>,
    /// All versions that were written.
    pub versions: Mutex<Vec<Version>>,
}

/// Locks a value; a thread that panicked leaves it as it was.
pub fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

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

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Resume(usize),
    HealStore(usize),
    StoreUp,
    LeafWell(usize),
    HealLeaf(usize),
    /// The place, and the leaf that stood there.
    Replace(usize, usize),
    Remove(usize),
    Register(usize),
    Launch(usize),
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
    store: Store,
    /// The members that stand now, by place.
    places: Vec<usize>,
    undos: Vec<(Instant, Undo)>,
    killed: Vec<bool>,
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

    fn strike(&mut self, step: &Step, now: Instant) {
        let undo = match step.fault {
            Fault::Vm(vm, fault) => self.strike_vm(vm, fault, now),
            Fault::AllVms(fault) => {
                for vm in 0..self.vms.len() {
                    self.strike_vm(vm, fault, now);
                }
                None
            }
            Fault::StoreLink(vm, fault) => {
                self.disturb(Scope::StoreLink(vm), fault, step, now);
                strike_link(&self.vms[vm].store, fault).then_some(Undo::HealStore(vm))
            }
            Fault::Store(fault) => self.strike_store(fault, step, now),
            Fault::Leaf(place, fault) => self.strike_leaf(place, fault, step, now),
            Fault::LeafLink(place, fault) => {
                let member = self.places[place];
                self.disturb(Scope::Leaf(member), fault, step, now);
                let lasts = strike_link(&self.members[member].proxy, fault);
                lasts.then_some(Undo::HealLeaf(member))
            }
            Fault::Versions(count) => {
                (0..count).for_each(|_| self.write_version());
                None
            }
        };
        if let Fault::Vm(vm, VmFault::Pause) = step.fault {
            self.disturbances.add(Scope::Vm(vm), now, step.lasts);
        }
        if let Some(undo) = undo {
            self.undos.push((now + step.lasts, undo));
        }
    }

    /// Notes the span of a link's fault. Silence ends where the gateway gives
    /// its connections up, which may take a while.
    fn disturb(&mut self, scope: Scope, fault: LinkFault, step: &Step, now: Instant) {
        let lasts = match fault {
            LinkFault::Silent => SILENCE,
            _ => step.lasts,
        };
        self.disturbances.add(scope, now, lasts);
    }

    fn strike_vm(&mut self, vm: usize, fault: VmFault, now: Instant) -> Option<Undo> {
        match fault {
            VmFault::Stop => self.stop_vm(vm, now),
            VmFault::Kill => self.kill_vm(vm, now),
            VmFault::Pause => {
                self.vms[vm].pause();
                return Some(Undo::Resume(vm));
            }
            VmFault::Reload => self.vms[vm].reload(),
        }
        None
    }

    fn strike_store(&mut self, fault: StoreFault, step: &Step, now: Instant) -> Option<Undo> {
        self.disturbances.add(Scope::Store, now, step.lasts);
        match fault {
            StoreFault::Down => {
                self.store.set_refusal(Some(503));
                self.store.cut();
                Some(Undo::StoreUp)
            }
            StoreFault::Compacted => {
                self.store.compact();
                None
            }
        }
    }

    fn strike_leaf(
        &mut self,
        place: usize,
        fault: LeafFault,
        step: &Step,
        now: Instant,
    ) -> Option<Undo> {
        let number = self.places[place];
        let member = &mut self.members[number];
        if matches!(fault, LeafFault::Leaves) {
            self.leave(place, now);
            return None;
        }
        self.disturbances.add(Scope::Leaf(number), now, step.lasts);
        let leaf = member.leaf.as_ref()?;
        match fault {
            LeafFault::Answers(answer) => {
                leaf.set_answer(answer);
                Some(Undo::LeafWell(number))
            }
            LeafFault::Lapses => {
                self.store.remove(&leaf.key());
                Some(Undo::Register(number))
            }
            LeafFault::Crashes => {
                member.end();
                member.proxy.break_open();
                Some(Undo::Replace(place, number))
            }
            LeafFault::Leaves => None,
        }
    }

    fn stop_vm(&mut self, vm: usize, now: Instant) {
        if self.vms[vm].stopping.is_some() || !self.vms[vm].is_running() {
            return;
        }
        self.vms[vm].stopping = Some(now);
        self.vms[vm].stop();
        self.disturbances.add(Scope::Stop(vm), now, GRACE);
    }

    fn kill_vm(&mut self, vm: usize, now: Instant) {
        self.killed[vm] = true;
        self.vms[vm].kill();
        self.disturbances
            .add(Scope::Vm(vm), now, Duration::from_secs(1));
    }

    /// Registers a leaf as leaving; another takes its place at once.
    fn leave(&mut self, place: usize, now: Instant) {
        let member = self.places[place];
        let Some(leaf) = &self.members[member].leaf else {
            return;
        };
        leaf.register(&self.store, "draining");
        self.members[member].leaves_at = Some(now);
        self.undos.push((now + LEAVING, Undo::Remove(member)));
        self.replace(place);
    }

    fn undo_due(&mut self, now: Instant) {
        while let Some(place) = self.undos.iter().position(|(at, _)| *at <= now) {
            let (_, undo) = self.undos.swap_remove(place);
            self.undo(undo);
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Resume(vm) => self.vms[vm].resume(),
            Undo::HealStore(vm) => heal(&self.vms[vm].store),
            Undo::StoreUp => self.store.set_refusal(None),
            Undo::LeafWell(member) => {
                if let Some(leaf) = &self.members[member].leaf {
                    leaf.set_answer(WELL);
                }
            }
            Undo::HealLeaf(member) => heal(&self.members[member].proxy),
            Undo::Replace(place, member) => {
                self.store.remove(&self.members[member].key());
                if self.places[place] == member {
                    self.replace(place);
                }
            }
            Undo::Remove(member) => {
                let now = Instant::now();
                self.disturbances
                    .add(Scope::Leaf(member), now, Duration::ZERO);
                self.store.remove(&self.members[member].key());
                self.members[member].end();
            }
            Undo::Register(member) => {
                let member = &self.members[member];
                if let Some(leaf) = member.leaf.as_ref().filter(|_| member.leaves_at.is_none()) {
                    leaf.register(&self.store, "ready");
                }
            }
            Undo::Launch(vm) => match self.vms[vm].launch() {
                Ok(()) => self.starts.push((vm, Instant::now())),
                Err(error) => panic!("gateway {vm} can't be started again: {error}"),
            },
        }
    }

    fn replace(&mut self, place: usize) {
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

    /// Writes the next version of the routes; each has a route that shows it,
    /// and those of all versions before it.
    fn write_version(&mut self) {
        let mut versions = lock(&self.known.versions);
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        versions.push((version, Instant::now()));
        let numbers: Vec<u64> = versions.iter().map(|(version, _)| *version).collect();
        drop(versions);
        let document = document(version, &numbers, self.shards);
        self.store.put(DOCUMENT_KEY, document);
    }
}

/// Brings a fault about; returns whether it lasts until it is healed.
fn strike_link(proxy: &Proxy, fault: LinkFault) -> bool {
    let change: fn(&mut Link) = match fault {
        LinkFault::Cut => |link| (link.forward, link.back) = (Flow::Cut, Flow::Cut),
        LinkFault::NoRequests => |link| link.forward = Flow::Cut,
        LinkFault::NoAnswers => |link| link.back = Flow::Cut,
        LinkFault::Slow => |link| link.delay = SLOWNESS,
        LinkFault::Silent => {
            proxy.silence_open();
            return false;
        }
        LinkFault::Reset => {
            proxy.break_open();
            return false;
        }
    };
    proxy.change_all(change);
    true
}

fn heal(proxy: &Proxy) {
    proxy.change_all(|link| *link = Link::default());
}

fn domain(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

fn document(version: u64, versions: &[u64], shards: usize) -> String {
    let shards: Vec<String> = (0..shards).map(|shard| format!("shard-{shard}")).collect();
    let shards: Vec<&str> = shards.iter().map(String::as_str).collect();
    let gather = Gather {
        top: super::caller::TOP,
        least: LEAST,
    };
    let mut routes = vec![
        gather_route(Kind::Search.prefix(), &shards, gather),
        service_route(Kind::Lookup.prefix(), "idempotent", "lookup"),
        service_route(Kind::Order.prefix(), "non_idempotent", "orders"),
    ];
    let markers = versions.iter().map(|number| {
        let prefix = format!("/v{number}/");
        service_route(&prefix, "idempotent", "lookup")
    });
    routes.extend(markers);
    document::document(version, &routes, &[])
}
