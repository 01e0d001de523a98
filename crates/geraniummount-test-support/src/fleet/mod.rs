//! A fleet of real processes between stand-ins, on loopback.
//!
//! Each VM has an address of its own, a proxy in front of its peer address and
//! one between it and the platform; each leaf has a proxy in front of it. So a
//! test can slow, cut or silence any link. A fleet ends its own processes, and
//! only these, when it is dropped, and prints their logs when a test fails.

mod cut;
mod plan;
mod resource;
mod vm;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use tempfile::TempDir;

use self::cut::Cut;
pub use self::cut::Place;
pub use self::plan::{Contract, Domain, LeafPlan, Plan};
pub use self::vm::Vm;
use crate::client::Client;
use crate::leaf::Leaf;
use crate::platform::{Member, MemberState, Platform};
use crate::proxy::{Flow, Link, Proxy};

/// Patience with anything that a fleet should reach by itself.
pub const PATIENCE: Duration = Duration::from_secs(30);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Third number of the leaves' addresses. Nothing connects from these, so that
/// a leaf that comes back finds its port free.
const LEAF_SUBNET: u8 = 201;

/// Fleets started by this process; each gets its own addresses.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Running VMs, leaves and platform.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    /// The platform.
    pub platform: Platform,
    /// Leaves in the plan's order.
    pub leaves: Vec<StandIn>,
    vms: Vec<Vm>,
    cuts: Vec<Cut>,
    folder: TempDir,
    network: u8,
    started: u8,
}

/// A leaf with the proxy in front of it.
#[derive(Debug)]
pub struct StandIn {
    /// The leaf.
    pub leaf: Leaf,
    /// The proxy in front of it.
    pub proxy: Proxy,
    /// Failure domain of its backend server.
    pub failure_domain: String,
    contract: Contract,
}

impl Fleet {
    /// Starts everything in the plan and waits until each VM is ready.
    pub fn start(plan: Plan) -> io::Result<Fleet> {
        let mut fleet = Fleet::start_without_vms(plan)?;
        let domains = fleet.plan.domains.clone();
        let vms = domains
            .iter()
            .flat_map(|domain| std::iter::repeat_n(domain.name.clone(), domain.vms));
        for domain in vms.collect::<Vec<_>>() {
            fleet.place_vm(&domain)?;
        }
        fleet.relink();
        fleet.publish_members();
        let names = fleet.vm_names();
        for name in &names {
            fleet.launch(name)?;
        }
        for name in &names {
            fleet.wait_ready(name);
        }
        Ok(fleet)
    }

