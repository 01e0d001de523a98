//! Runs a fleet of real processes on loopback, with stand-ins for the leaves and for the platform,
//! which is the users' key-value service and membership list.
//!
//! Each VM has its own IP address, a proxy in front of its peer listener and a proxy between it and
//! the platform; each leaf has a proxy in front of it. With these proxies a test can delay or cut
//! any link, or blackhole it: discard the further bytes of its open connections. Dropping a fleet
//! kills the processes that it started and no others, and prints their logs if the test panics.

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
pub use self::cut::VmSelector;
pub use self::plan::{Contract, Domain, LeafPlan, Plan};
pub use self::vm::Vm;
use crate::client::Client;
use crate::leaf::Leaf;
use crate::platform::{Member, MemberState, Platform};
use crate::proxy::{Flow, Link, Proxy};

/// Timeout for any state that a fleet should reach without further action by the test.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Third octet of the leaves' IP addresses. No outgoing connection uses these addresses as its
/// source, so the port of a killed leaf stays free until the leaf starts again.
const LEAF_SUBNET: u8 = 201;

/// Number of fleets started by this process. Each fleet derives its own IP addresses from it.
static STARTED_FLEETS: AtomicU8 = AtomicU8::new(0);

/// Running VMs, leaves and platform.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Leaves, in the order of the plan.
    pub leaves: Vec<ProxiedLeaf>,
    vms: Vec<Vm>,
    cuts: Vec<Cut>,
    /// Folder with the settings and logs of the VMs.
    dir: TempDir,
    /// Second octet of the IP addresses of this fleet's VMs and leaves.
    network: u8,
    /// Number of VMs added so far; names and IP addresses are formed from it.
    started_vms: u8,
}

