//! Runs the stand-ins and VMs of one deployment inside this process.

use std::error::Error;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

use geraniummount::ops::serve::Server;
use geraniummount::ops::settings::Settings;
use geraniummount_test_support::client::Client;
use geraniummount_test_support::deployment::{Deployment, Layout, LeafSite};
use geraniummount_test_support::leaf::{Behaviour, Leaf};
use geraniummount_test_support::platform::Platform;
use serde_json::Value;

/// Number of failure domains of the example fleet, fewer than in the users' deployments.
const DOMAIN_COUNT: usize = 2;

const VMS_PER_DOMAIN: usize = 2;

/// Timeout for any state that the fleet should reach without further action.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running stand-ins and VMs.
pub struct Fleet {
    /// VMs, in the order in which they were started.
    pub vms: Vec<Vm>,
    /// Leaf stand-ins. Dropping one stops it.
    pub leaves: Vec<Leaf>,
    sites: Vec<LeafSite>,
    // Dropping the platform stops it, so it is held for as long as the fleet.
    _platform: Platform,
}

/// One VM, run as a server inside this process.
pub struct Vm {
    name: String,
    server: Server,
    caller: SocketAddr,
    operator: SocketAddr,
}

/// Returns the failure domains that the example fleet uses.
pub fn domains(deployment: &Deployment) -> &'static [&'static str] {
    &deployment.failure_domains[..DOMAIN_COUNT]
}

impl Fleet {
    /// Starts the platform, all leaves and the VMs, and waits until each VM is ready.
    pub fn start(deployment: &Deployment) -> Result<Fleet, Box<dyn Error>> {
        let platform = Platform::start()?;
        let mut sites = deployment.leaves(Layout::Replicas);
        for (index, site) in sites.iter_mut().enumerate() {
            site.failure_domain = domains(deployment)[index % DOMAIN_COUNT].to_string();
        }
        let leaves = sites.iter().enumerate().map(start_leaf);
        let leaves = leaves.collect::<Result<Vec<Leaf>, _>>()?;
        let vms = start_vms(domains(deployment), platform.address())?;
        Ok(Fleet {
            vms,
            leaves,
            sites,
            _platform: platform,
        })
    }

    /// Declares all leaves, then all services, and returns the last revision.
    pub fn declare(&self, deployment: &Deployment) -> Result<u64, Box<dyn Error>> {
        let operator = Client::new(self.vms[0].operator);
        for (site, leaf) in self.sites.iter().zip(&self.leaves) {
            put(&operator, "leaf", &site.resource(leaf.address()))?;
        }
        let mut revision = 0;
        for service in deployment.services(Layout::Replicas) {
            revision = put(&operator, "service", &service)?;
        }
        Ok(revision)
    }

    /// Waits until a revision is in force on every VM.
    ///
    /// Returns an error if it is not after [`CONVERGENCE_TIMEOUT`].
    pub fn wait_until_applied(&self, revision: u64) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        for vm in &self.vms {
            let operator = Client::new(vm.operator);
            let path = format!("/v1/resources?watch={}&wait_ms=1000", revision - 1);
            while operator.get(&path)?.body["revision"].as_u64() < Some(revision) {
                if Instant::now() > deadline {
                    return Err(format!("{}: revision {revision} is not in force", vm.name).into());
                }
            }
        }
        Ok(())
    }

    /// Returns a client of the callers' listener of a VM; `index` selects the VM, modulo their
    /// number.
    pub fn caller(&self, index: usize) -> Client {
        Client::new(self.vms[index % self.vms.len()].caller)
    }

    /// Stops all VMs gracefully and concurrently.
    pub fn stop(self) {
        let stops = self.vms.into_iter().map(|vm| {
            std::thread::spawn(move || {
                if !vm.server.stop() {
                    eprintln!("{}: requests were still in flight at its stop", vm.name);
                }
            })
        });
        let stops: Vec<_> = stops.collect();
        for stop in stops {
            if stop.join().is_err() {
                eprintln!("a VM's stop panicked");
            }
        }
    }
}

fn start_leaf((index, site): (usize, &LeafSite)) -> std::io::Result<Leaf> {
    let behaviour = Behaviour {
        slots: site.group.slots.into(),
        connections: site.group.connections.into(),
        open_delay: Duration::from_millis(site.group.open_ms.into()),
        shards: vec![site.shard.clone()],
        ..Behaviour::default()
    };
    Leaf::start(site.name.as_str(), behaviour, index as u64)
}

fn start_vms(domains: &[&str], platform: SocketAddr) -> Result<Vec<Vm>, Box<dyn Error>> {
    let count = domains.len() * VMS_PER_DOMAIN;
    let peers = (0..count).map(|_| free_address());
    let peers = peers.collect::<Result<Vec<SocketAddr>, _>>()?;
    let mut vms = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        let domain = domains[index % domains.len()];
        let name = format!("{domain}-{}", index / domains.len() + 1);
        vms.push(start_vm(&name, domain, *peer, (&peers, platform))?);
    }
    for vm in &vms {
        wait_until_ready(vm)?;
    }
    Ok(vms)
}

fn start_vm(
    name: &str,
    domain: &str,
    peer: SocketAddr,
    (peers, platform): (&[SocketAddr], SocketAddr),
) -> Result<Vm, Box<dyn Error>> {
    let (caller, operator) = (free_address()?, free_address()?);
    let first_peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    let text = format!(
        "[node]\nname = {name}\nfailure_domain = {domain}\npeer_listen = {peer}\n\
         first_peers = {}\n[caller]\nlisten = {caller}\n[operator]\nlisten = {operator}\n\
         [platform]\naddress = {platform}\n",
        first_peers.join(", ")
    );
    let settings = Settings::parse(&format!("{name}.ini"), &text)?;
    let server = Server::start(settings).map_err(|report| format!("{name}: {report:?}"))?;
    Ok(Vm {
        name: name.to_string(),
        server,
        caller,
        operator,
    })
}

/// Returns a loopback address whose port is currently free for both TCP and UDP.
fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn wait_until_ready(vm: &Vm) -> Result<(), Box<dyn Error>> {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let caller = Client::new(vm.caller);
    while !caller.get("/ready").is_ok_and(|reply| reply.is_success()) {
        if Instant::now() > deadline {
            return Err(format!("{}: is not ready", vm.name).into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Declares a resource and returns the revision that contains it.
fn put(operator: &Client, kind: &str, spec: &Value) -> Result<u64, Box<dyn Error>> {
    let name = spec["name"].as_str().unwrap_or_default();
    let path = format!("/v1/resources/{kind}/{name}");
    let reply = operator.call("PUT", &path, &[], spec.to_string())?;
    let revision = reply.body["revision"].as_u64();
    revision.ok_or_else(|| format!("{path}: status {}: {}", reply.status, reply.text).into())
}
