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
use super::kind::{self, Kind};
use super::known::{Known, lock};
use super::member::{Identity, RECORD_BYTES};
use super::request::{Outcome, Sent};
use super::world::World;
use crate::platform::users::caller::{Reply, Request};

/// Records in the answer of a search.
pub const TOP: usize = 10;

/// How much longer it listens.
const LISTENS: Duration = Duration::from_secs(3);

/// Mean pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);

/// Pause between two looks at which version is in force.
const LOOK: Duration = Duration::from_millis(100);

/// A look at which version a gateway has.
#[derive(Clone, Copy, Debug)]
pub struct Look {
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
pub struct Seen {
    /// Requests, of each caller in order.
    pub requests: Vec<Sent>,
    /// Looks, in order.
    pub looks: Vec<Look>,
}

/// Running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Sent>>>,
    looking: JoinHandle<Vec<Look>>,
}

/// One caller.
struct Caller {
    name: String,
    random: StdRng,
    gateways: Vec<SocketAddr>,
    known: Arc<Known>,
    /// The connection that it keeps, with the gateway.
    connection: Option<(usize, TcpStream)>,
    sent: u64,
}

impl Callers {
    /// Starts callers of a world.
    pub fn start(options: &Options, world: &World) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let gateways: Vec<SocketAddr> = world.vms.iter().map(|vm| vm.callers).collect();
        let callers = (0..options.callers).map(|number| {
            let mut caller = Caller {
                name: format!("c{number}"),
                random: StdRng::seed_from_u64(options.seed ^ (number as u64 + 1) << 32),
                gateways: gateways.clone(),
                known: Arc::clone(&world.known),
                connection: None,
                sent: 0,
            };
            let stop = Arc::clone(&stop);
            thread::spawn(move || caller.run(&stop))
        });
        let callers = callers.collect();
        let (known, stopping) = (Arc::clone(&world.known), Arc::clone(&stop));
        let looking = thread::spawn(move || look(&gateways, &known, &stopping));
        Callers {
            stop,
            callers,
            looking,
        }
    }

    /// Lets them finish; returns what they saw.
    pub fn stop(self) -> Seen {
        self.stop.store(true, Ordering::Release);
        let callers = self.callers.into_iter();
        let requests = callers.map(|caller| caller.join().expect("a caller panicked"));
        Seen {
            requests: requests.flatten().collect(),
            looks: self.looking.join().expect("the looking thread panicked"),
        }
    }
}

/// Returns whether a gateway serves each kind of request.
pub fn serves(gateway: SocketAddr) -> bool {
    Kind::ALL.iter().all(|kind| {
        let request = kind.request("warm-up", b"x");
        let answer = connect(gateway).and_then(|mut stream| request.exchange(&mut stream));
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

/// Looks again and again which version is in force at each gateway.
fn look(gateways: &[SocketAddr], known: &Known, stop: &AtomicBool) -> Vec<Look> {
    let mut looks = Vec::new();
    while !stop.load(Ordering::Acquire) {
        for (vm, gateway) in gateways.iter().enumerate() {
            let Some((version, _)) = lock(&known.versions).last().copied() else {
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
            looks.push(Look {
                vm,
                version,
                at,
                found,
            });
        }
        thread::sleep(LOOK);
    }
    looks
}

impl Caller {
    fn run(&mut self, stop: &AtomicBool) -> Vec<Sent> {
        let mut requests = Vec::new();
        while !stop.load(Ordering::Acquire) {
            requests.push(self.request());
            thread::sleep(PAUSE.mul_f64(self.random.random_range(0.2..1.8)));
        }
        requests
    }

    fn request(&mut self) -> Sent {
        self.sent += 1;
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        let id = format!("{}-{}", self.name, self.sent);
        let body = match kind {
            Kind::Order => format!("order {id}").into_bytes(),
            Kind::Search | Kind::Lookup => Vec::new(),
        };
        let sent = Instant::now();
        let (vm, outcome) = self.send(kind, &id, &body);
        Sent {
            id,
            kind,
            vm,
            sent,
            ended: Instant::now(),
            outcome,
        }
    }

    /// Sends a request over the connection that is kept, or a new one.
    fn send(&mut self, kind: Kind, id: &str, body: &[u8]) -> (usize, Outcome) {
        let kept = self.connection.take();
        let (vm, mut stream) = match kept {
            Some(kept) => kept,
            None => {
                let vm = self.random.random_range(0..self.gateways.len());
                match connect(self.gateways[vm]) {
                    Ok(stream) => (vm, stream),
                    Err(_) => return (vm, Outcome::NoConnection),
                }
            }
        };
        let answer = match kind.request(id, body).exchange(&mut stream) {
            Ok(answer) => answer,
            Err(error) => return (vm, ending(&error)),
        };
        if !answer.closes_connection() {
            self.connection = Some((vm, stream));
        }
        if !(200..300).contains(&answer.status) {
            return (vm, Outcome::Status(answer.status));
        }
        let fault = match kind {
            Kind::Search => self.search_fault(&answer, id),
            Kind::Lookup | Kind::Order => self.forward_fault(kind, &answer, id, body),
        };
        let outcome = fault.map_or(Outcome::Status(answer.status), Outcome::Wrong);
        (vm, outcome)
    }

    /// What is wrong with the answer of one leaf.
    fn forward_fault(&self, kind: Kind, answer: &Reply, id: &str, body: &[u8]) -> Option<String> {
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
    fn search_fault(&self, answer: &Reply, id: &str) -> Option<String> {
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
        let shards = shards(&self.known);
        if services.len() != parts.len()
            || answer.missing_shards() != shards.checked_sub(parts.len())
        {
            return Some(format!("{} of {shards} parts: {services:?}", parts.len()));
        }
        (answer.body != greatest(&parts)).then(|| "not the greatest records".to_string())
    }

    /// The leaf that signed an answer to a request.
    fn signer(&self, signature: &str, id: &str) -> Option<Identity> {
        let (leaf, request) = signature.split_once('.')?;
        let leaves = lock(&self.known.leaves);
        let mut leaves = leaves.iter().filter(|_| request == id);
        leaves.find(|identity| identity.id == leaf).cloned()
    }
}

fn shards(known: &Known) -> usize {
    let leaves = lock(&known.leaves);
    let shards = leaves
        .iter()
        .filter(|leaf| leaf.service.starts_with("shard-"));
    let mut names: Vec<&str> = shards.map(|leaf| leaf.service.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.len()
}

/// The greatest records of all parts, by a plain sort.
fn greatest(parts: &[Identity]) -> Vec<u8> {
    let records = parts
        .iter()
        .flat_map(|leaf| leaf.records.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = records.collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(TOP);
    records.concat()
}

fn ending(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::Silence,
        io::ErrorKind::InvalidData => Outcome::Wrong(error.to_string()),
        _ => Outcome::Cut,
    }
}

fn connect(gateway: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&gateway, kind::DEADLINE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(kind::DEADLINE + LISTENS))?;
    Ok(stream)
}
