//! Thread that adds to the shared list what a VM has seen, and claims trials.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use log::{info, warn};
use rand::RngExt;

use super::{Error, Job, List, decode, encode, now_ms};
use crate::core::fingerprint::Fingerprint;
use crate::core::quarantine::{Claim, Record, merge_records};

/// Minimum time between two additions, which bounds the calls on the store.
const MIN_ADD_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum random delay after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum random delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of times that a claim is written. Another VM may change the list each time.
const MAX_CLAIM_WRITES: usize = 4;

/// Adds records to the shared list, one batch after the other, and claims trials meanwhile.
pub struct Writer<L, F, G> {
    list: L,
    jobs: Receiver<Job>,
    /// Called with the list after each addition and each claim.
    on_read: F,
    /// Called with the request whose trial was claimed, and whether the claim was granted.
    on_claimed: G,
    /// Records that are not added yet; empty if there are none.
    batch: Vec<Record>,
    /// Number of additions that failed since the last successful one.
    failures: u32,
    /// When the batch is added.
    next_add: Instant,
}

impl<L, F, G> Writer<L, F, G>
where
    L: List,
    F: Fn(Vec<Record>),
    G: Fn(Fingerprint, bool),
{
    /// Creates a writer of a list in the store. `on_read` is called with the list after each
    /// addition and each claim, and `on_claimed` then tells whether a claim was granted.
    pub fn new(list: L, jobs: Receiver<Job>, on_read: F, on_claimed: G) -> Writer<L, F, G> {
        Writer {
            list,
            jobs,
            on_read,
            on_claimed,
            batch: Vec::new(),
            failures: 0,
            next_add: Instant::now(),
        }
    }

    /// Runs until the channel of jobs is closed.
    pub fn run(mut self) {
        loop {
            match self.next_job() {
                Ok(Job::Add(batch)) => self.batch = batch,
                Ok(Job::Claim(claim)) => self.claim(&claim),
                Err(RecvTimeoutError::Timeout) => self.add_batch(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Waits for the next job, as long as no batch has to be added.
    fn next_job(&self) -> Result<Job, RecvTimeoutError> {
        if self.batch.is_empty() {
            return self.jobs.recv().map_err(RecvTimeoutError::from);
        }
        let wait = self.next_add.saturating_duration_since(Instant::now());
        self.jobs.recv_timeout(wait)
    }

    /// Adds the batch, or schedules the next try.
    fn add_batch(&mut self) {
        let Err(error) = self.add() else {
            self.batch.clear();
            self.failures = 0;
            self.next_add = Instant::now() + MIN_ADD_INTERVAL;
            return;
        };
        if self.failures == 0 && error != Error::Changed {
            warn!("quarantine event=not-shared action=retry error=\"{error}\"");
        }
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(8));
        let delay = backoff.min(MAX_BACKOFF);
        self.failures += 1;
        self.next_add = Instant::now() + delay.mul_f64(rand::rng().random_range(0.2..1.0));
    }

    fn add(&mut self) -> Result<(), Error> {
        let (version, value) = self.list.read()?;
        let list = decode(&value);
        let merged = merge_records(list.clone(), &self.batch, now_ms());
        if merged != list {
            self.list.write(version, &encode(&merged))?;
            info!("quarantine event=shared requests={}", merged.len());
        }
        (self.on_read)(merged);
        Ok(())
    }

    /// Claims a trial. A failed write may have been carried out, so that this VM has the trial
    /// without knowing it; the next one is then due after another pause.
    fn claim(&mut self, claim: &Claim) {
        let mut result = Err(Error::Changed);
        for _ in 0..MAX_CLAIM_WRITES {
            result = self.write_claim(claim);
            if result != Err(Error::Changed) {
                break;
            }
        }
        if let Err(error) = &result {
            let fingerprint = claim.fingerprint();
            info!("quarantine fingerprint={fingerprint:032x} event=not-claimed error=\"{error}\"");
        }
        (self.on_claimed)(claim.fingerprint(), result == Ok(true));
    }

    /// Returns whether the claim was granted.
    fn write_claim(&mut self, claim: &Claim) -> Result<bool, Error> {
        let (version, value) = self.list.read()?;
        let list = decode(&value);
        let claimed = claim.apply(list.clone(), now_ms());
        let is_granted = claimed.is_some();
        if let Some(claimed) = &claimed {
            self.list.write(version, &encode(claimed))?;
        }
        (self.on_read)(claimed.unwrap_or(list));
        Ok(is_granted)
    }
}
