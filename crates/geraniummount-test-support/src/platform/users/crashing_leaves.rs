//! Leaves of some services that one request crashes, and that are started again after a while.

use std::time::{Duration, Instant};

use super::{Leaf, Run, Store};

/// Time from the crash of a leaf until another one is started in its place.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Leaves of some services, kept up by calls of [`CrashingLeaves::restart`].
#[derive(Debug)]
pub struct CrashingLeaves {
    /// Body of the requests that crash a leaf.
    crash_body: Vec<u8>,
    /// Records that each leaf returns.
    records: Vec<u8>,
    /// The leaves that run.
    leaves: Vec<(String, Leaf)>,
    /// Services of the leaves to start again, and when.
    starts: Vec<(Instant, String)>,
    /// Requests that crashed a leaf, one entry for each leaf.
    crashes: Vec<Run>,
}

impl CrashingLeaves {
    /// Starts and registers `count` leaves of each service.
    pub fn start(
        store: &Store,
        services: &[&str],
        count: usize,
        records: &[u8],
        crash_body: &[u8],
    ) -> CrashingLeaves {
        let mut leaves = CrashingLeaves {
            crash_body: crash_body.to_vec(),
            records: records.to_vec(),
            leaves: Vec::new(),
            starts: Vec::new(),
            crashes: Vec::new(),
        };
        for service in services {
            for _ in 0..count {
                leaves.start_leaf(store, service);
            }
        }
        leaves
    }

    /// Stops the leaves that have crashed, and starts others in the place of those that crashed a
    /// while ago.
    pub fn restart(&mut self, store: &Store) {
        let now = Instant::now();
        for (service, leaf) in std::mem::take(&mut self.leaves) {
            match leaf.crashed_by() {
                Some(crash) => {
                    self.crashes.push(crash);
                    self.starts.push((now + RESTART_DELAY, service));
                    store.remove(&leaf.key());
                }
                None => self.leaves.push((service, leaf)),
            }
        }
        for (at, service) in std::mem::take(&mut self.starts) {
            match now < at {
                true => self.starts.push((at, service)),
                false => self.start_leaf(store, &service),
            }
        }
    }

    /// Returns the requests that crashed a leaf, one entry for each leaf, in the order in which
    /// [`CrashingLeaves::restart`] found them.
    pub fn crashes(&self) -> &[Run] {
        &self.crashes
    }

    fn start_leaf(&mut self, store: &Store, service: &str) {
        let leaf = Leaf::start(store, service, "near", &self.records);
        leaf.set_crash_body(&self.crash_body);
        self.leaves.push((service.to_string(), leaf));
    }
}
