//! Runs callers that send requests to the gateways and check each reply.
//!
//! A caller has one request in flight at a time and reuses its connection until the gateway closes
//! it. A separate thread probes which version of the routes each gateway applies.
//!
//! The signature is the text in a leaf's answer by which the leaf identifies itself and the request
//! that it answers. A search is a query whose parts run on one leaf of each shard.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::Options;
use super::catalog::{Catalog, lock};
use super::cluster::Cluster;
use super::crash;
use super::exchange::{Exchange, Outcome};
use super::kind::{self, Kind};
use super::proxied_leaf::{Identity, RECORD_BYTES};
use super::tenant;
use crate::platform::users::caller::{Reply, Request};

/// Maximum number of records in the reply to a search.
pub const SEARCH_TOP_K: usize = 10;

/// Time after the deadline of a request for which a caller still waits for the reply.
const REPLY_GRACE: Duration = Duration::from_secs(3);

/// Mean delay between a reply and the next request of a caller.
const MEAN_REQUEST_DELAY: Duration = Duration::from_millis(25);

/// Interval between two rounds of version probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// A check whether a gateway applies a version of the routes.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Index of the gateway.
    pub vm: usize,
    /// The version whose marker route was requested.
    pub version: u64,
    /// When the probe was sent.
    pub at: Instant,
    /// Whether the gateway has the route; `None` if it did not respond or responded with 503.
    pub found: Option<bool>,
}

/// The requests and version probes of a run, with their outcomes.
#[derive(Debug, Default)]
pub struct History {
    /// Requests of all callers; those of one caller are in order.
    pub requests: Vec<Exchange>,
    /// Version probes, in order.
    pub probes: Vec<Probe>,
}

/// The running threads of all callers and of the version prober.
pub struct Callers {
    /// Tells all threads to end.
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
    prober: JoinHandle<Vec<Probe>>,
    /// Repeats the request that crashes leaves, if the run has one.
    crasher: Option<JoinHandle<()>>,
}

/// One caller.
struct Caller {
    name: String,
    rng: StdRng,
    /// Addresses on which the gateways accept callers.
    gateways: Vec<SocketAddr>,
    catalog: Arc<Catalog>,
    /// The idle connection and the index of its gateway.
    connection: Option<(usize, TcpStream)>,
    /// Number of requests sent, from which the request ids are formed.
    sent: u64,
}

impl Callers {
    /// Starts the callers of a cluster and the version prober.
    pub fn start(options: &Options, cluster: &Cluster) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let gateways: Vec<SocketAddr> = cluster.vms.iter().map(|vm| vm.caller_address).collect();
        let all_gateways = gateways.clone();
        let callers = (0..options.callers).map(|number| {
            let mut caller = Caller {
                name: format!("c{number}"),
                rng: StdRng::seed_from_u64(options.seed ^ (number as u64 + 1) << 32),
                gateways: gateways.clone(),
                catalog: Arc::clone(&cluster.catalog),
                connection: None,
                sent: 0,
            };
            let stop = Arc::clone(&stop);
            thread::spawn(move || caller.run(&stop))
        });
        let callers = callers.collect();
        let (catalog, stopping) = (Arc::clone(&cluster.catalog), Arc::clone(&stop));
        let prober = thread::spawn(move || probe_versions(&gateways, &catalog, &stopping));
        let crasher = options.has_crashes.then(|| {
            let (gateways, stopping) = (all_gateways, Arc::clone(&stop));
            let fields = cluster.steady_fields();
            let end = cluster.started_at + options.fault_duration;
            thread::spawn(move || crash::repeat(&gateways, &stopping, end, &fields))
        });
        Callers {
            stop,
            callers,
            prober,
            crasher,
        }
    }

    /// Stops the callers after their current request and returns the history of the run.
    pub fn stop(self) -> History {
        self.stop.store(true, Ordering::Release);
        if let Some(crasher) = self.crasher {
            crasher.join().expect("the crasher thread panicked");
        }
        let callers = self.callers.into_iter();
        let requests = callers.map(|caller| caller.join().expect("a caller thread panicked"));
        History {
            requests: requests.flatten().collect(),
            probes: self.prober.join().expect("the prober thread panicked"),
        }
    }
}

/// Returns whether a gateway serves each kind of request, sent with these header fields.
pub fn is_serving(gateway: SocketAddr, fields: &str) -> bool {
    Kind::ALL.iter().all(|kind| {
        let request = kind.request("warm-up", b"x");
        let reply =
            connect(gateway).and_then(|mut stream| request.exchange_with(fields, &mut stream));
        reply.is_ok_and(|reply| reply.status == 200)
    })
}

/// Probes each gateway for the newest written version until `stop` is set.
fn probe_versions(gateways: &[SocketAddr], catalog: &Catalog, stop: &AtomicBool) -> Vec<Probe> {
    let mut probes = Vec::new();
    while !stop.load(Ordering::Acquire) {
        for (vm, gateway) in gateways.iter().enumerate() {
            let Some((version, _)) = lock(&catalog.versions).last().copied() else {
                continue;
            };
            let at = Instant::now();
            let request = Request {
                path: &format!("/v{version}/"),
                ..Kind::Lookup.request("look", b"")
            };
            let reply = connect(*gateway).and_then(|mut stream| request.exchange(&mut stream));
            let found = match reply {
                Ok(reply) if reply.status == 503 => None,
                Ok(reply) => Some(reply.status != 404),
                Err(_) => None,
            };
            probes.push(Probe {
                vm,
                version,
                at,
                found,
            });
        }
        thread::sleep(PROBE_INTERVAL);
    }
    probes
}