    fn start_without_vms(plan: Plan) -> io::Result<Fleet> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        // Processes of other test runs on the same machine differ in their id.
        let network = (std::process::id() as u8)
            .wrapping_mul(31)
            .wrapping_add(number)
            .max(1);
        let mut leaves = Vec::new();
        for (index, planned) in plan.leaves.iter().enumerate() {
            let ip = Ipv4Addr::new(127, network, LEAF_SUBNET, index as u8 + 1);
            leaves.push(StandIn::start(ip, planned, plan.seed + index as u64)?);
        }
        Ok(Fleet {
            platform: Platform::start()?,
            leaves,
            vms: Vec::new(),
            cuts: Vec::new(),
            folder: tempfile::tempdir()?,
            network,
            started: 0,
            plan,
        })
    }

    /// Returns a VM; panics when there is none of that name.
    pub fn vm(&self, name: &str) -> &Vm {
        let found = self.vms.iter().find(|vm| vm.name == name);
        found.unwrap_or_else(|| panic!("fleet has no VM {name}"))
    }

    /// Returns the names of the VMs, in order of start.
    pub fn vm_names(&self) -> Vec<String> {
        self.vms.iter().map(|vm| vm.name.clone()).collect()
    }

    /// Returns the names of the VMs of a failure domain, in order of start.
    pub fn vms_in(&self, domain: &str) -> Vec<String> {
        let members = self.vms.iter().filter(|vm| vm.failure_domain == domain);
        members.map(|vm| vm.name.clone()).collect()
    }

    /// Returns a leaf; panics when there is none of that name.
    pub fn leaf(&self, name: &str) -> &StandIn {
        let found = self.leaves.iter().find(|other| other.leaf.name() == name);
        found.unwrap_or_else(|| panic!("fleet has no leaf {name}"))
    }

    /// Returns a leaf to kill or restart; panics when there is none.
    pub fn leaf_mut(&mut self, name: &str) -> &mut StandIn {
        let mut leaves = self.leaves.iter_mut();
        let found = leaves.find(|other| other.leaf.name() == name);
        found.unwrap_or_else(|| panic!("fleet has no leaf {name}"))
    }

    /// Returns a client of a VM's callers' port.
    pub fn caller(&self, vm: &str) -> Client {
        Client::new(self.vm(vm).caller)
    }

    /// Returns a client of a VM's operators' port.
    pub fn operator(&self, vm: &str) -> Client {
        Client::new(self.vm(vm).operator)
    }

    /// Starts one more VM and waits until it is ready; returns its name.
    pub fn add_vm(&mut self, domain: &str) -> io::Result<String> {
        let name = self.begin_vm(domain)?;
        self.wait_ready(&name);
        Ok(name)
    }

    /// Starts one more VM; returns its name.
    pub fn begin_vm(&mut self, domain: &str) -> io::Result<String> {
        let name = self.place_vm(domain)?;
        self.relink();
        self.publish_members();
        self.launch(&name)?;
        Ok(name)
    }

    /// Ends a VM at once (SIGKILL); the platform's list keeps it.
    pub fn kill(&mut self, vm: &str) {
        self.vm_mut(vm).kill();
    }

    /// Stops a VM in its tracks (SIGSTOP).
    pub fn freeze(&mut self, vm: &str) {
        self.vm_mut(vm).freeze();
    }

    /// Lets a frozen VM go on (SIGCONT).
    pub fn thaw(&mut self, vm: &str) {
        self.vm_mut(vm).thaw();
    }

    /// Tells a VM to stop (SIGTERM), without waiting for its end.
    pub fn terminate(&mut self, vm: &str) {
        self.vm_mut(vm).terminate();
        self.publish_members();
    }

    /// Waits until a VM's process has ended by itself.
    pub fn wait_exit(&mut self, vm: &str) -> ExitStatus {
        let status = self.vm_mut(vm).wait_exit(PATIENCE);
        status.unwrap_or_else(|| panic!("VM {vm} did not end"))
    }

    /// Forgets a VM that has ended, also in the platform's list.
    pub fn forget(&mut self, vm: &str) {
        self.vm_mut(vm).kill();
        self.vms.retain(|other| other.name != vm);
        self.publish_members();
    }

    /// Cuts both directions between two places.
    pub fn cut(&mut self, one: &Place, other: &Place) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Cuts the direction from one place to another.
    pub fn cut_one_way(&mut self, from: &Place, to: &Place) {
        self.cuts.push(Cut {
            from: from.clone(),
            to: to.clone(),
        });
        self.relink();
    }

    /// Cuts or heals the links between a place and the platform.
    pub fn cut_platform(&mut self, place: &Place, flow: Flow) {
        for vm in self.vms.iter().filter(|vm| place.has(vm)) {
            vm.platform_proxy.change_all(|link| {
                link.forward = flow;
                link.back = flow;
            });
        }
    }

    /// Ends all cuts between VMs.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.relink();
    }

    /// Declares resources through a VM's operator port, in order, and waits
    /// until every running VM has them; see [`Plan`] for the leaves.
    pub fn apply(&self, vm: &str, resources: &[(&str, serde_json::Value)]) {
        resource::apply(self, vm, resources);
    }

    /// Declares the fleet's leaves and then a service.
    pub fn apply_with_leaves(&self, vm: &str, services: &[serde_json::Value]) {
        let leaves = self.leaves.iter().map(|leaf| ("leaf", leaf.resource()));
        let services = services.iter().map(|spec| ("service", spec.clone()));
        let resources: Vec<_> = leaves.chain(services).collect();
        self.apply(vm, &resources);
    }

    /// Returns the VM processes that run and are not frozen.
    pub fn running(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.is_running())
    }

    fn vm_mut(&mut self, name: &str) -> &mut Vm {
        let found = self.vms.iter_mut().find(|vm| vm.name == name);
        found.unwrap_or_else(|| panic!("fleet has no VM {name}"))
    }

    /// Gives a new VM its addresses and proxies.
    fn place_vm(&mut self, domain: &str) -> io::Result<String> {
        self.started += 1;
        let place = self
            .plan
            .domains
            .iter()
            .position(|other| other.name == domain);
        let place = place.unwrap_or_else(|| panic!("plan has no failure domain {domain}"));
        let ip =
            |third: usize| IpAddr::V4(Ipv4Addr::new(127, self.network, third as u8, self.started));
        let vm = Vm::place(
            &format!("{domain}-{}", self.started),
            domain,
            (ip(place + 1), ip(place + 101)),
            self.platform.address(),
            self.plan.seed + 1000 + u64::from(self.started),
        )?;
        let name = vm.name.clone();
        self.vms.push(vm);
        Ok(name)
    }

    fn launch(&mut self, name: &str) -> io::Result<()> {
        let others = self.vms.iter().filter(|vm| vm.name != name);
        let first_peers: Vec<SocketAddr> = others
            .filter(|vm| vm.is_first_peer())
            .map(|vm| vm.peer_proxy.address())
            .collect();
        let (binary, extra) = (self.plan.binary.clone(), self.plan.settings.clone());
        let folder = self.folder.path().to_path_buf();
        let vm = self.vm_mut(name);
        vm.launch(&binary, &folder, &first_peers, &extra)
    }

    /// Waits until a VM says that it is ready.
    pub fn wait_ready(&self, name: &str) {
        let client = self.caller(name);
        let ready = wait_until(PATIENCE, || {
            client.get("/ready").is_ok_and(|reply| reply.is_success())
        });
        assert!(ready, "VM {name} did not get ready");
    }

    /// Lets the proxies show the plan's links and the cuts.
    fn relink(&self) {
        for target in &self.vms {
            for source in &self.vms {
                let link = self.link(source, target);
                target
                    .peer_proxy
                    .change(source.ip, |current| *current = link);
            }
        }
    }

    fn link(&self, source: &Vm, target: &Vm) -> Link {
        let cut = |from: &Vm, to: &Vm| {
            let mut cuts = self.cuts.iter();
            let cut = cuts.any(|cut| cut.from.has(from) && cut.to.has(to));
            if cut { Flow::Cut } else { Flow::Open }
        };
        let base = if source.failure_domain == target.failure_domain {
            self.plan.within
        } else {
            self.plan.between
        };
        Link {
            forward: cut(source, target),
            back: cut(target, source),
            ..base
        }
    }

    fn publish_members(&self) {
        let members: Vec<Member> = self.vms.iter().map(member).collect();
        self.platform.set_members(members);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        if std::thread::panicking() {
            for vm in &self.vms {
                vm.print_log();
            }
        }
    }
}

impl StandIn {
    fn start(ip: Ipv4Addr, plan: &LeafPlan, seed: u64) -> io::Result<StandIn> {
        let leaf = Leaf::start_on(ip, &plan.name, plan.behaviour.clone(), seed)?;
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), seed)?;
        Ok(StandIn {
            leaf,
            proxy,
            failure_domain: plan.failure_domain.clone(),
            contract: plan.contract,
        })
    }

    /// Returns the leaf as its operator declares it.
    pub fn resource(&self) -> serde_json::Value {
        serde_json::json!({
            "name": self.leaf.name(),
            "address": self.proxy.address(),
            "failure_domain": self.failure_domain,
            "contract": self.contract,
        })
    }
}

/// Polls until a condition holds; returns whether it did before the limit.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(POLL_PERIOD);
    }
}

fn member(vm: &Vm) -> Member {
    Member {
        name: vm.name.clone(),
        address: vm.peer_proxy.address(),
        failure_domain: vm.failure_domain.clone(),
        state: if vm.was_told_to_stop() {
            MemberState::Leaving
        } else {
            MemberState::Live
        },
    }
}