/// A leaf stand-in with the proxy in front of it.
#[derive(Debug)]
pub struct ProxiedLeaf {
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
            fleet.prepare_vm(&domain)?;
        }
        fleet.update_links();
        fleet.publish_members();
        let names = fleet.vm_names();
        for name in &names {
            fleet.launch(name)?;
        }
        for name in &names {
            fleet.wait_until_ready(name);
        }
        Ok(fleet)
    }

    fn start_without_vms(plan: Plan) -> io::Result<Fleet> {
        let number = STARTED_FLEETS.fetch_add(1, Ordering::Relaxed);
        // Derived from the process id, so that concurrent test runs on one machine use different
        // addresses.
        let network = (std::process::id() as u8)
            .wrapping_mul(31)
            .wrapping_add(number)
            .max(1);
        let mut leaves = Vec::new();
        for (index, planned) in plan.leaves.iter().enumerate() {
            let ip = Ipv4Addr::new(127, network, LEAF_SUBNET, index as u8 + 1);
            leaves.push(ProxiedLeaf::start(ip, planned, plan.seed + index as u64)?);
        }
        Ok(Fleet {
            platform: Platform::start()?,
            leaves,
            vms: Vec::new(),
            cuts: Vec::new(),
            dir: tempfile::tempdir()?,
            network,
            started_vms: 0,
            plan,
        })
    }

    /// Returns the VM of this name. Panics if there is none.
    pub fn vm(&self, name: &str) -> &Vm {
        let found = self.vms.iter().find(|vm| vm.name == name);
        found.unwrap_or_else(|| panic!("fleet has no VM {name}"))
    }

    /// Returns the names of all VMs, in the order in which they were started.
    pub fn vm_names(&self) -> Vec<String> {
        self.vms.iter().map(|vm| vm.name.clone()).collect()
    }

    /// Returns the names of a failure domain's VMs, in the order in which they were started.
    pub fn vms_in(&self, domain: &str) -> Vec<String> {
        let members = self.vms.iter().filter(|vm| vm.failure_domain == domain);
        members.map(|vm| vm.name.clone()).collect()
    }

    /// Returns the leaf of this name. Panics if there is none.
    pub fn leaf(&self, name: &str) -> &ProxiedLeaf {
        let found = self
            .leaves
            .iter()
            .find(|proxied_leaf| proxied_leaf.leaf.name() == name);
        found.unwrap_or_else(|| panic!("fleet has no leaf {name}"))
    }

    /// Returns the leaf of this name for killing or restarting it. Panics if there is none.
    pub fn leaf_mut(&mut self, name: &str) -> &mut ProxiedLeaf {
        let mut leaves = self.leaves.iter_mut();
        let found = leaves.find(|proxied_leaf| proxied_leaf.leaf.name() == name);
        found.unwrap_or_else(|| panic!("fleet has no leaf {name}"))
    }

    /// Returns a client of a VM's callers' listener.
    pub fn caller(&self, vm: &str) -> Client {
        Client::new(self.vm(vm).caller)
    }

    /// Returns a client of a VM's operators' listener.
    pub fn operator(&self, vm: &str) -> Client {
        Client::new(self.vm(vm).operator)
    }

    /// Starts another VM, waits until it is ready and returns its name.
    pub fn add_vm(&mut self, domain: &str) -> io::Result<String> {
        let name = self.spawn_vm(domain)?;
        self.wait_until_ready(&name);
        Ok(name)
    }

    /// Starts another VM without waiting until it is ready and returns its name.
    pub fn spawn_vm(&mut self, domain: &str) -> io::Result<String> {
        let name = self.prepare_vm(domain)?;
        self.update_links();
        self.publish_members();
        self.launch(&name)?;
        Ok(name)
    }

    /// Kills a VM's process (SIGKILL). The VM stays in the platform's membership list.
    pub fn kill(&mut self, vm: &str) {
        self.vm_mut(vm).kill();
    }

    /// Suspends a VM's process (SIGSTOP).
    pub fn freeze(&mut self, vm: &str) {
        self.vm_mut(vm).freeze();
    }

    /// Resumes a VM's suspended process (SIGCONT).
    pub fn thaw(&mut self, vm: &str) {
        self.vm_mut(vm).thaw();
    }

    /// Requests a graceful stop of a VM (SIGTERM) and publishes it as leaving, without waiting for
    /// its process to exit.
    pub fn terminate(&mut self, vm: &str) {
        self.vm_mut(vm).terminate();
        self.publish_members();
    }

    /// Waits until a VM's process exits by itself. Panics after [`CONVERGENCE_TIMEOUT`].
    pub fn wait_exit(&mut self, vm: &str) -> ExitStatus {
        let status = self.vm_mut(vm).wait_exit(CONVERGENCE_TIMEOUT);
        status.unwrap_or_else(|| panic!("VM {vm} did not exit before the timeout"))
    }

    /// Removes a VM from the fleet and from the platform's membership list, and kills its process
    /// if it still runs.
    pub fn remove_vm(&mut self, vm: &str) {
        self.vm_mut(vm).kill();
        self.vms.retain(|other| other.name != vm);
        self.publish_members();
    }

    /// Cuts the links between two sets of VMs in both directions.
    pub fn cut(&mut self, first: &VmSelector, second: &VmSelector) {
        self.cut_one_way(first, second);
        self.cut_one_way(second, first);
    }

    /// Cuts the links from one set of VMs to another in this direction only.
    pub fn cut_one_way(&mut self, from: &VmSelector, to: &VmSelector) {
        self.cuts.push(Cut {
            from: from.clone(),
            to: to.clone(),
        });
        self.update_links();
    }

    /// Cuts or restores the links between some VMs and the platform.
    pub fn cut_platform(&mut self, vms: &VmSelector, flow: Flow) {
        for vm in self.vms.iter().filter(|vm| vms.matches(vm)) {
            vm.platform_proxy.change_all(|link| {
                link.forward = flow;
                link.back = flow;
            });
        }
    }

    /// Removes all cuts between VMs. Cuts to the platform stay.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.update_links();
    }

    /// Declares resources through a VM's operators' listener, in order, and waits until every
    /// running VM has them. The fleet's own leaves are declared by [`Fleet::apply_with_leaves`].
    pub fn apply(&self, vm: &str, resources: &[(&str, serde_json::Value)]) {
        resource::apply(self, vm, resources);
    }

    /// Declares the fleet's leaves and then the given services, like [`Fleet::apply`].
    pub fn apply_with_leaves(&self, vm: &str, services: &[serde_json::Value]) {
        let leaves = self.leaves.iter().map(|leaf| ("leaf", leaf.resource()));
        let services = services.iter().map(|spec| ("service", spec.clone()));
        let resources: Vec<_> = leaves.chain(services).collect();
        self.apply(vm, &resources);
    }

    /// Returns the VMs whose process runs and is neither frozen nor stopping.
    pub fn running(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.is_running())
    }

    fn vm_mut(&mut self, name: &str) -> &mut Vm {
        let found = self.vms.iter_mut().find(|vm| vm.name == name);
        found.unwrap_or_else(|| panic!("fleet has no VM {name}"))
    }

    /// Adds a VM with its addresses and proxies to the fleet, without starting its process.
    fn prepare_vm(&mut self, domain: &str) -> io::Result<String> {
        self.started_vms += 1;
        let domain_index = self
            .plan
            .domains
            .iter()
            .position(|other| other.name == domain);
        let domain_index =
            domain_index.unwrap_or_else(|| panic!("plan has no failure domain {domain}"));
        // The third octet is the number of the failure domain for a VM, 100 more for its proxies.
        let ip = |third: usize| {
            IpAddr::V4(Ipv4Addr::new(
                127,
                self.network,
                third as u8,
                self.started_vms,
            ))
        };
        let vm = Vm::prepare(
            &format!("{domain}-{}", self.started_vms),
            domain,
            (ip(domain_index + 1), ip(domain_index + 101)),
            self.platform.address(),
            self.plan.seed + 1000 + u64::from(self.started_vms),
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
        let (binary, extra_settings) = (self.plan.binary.clone(), self.plan.settings.clone());
        let dir = self.dir.path().to_path_buf();
        let vm = self.vm_mut(name);
        vm.launch(&binary, &dir, &first_peers, &extra_settings)
    }

    /// Waits until a VM reports ready. Panics after [`CONVERGENCE_TIMEOUT`].
    pub fn wait_until_ready(&self, name: &str) {
        let client = self.caller(name);
        let ready = wait_until(CONVERGENCE_TIMEOUT, || {
            client.get("/ready").is_ok_and(|reply| reply.is_success())
        });
        assert!(ready, "VM {name} did not report ready before the timeout");
    }

    /// Applies the plan's links and the current cuts to the peer proxies.
    fn update_links(&self) {
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
            let cut = cuts.any(|cut| cut.from.matches(from) && cut.to.matches(to));
            if cut { Flow::Cut } else { Flow::Open }
        };
        let base = if source.failure_domain == target.failure_domain {
            self.plan.intra_domain_link
        } else {
            self.plan.inter_domain_link
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

impl ProxiedLeaf {
    fn start(ip: Ipv4Addr, plan: &LeafPlan, seed: u64) -> io::Result<ProxiedLeaf> {
        let leaf = Leaf::start_on(ip, &plan.name, plan.behaviour.clone(), seed)?;
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), seed)?;
        Ok(ProxiedLeaf {
            leaf,
            proxy,
            failure_domain: plan.failure_domain.clone(),
            contract: plan.contract,
        })
    }

    /// Returns the resource that declares the leaf, with the proxy's address.
    pub fn resource(&self) -> serde_json::Value {
        serde_json::json!({
            "name": self.leaf.name(),
            "address": self.proxy.address(),
            "failure_domain": self.failure_domain,
            "contract": self.contract,
        })
    }
}

/// Polls until a condition holds, and returns whether it did before the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn member(vm: &Vm) -> Member {
    Member {
        name: vm.name.clone(),
        address: vm.peer_proxy.address(),
        failure_domain: vm.failure_domain.clone(),
        state: if vm.is_stopping() {
            MemberState::Leaving
        } else {
            MemberState::Live
        },
    }
}
