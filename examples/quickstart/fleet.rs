//! Stand-ins and VMs of one deployment.

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

/// Failure domains of the small fleet; today's deployments have more.
const DOMAINS: usize = 2;

const VMS_PER_DOMAIN: usize = 2;

/// Patience with anything that the fleet reaches by itself.
const PATIENCE: Duration = Duration::from_secs(20);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Running stand-ins and VMs.
pub struct Fleet {
    /// VMs, each with its listeners.
    pub vms: Vec<Vm>,
    /// Leaves; dropping one ends it.
    pub leaves: Vec<Leaf>,
    sites: Vec<LeafSite>,
    // Held until the fleet stops.
    _platform: Platform,
}

/// One VM inside this process.
pub struct Vm {
    name: String,
    server: Server,
    caller: SocketAddr,
    operator: SocketAddr,
}

/// Failure domains that the small fleet has.
pub fn domains(deployment: &Deployment) -> &'static [&'static str] {
    &deployment.failure_domains[..DOMAINS]
}

impl Fleet {
    /// Starts the platform, all leaves and the VMs.
    pub fn start(deployment: &Deployment) -> Result<Fleet, Box<dyn Error>> {
        let platform = Platform::start()?;
        let mut sites = deployment.leaves(Layout::Replicas);
        for (index, site) in sites.iter_mut().enumerate() {
            site.failure_domain = domains(deployment)[index % DOMAINS].to_string();
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

    /// Declares all leaves, then all services; returns the last revision.
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
    pub fn wait_for(&self, revision: u64) -> Result<(), Box<dyn Error>> {
        let give_up = Instant::now() + PATIENCE;
        for vm in &self.vms {
            let operator = Client::new(vm.operator);
            let path = format!("/v1/resources?watch={}&wait_ms=1000", revision - 1);
            while operator.get(&path)?.body["revision"].as_u64() < Some(revision) {
                if Instant::now() > give_up {
                    return Err(format!("{}: revision {revision} is not in force", vm.name).into());
                }
            }
        }
        Ok(())
    }

    /// Client of a VM's callers' listener, each VM in turn.
    pub fn caller(&self, index: usize) -> Client {
        Client::new(self.vms[index % self.vms.len()].caller)
    }

    /// Stops all VMs gracefully, at once.
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

/// An address that is free for TCP and UDP now.
fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn wait_until_ready(vm: &Vm) -> Result<(), Box<dyn Error>> {
    let give_up = Instant::now() + PATIENCE;
    let caller = Client::new(vm.caller);
    while !caller.get("/ready").is_ok_and(|reply| reply.is_success()) {
        if Instant::now() > give_up {
            return Err(format!("{}: is not ready", vm.name).into());
        }
        std::thread::sleep(POLL_PERIOD);
    }
    Ok(())
}

/// Declares a resource; returns the revision that has it.
fn put(operator: &Client, kind: &str, spec: &Value) -> Result<u64, Box<dyn Error>> {
    let name = spec["name"].as_str().unwrap_or_default();
    let path = format!("/v1/resources/{kind}/{name}");
    let reply = operator.call("PUT", &path, &[], spec.to_string())?;
    let revision = reply.body["revision"].as_u64();
    revision.ok_or_else(|| format!("{path}: status {}: {}", reply.status, reply.text).into())
}