impl Caller {
    fn run(&mut self, stop: &AtomicBool) -> Vec<Exchange> {
        let mut requests = Vec::new();
        while !stop.load(Ordering::Acquire) {
            requests.push(self.request());
            thread::sleep(MEAN_REQUEST_DELAY.mul_f64(self.rng.random_range(0.2..1.8)));
        }
        requests
    }

    fn request(&mut self) -> Exchange {
        self.sent += 1;
        let kind = Kind::ALL[self.rng.random_range(0..Kind::ALL.len())];
        let id = format!("{}-{}", self.name, self.sent);
        let body = match kind {
            Kind::Order => format!("order {id}").into_bytes(),
            Kind::Search | Kind::Lookup => Vec::new(),
        };
        let tenants = lock(&self.catalog.tenants);
        let key = tenants.as_ref().map(|all| all.draw_key(&mut self.rng));
        drop(tenants);
        let sent_at = Instant::now();
        let (vm, outcome) = self.send(kind, &id, &body, key.as_deref());
        Exchange {
            id,
            kind,
            vm,
            key,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        }
    }

    /// Sends a request over the idle connection or a new one; returns the gateway and the outcome.
    fn send(&mut self, kind: Kind, id: &str, body: &[u8], key: Option<&str>) -> (usize, Outcome) {
        let idle = self.connection.take();
        let (vm, mut stream) = match idle {
            Some(idle) => idle,
            None => {
                let vm = self.rng.random_range(0..self.gateways.len());
                match connect(self.gateways[vm]) {
                    Ok(stream) => (vm, stream),
                    Err(_) => return (vm, Outcome::NoConnection),
                }
            }
        };
        // The gateway has to replace the tenant that the caller names.
        let fields = key.map(|key| format!("Tenant: other\r\n{}", tenant::fields(key)));
        let fields = fields.unwrap_or_default();
        let reply = match kind.request(id, body).exchange_with(&fields, &mut stream) {
            Ok(reply) => reply,
            Err(error) => return (vm, failure_outcome(&error)),
        };
        if !reply.closes_connection() {
            self.connection = Some((vm, stream));
        }
        if !(200..300).contains(&reply.status) {
            return (vm, Outcome::Status(reply.status));
        }
        let fault = match kind {
            Kind::Search => self.search_reply_fault(&reply, id),
            Kind::Lookup | Kind::Order => self.leaf_reply_fault(kind, &reply, id, body),
        };
        let outcome = fault.map_or(Outcome::Status(reply.status), Outcome::WrongReply);
        (vm, outcome)
    }

    /// Returns what is wrong with a reply that one leaf gave, if anything.
    fn leaf_reply_fault(&self, kind: Kind, reply: &Reply, id: &str, body: &[u8]) -> Option<String> {
        let Some(leaf) = reply
            .signature()
            .and_then(|signature| self.signer(signature, id))
        else {
            return Some("the reply has no signature of a known leaf for this request".to_string());
        };
        let (service, expected) = match kind {
            Kind::Order => ("orders", body),
            Kind::Search | Kind::Lookup => ("lookup", leaf.records.as_slice()),
        };
        if leaf.service != service {
            return Some(format!(
                "the reply is from a leaf of service {}",
                leaf.service
            ));
        }
        (reply.body != expected)
            .then(|| "the body differs from the body that the leaf sends".to_string())
    }

    /// Returns what is wrong with the reply to a search, if anything.
    fn search_reply_fault(&self, reply: &Reply, id: &str) -> Option<String> {
        let signatures = reply.part_signatures();
        let parts: Vec<Option<Identity>> = signatures
            .iter()
            .map(|signature| self.signer(signature, id))
            .collect();
        let Some(parts) = parts.into_iter().collect::<Option<Vec<Identity>>>() else {
            return Some(format!(
                "not every signature is of a known leaf for this request: {signatures:?}"
            ));
        };
        let mut services: Vec<&str> = parts.iter().map(|leaf| leaf.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        let shard_count = shard_count(&self.catalog);
        if services.len() != parts.len()
            || reply.missing_shards() != shard_count.checked_sub(parts.len())
        {
            return Some(format!(
                "{} of {shard_count} parts, duplicated or with a wrong missing count: {services:?}",
                parts.len()
            ));
        }
        (reply.body != greatest_records(&parts))
            .then(|| "the body does not have the greatest records of its parts".to_string())
    }

    /// Returns the leaf that signed a reply, or `None` if it is unknown or the signature is for
    /// another request.
    fn signer(&self, signature: &str, id: &str) -> Option<Identity> {
        let (leaf, request) = signature.split_once('.')?;
        let leaves = lock(&self.catalog.leaves);
        let mut leaves = leaves.iter().filter(|_| request == id);
        leaves.find(|identity| identity.id == leaf).cloned()
    }
}

/// Returns the number of shards with at least one started leaf.
fn shard_count(catalog: &Catalog) -> usize {
    let leaves = lock(&catalog.leaves);
    let shards = leaves
        .iter()
        .filter(|leaf| leaf.service.starts_with("shard-"));
    let mut names: Vec<&str> = shards.map(|leaf| leaf.service.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.len()
}

/// Returns the greatest [`SEARCH_TOP_K`] records of all parts, computed by sorting them all.
fn greatest_records(parts: &[Identity]) -> Vec<u8> {
    let records = parts
        .iter()
        .flat_map(|leaf| leaf.records.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = records.collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(SEARCH_TOP_K);
    records.concat()
}

/// Returns the outcome of a request whose exchange failed with an error.
fn failure_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::TimedOut,
        io::ErrorKind::InvalidData => Outcome::WrongReply(error.to_string()),
        _ => Outcome::ConnectionLost,
    }
}

pub(super) fn connect(gateway: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&gateway, kind::REQUEST_DEADLINE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(kind::REQUEST_DEADLINE + REPLY_GRACE))?;
    Ok(stream)
}
