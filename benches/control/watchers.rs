//! Watches the configuration revision of every VM through its operator endpoint.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use geraniummount_test_support::client::Client;
use geraniummount_test_support::fleet::Fleet;

const WATCH_TIMEOUT_MS: u64 = 1_000;

/// Revision that a VM reported, and when.
#[derive(Clone, Copy)]
struct Observation {
    vm: usize,
    revision: u64,
    at: Instant,
}

/// Watch threads, one for each VM. Dropping it stops them.
pub struct Watchers {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    observations: Receiver<Observation>,
    /// Latest observation of each VM.
    latest: Mutex<Vec<Observation>>,
}

impl Watchers {
    /// Starts a watch on each running VM.
    pub fn start(fleet: &Fleet) -> Watchers {
        let stopped = Arc::new(AtomicBool::new(false));
        let (sender, observations) = mpsc::channel();
        let mut threads = Vec::new();
        for (index, vm) in fleet.running().enumerate() {
            let (address, sender, stopped) = (vm.operator, sender.clone(), Arc::clone(&stopped));
            threads.push(thread::spawn(move || {
                watch(index, address, &sender, &stopped)
            }));
        }
        let at = Instant::now();
        let first = (0..threads.len()).map(|vm| Observation {
            vm,
            revision: 0,
            at,
        });
        Watchers {
            stopped,
            latest: Mutex::new(first.collect()),
            threads,
            observations,
        }
    }

    /// Waits until all VMs have reached a revision. Returns the time at which the last one reported
    /// it, or `None` after `limit`.
    pub fn wait_for(&self, revision: u64, limit: Duration) -> Option<Instant> {
        let deadline = Instant::now() + limit;
        let mut latest = self
            .latest
            .lock()
            .expect("no thread panicked while holding the lock");
        while latest
            .iter()
            .any(|observation| observation.revision < revision)
        {
            let left = deadline.saturating_duration_since(Instant::now());
            let observation = self.observations.recv_timeout(left).ok()?;
            latest[observation.vm] = observation;
        }
        latest.iter().map(|observation| observation.at).max()
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // A failed watch already makes `wait_for` time out.
            let _ = thread.join();
        }
    }
}

fn watch(vm: usize, address: SocketAddr, observations: &Sender<Observation>, stopped: &AtomicBool) {
    let client = Client::new(address);
    let mut revision = 0;
    while !stopped.load(Ordering::Acquire) {
        let path = format!("/v1/resources?watch={revision}&wait_ms={WATCH_TIMEOUT_MS}");
        let Ok(reply) = client.get(&path) else {
            continue;
        };
        let new_revision = reply.body["revision"].as_u64().unwrap_or(revision);
        if new_revision > revision {
            revision = new_revision;
            let at = Instant::now();
            // The receiver is gone once the watchers are dropped.
            let _ = observations.send(Observation { vm, revision, at });
        }
    }
}
