//! A small deployment: a store, leaves and machines, with clients.

use crate::leaf::{Field, Leaf, Manner};
use crate::machine::{Ask, Bounds, Machine, new_id, send};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that a client has sent, and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: u64,
    pub machine: String,
    /// Status of the answer; `None` if there was no complete one.
    pub status: Option<u16>,
}

/// A small deployment.
pub struct Scene {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub field: Arc<Field>,
    pub leaves: Vec<Arc<Leaf>>,
    pub machines: Vec<Machine>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    folder: PathBuf,
}

impl Scene {
    /// Creates a deployment with a machine in each of the given zones, numbered from 1.
    pub fn new(record: &Arc<Record>, bounds: &Bounds, zones: &[&str]) -> Scene {
        let folder = std::env::temp_dir().join(format!("drill-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        let machines = zones.iter().zip(1..);
        let machines = machines
            .map(|(zone, number)| Machine::new(number, zone, store.listen(), bounds, &folder))
            .collect();
        Scene {
            record: Arc::clone(record),
            field: Field::new(Arc::clone(record)),
            store,
            leaves: Vec::new(),
            machines,
            sent: Arc::default(),
            folder,
        }
    }

    /// Starts a leaf.
    pub fn add_leaf(&mut self, manner: Manner) -> Arc<Leaf> {
        let leaf = Leaf::start(manner, &self.store, &self.field);
        self.leaves.push(Arc::clone(&leaf));
        leaf
    }

    /// Writes a configuration as the operator.
    pub fn configure(&self, document: &str) -> u64 {
        self.store.put("op/config", Some(document));
        let version = document
            .split("\"version\":")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        self.record.say(format!(
            "operator: version {} is acknowledged",
            version.unwrap_or("?")
        ))
    }

    /// Starts all machines for the first time; returns whether all are ready.
    pub fn start(&mut self) -> bool {
        for machine in &mut self.machines {
            if let Err(error) = machine.start(true) {
                self.record
                    .say(format!("{} does not start: {error}", machine.name));
                return false;
            }
        }
        let are_ready = self
            .machines
            .iter()
            .all(|machine| machine.wait_ready(Duration::from_secs(15)));
        self.record.say(format!("all machines ready: {are_ready}"));
        are_ready
    }

    /// Returns the machine with an index.
    pub fn front(&self, index: usize) -> (String, SocketAddr) {
        (
            self.machines[index].name.clone(),
            self.machines[index].front,
        )
    }

    /// Sends requests to a machine at a steady rate for a time, each over a new connection.
    pub fn load(&self, load: &Load, target: (String, SocketAddr)) -> thread::JoinHandle<()> {
        let (record, sent) = (Arc::clone(&self.record), Arc::clone(&self.sent));
        let load = load.clone();
        thread::spawn(move || {
            let began = Instant::now();
            let mut clients = Vec::new();
            let count = (load.per_second * load.time.as_secs_f64()) as u64;
            for number in 0..count {
                let due = Duration::from_secs_f64(number as f64 / load.per_second);
                thread::sleep(due.saturating_sub(began.elapsed()));
                let (record, sent) = (Arc::clone(&record), Arc::clone(&sent));
                let (load, target) = (load.clone(), target.clone());
                clients.push(thread::spawn(move || load.one(&record, &sent, &target)));
            }
            for client in clients {
                let _ = client.join();
            }
        })
    }

    /// Returns the lines of the machines' logs that contain a text.
    pub fn log_lines(&self, wanted: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for machine in &self.machines {
            let path = self.folder.join(format!("{}.log", machine.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            lines.extend(
                text.lines()
                    .filter(|line| line.contains(wanted))
                    .map(str::to_string),
            );
        }
        lines
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Requests of clients.
#[derive(Clone)]
pub struct Load {
    pub per_second: f64,
    pub time: Duration,
    pub host: String,
    pub path: String,
    pub deadline_ms: u64,
    pub key: Option<String>,
}

impl Load {
    fn one(&self, record: &Record, sent: &Mutex<Vec<Sent>>, target: &(String, SocketAddr)) {
        let id = new_id();
        let at = record.add(format!("client sends {id} to {}", target.0));
        let path = format!("{}{id}", self.path);
        let answer = send(
            target.1,
            &Ask {
                id: &id,
                method: "GET",
                host: &self.host,
                path: &path,
                deadline_ms: self.deadline_ms,
                key: self.key.as_deref(),
                body: b"",
            },
        );
        let status = answer.map(|answer| answer.status());
        let took_ms = record.now() - at;
        record.add(format!(
            "client gets {status:?} for {id} after {took_ms} ms"
        ));
        let machine = target.0.clone();
        sent.lock().unwrap().push(Sent {
            id,
            at,
            machine,
            status,
        });
    }
}

/// Returns the greatest number of times within any span of `window_ms`, and where that span begins.
pub fn most_within(mut times: Vec<u64>, window_ms: u64) -> (usize, u64) {
    times.sort_unstable();
    let spans = times.iter().enumerate().map(|(first, begin)| {
        let end = times.partition_point(|at| *at < begin + window_ms);
        (end - first, *begin)
    });
    spans.max_by_key(|(count, _)| *count).unwrap_or((0, 0))
}

/// Writes a list of services for a configuration.
pub fn services(names: &[&str]) -> String {
    let all = names
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"maxConns\":100,\"healthPath\":\"/health\"}}"));
    all.collect::<Vec<_>>().join(",")
}

/// Limits of a configuration.
pub const LIMITS: &str = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
                          \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
