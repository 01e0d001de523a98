//! Stand-in for leaves.
//!
//! A leaf answers health requests and runs the others. One that is cut off from a VM neither answers
//! it nor runs its requests: the bytes do not arrive.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;

/// A request that a leaf began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    /// Tenant that the leaf was told.
    pub tenant: Option<String>,
    /// Whether the leaf was shown the caller's key.
    pub has_key: bool,
}

/// How a leaf ends the requests that it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    Success,
    /// It has begun to work on the request, and fails with this status.
    Failure(u16),
}

/// What all leaves share.
#[derive(Clone)]
pub struct Leaves {
    record: Record,
    /// VMs that reach no leaf.
    cut: Arc<Mutex<HashSet<IpAddr>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    ending: Arc<Mutex<Ending>>,
}

/// Shortest and longest time that a leaf works on a request, in milliseconds.
pub type Work = RangeInclusive<u64>;

/// A running leaf.
#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub zone: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
}

impl Leaves {
    pub fn new(record: &Record) -> Leaves {
        Leaves {
            record: record.clone(),
            cut: Arc::default(),
            runs: Arc::default(),
            ending: Arc::new(Mutex::new(Ending::Success)),
        }
    }

    /// Returns the runs of a request.
    pub fn runs_of(&self, request: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("the runs");
        let found = runs.iter().filter(|run| run.request == request);
        found.cloned().collect()
    }

    /// Returns the requests that ran more than once.
    pub fn repeated(&self) -> HashSet<String> {
        let runs = self.runs.lock().expect("the runs");
        let mut seen = HashSet::new();
        let again = runs.iter().filter(|run| !seen.insert(&run.request));
        again.map(|run| run.request.clone()).collect()
    }

    /// Sets how the leaves end the requests that they run.
    pub fn set_ending(&self, ending: Ending) {
        *self.ending.lock().expect("the ending") = ending;
    }

    /// Sets the VMs that reach no leaf.
    pub fn set_cut(&self, vms: &[IpAddr]) {
        *self.cut.lock().expect("the cut") = vms.iter().copied().collect();
    }

    fn is_cut(&self, vm: IpAddr) -> bool {
        self.cut.lock().expect("the cut").contains(&vm)
    }

    /// Starts a leaf. It works on each request for a number of milliseconds in a range.
    pub fn start(&self, id: &str, zone: &str, service: &str, work: Work) -> Leaf {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let leaf = Leaf {
            id: id.to_string(),
            zone: zone.to_string(),
            service: service.to_string(),
            address: listener.local_addr().expect("an address"),
            slots: 64,
        };
        let (leaves, served) = (self.clone(), leaf.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (leaves, leaf, work) = (leaves.clone(), served.clone(), work.clone());
                thread::spawn(move || leaves.serve(&leaf, stream, &work));
            }
        });
        leaf
    }

    fn serve(&self, leaf: &Leaf, stream: TcpStream, work: &Work) {
        let Ok(vm) = stream.peer_addr().map(|address| address.ip()) else {
            return;
        };
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            if self.is_cut(vm) {
                while self.is_cut(vm) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let path = request.word(1).to_string();
            if path == "/health" {
                let fields = [("Instance-Id", leaf.id.as_str())];
                if connection.respond(200, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            let id = request.field("Request-Id").unwrap_or_default().to_string();
            if request.field("Expect-Instance") != Some(leaf.id.as_str()) {
                let fields = [("Request-Not-Run", "1"), ("Instance-Id", leaf.id.as_str())];
                if connection.respond(421, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            let run = Run {
                request: id.clone(),
                tenant: request.field("Tenant").map(str::to_string),
                has_key: request.field("Authorization").is_some(),
            };
            self.record.add(&format!(
                "run request={id} leaf={} path={path} vm={vm} tenant={} shows_key={}",
                leaf.id,
                run.tenant.as_deref().unwrap_or("none"),
                run.has_key
            ));
            self.runs.lock().expect("the runs").push(run);
            thread::sleep(work_on(&id, leaf, work));
            if self.is_cut(vm) {
                return;
            }
            let stamp = format!("{}.{id}", leaf.id);
            let body = format!("answer to {id} by {}", leaf.id);
            let fields = [
                ("Request-Id", id.as_str()),
                ("Server-Stamp", stamp.as_str()),
                ("Keep-Alive", "timeout=10"),
            ];
            let status = match *self.ending.lock().expect("the ending") {
                Ending::Success => 200,
                Ending::Failure(status) => status,
            };
            if connection
                .respond(status, &fields, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }
}

/// Returns the time that a leaf works on a request: one in the range, which is always the same for the
/// same request and leaf.
fn work_on(request: &str, leaf: &Leaf, work: &Work) -> Duration {
    let bytes = request.bytes().chain(leaf.id.bytes());
    let draw = bytes.fold(7u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let width = work.end() - work.start() + 1;
    Duration::from_millis(work.start() + draw % width)
}

impl Leaf {
    /// Returns the registration of the leaf.
    pub fn registration(&self, seq: u64, state: &str) -> String {
        format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","version":"v1","concurrency":{},"state":"{state}","warmupLeftMs":0,"seq":{seq},"born":1700000000000}}"#,
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Returns the key of the registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}
