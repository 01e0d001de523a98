//! Stand-in for leaves.
//!
//! A leaf answers health requests and runs the others. One that is cut off from a VM neither answers
//! it nor runs its requests: the bytes do not arrive.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;

/// What all leaves share.
#[derive(Clone)]
pub struct Leaves {
    record: Record,
    /// VMs that reach no leaf.
    cut: Arc<Mutex<HashSet<IpAddr>>>,
}

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
        }
    }

    /// Sets the VMs that reach no leaf.
    pub fn set_cut(&self, vms: &[IpAddr]) {
        *self.cut.lock().expect("the cut") = vms.iter().copied().collect();
    }

    fn is_cut(&self, vm: IpAddr) -> bool {
        self.cut.lock().expect("the cut").contains(&vm)
    }

    /// Starts a leaf that works for a time on each request.
    pub fn start(&self, id: &str, zone: &str, service: &str, work: Duration) -> Leaf {
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
                let (leaves, leaf) = (leaves.clone(), served.clone());
                thread::spawn(move || leaves.serve(&leaf, stream, work));
            }
        });
        leaf
    }

    fn serve(&self, leaf: &Leaf, stream: TcpStream, work: Duration) {
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
            self.record.add(&format!("run request={id} leaf={} path={path} vm={vm}", leaf.id));
            thread::sleep(work);
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
            if connection.respond(200, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }
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
