//! Callers: each sends one request after the other, over a connection that it
//! keeps as long as the gateway does.

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
use super::exchange::{Exchange, Outcome};
use super::kind::{self, Kind};
use super::proxied_leaf::{Identity, RECORD_BYTES};
use crate::platform::users::caller::{Reply, Request};

/// Records in the answer of a search.
pub const SEARCH_TOP_K: usize = 10;

/// How much longer it listens.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);

/// Mean pause between two requests of a caller.
const MEAN_REQUEST_DELAY: Duration = Duration::from_millis(25);

/// Pause between two probes at which version is in force.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// A look at which version a gateway has.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The gateway.
    pub vm: usize,
    /// The version whose route was asked for.
    pub version: u64,
    /// When.
    pub at: Instant,
    /// Whether the route was there; `None` without an answer, or with 503.
    pub found: Option<bool>,
}

/// All that callers saw.
#[derive(Debug, Default)]
pub struct History {
    /// Requests, of each caller in order.
    pub requests: Vec<Exchange>,
    /// Looks, in order.
    pub probes: Vec<Probe>,
}

/// Running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
    prober: JoinHandle<Vec<Probe>>,
}

/// One caller.
struct Caller {
    name: String,
    rng: StdRng,
    gateways: Vec<SocketAddr>,
    catalog: Arc<Catalog>,
    /// The connection that it keeps, with the gateway.
    connection: Option<(usize, TcpStream)>,
    sent: u64,
}

impl Callers {
    /// Starts callers of a cluster.
    pub fn start(options: &Options, cluster: &Cluster) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let gateways: Vec<SocketAddr> = cluster.vms.iter().map(|vm| vm.caller_address).collect();
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
        Callers {
            stop,
            callers,
            prober,
        }
    }

    /// Lets them finish; returns what they saw.
    pub fn stop(self) -> History {
        self.stop.store(true, Ordering::Release);
        let callers = self.callers.into_iter();
        let requests = callers.map(|caller| caller.join().expect("a caller panicked"));
        History {
            requests: requests.flatten().collect(),
            probes: self.prober.join().expect("the prober thread panicked"),
        }
    }
}

/// Returns whether a gateway is_serving each kind of request.
pub fn is_serving(gateway: SocketAddr) -> bool {
    Kind::ALL.iter().all(|kind| {
        let request = kind.request("warm-up", b"x");
        let answer = connect(gateway).and_then(|mut stream| request.exchange(&mut stream));
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

/// Looks again and again which version is in force at each gateway.
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
            let answer = connect(*gateway).and_then(|mut stream| request.exchange(&mut stream));
            let found = match answer {
                Ok(answer) if answer.status == 503 => None,
                Ok(answer) => Some(answer.status != 404),
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
        let sent_at = Instant::now();
        let (vm, outcome) = self.send(kind, &id, &body);
        Exchange {
            id,
            kind,
            vm,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        }
    }

    /// Sends a request over the connection that is idle_connection, or a new one.
    fn send(&mut self, kind: Kind, id: &str, body: &[u8]) -> (usize, Outcome) {
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
        let answer = match kind.request(id, body).exchange(&mut stream) {
            Ok(answer) => answer,
            Err(error) => return (vm, failure_outcome(&error)),
        };
        if !answer.closes() {
            self.connection = Some((vm, stream));
        }
        if !(200..300).contains(&answer.status) {
            return (vm, Outcome::Status(answer.status));
        }
        let fault = match kind {
            Kind::Search => self.search_reply_fault(&answer, id),
            Kind::Lookup | Kind::Order => self.leaf_reply_fault(kind, &answer, id, body),
        };
        let outcome = fault.map_or(Outcome::Status(answer.status), Outcome::WrongResponse);
        (vm, outcome)
    }

    /// What is wrong with the answer of one leaf.
    fn leaf_reply_fault(
        &self,
        kind: Kind,
        answer: &Reply,
        id: &str,
        body: &[u8],
    ) -> Option<String> {
        let Some(leaf) = answer
            .signature()
            .and_then(|signature| self.signer(signature, id))
        else {
            return Some("no signature for this request".to_string());
        };
        let (service, expected) = match kind {
            Kind::Order => ("orders", body),
            Kind::Search | Kind::Lookup => ("lookup", leaf.records.as_slice()),
        };
        if leaf.service != service {
            return Some(format!("answered by {}", leaf.service));
        }
        (answer.body != expected).then(|| "another body than the leaf's".to_string())
    }

    /// What is wrong with the answer of a search.
    fn search_reply_fault(&self, answer: &Reply, id: &str) -> Option<String> {
        let signatures = answer.part_signatures();
        let parts: Vec<Option<Identity>> = signatures
            .iter()
            .map(|signature| self.signer(signature, id))
            .collect();
        let Some(parts) = parts.into_iter().collect::<Option<Vec<Identity>>>() else {
            return Some(format!("signatures {signatures:?}"));
        };
        let mut services: Vec<&str> = parts.iter().map(|leaf| leaf.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        let shard_count = shard_count(&self.catalog);
        if services.len() != parts.len() || answer.missing() != shard_count.checked_sub(parts.len())
        {
            return Some(format!(
                "{} of {shard_count} parts: {services:?}",
                parts.len()
            ));
        }
        (answer.body != greatest_records(&parts)).then(|| "not the greatest records".to_string())
    }

    /// The leaf that signed an answer to a request.
    fn signer(&self, signature: &str, id: &str) -> Option<Identity> {
        let (leaf, request) = signature.split_once('.')?;
        let leaves = lock(&self.catalog.leaves);
        let mut leaves = leaves.iter().filter(|_| request == id);
        leaves.find(|identity| identity.id == leaf).cloned()
    }
}

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

/// The greatest records of all parts, by a plain sort.
fn greatest_records(parts: &[Identity]) -> Vec<u8> {
    let records = parts
        .iter()
        .flat_map(|leaf| leaf.records.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = records.collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(SEARCH_TOP_K);
    records.concat()
}

fn failure_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::TimedOut,
        io::ErrorKind::InvalidData => Outcome::WrongResponse(error.to_string()),
        _ => Outcome::ConnectionLost,
    }
}

fn connect(gateway: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&gateway, kind::REQUEST_DEADLINE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(kind::REQUEST_DEADLINE + RESPONSE_GRACE))?;
    Ok(stream)
}
