//! Withholds requests that crash the leaves that run them, and shares with the other VMs which these
//! are.
//!
//! One thread watches the shared list, another adds to it what this VM has seen.

use std::io;
use std::sync::mpsc::{self, Sender, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use rand::RngExt;

use super::service_request::{Mode, ServiceRequest};
use crate::core::fingerprint::{self, Fingerprint};
use crate::core::quarantine::{
    self as core_quarantine, Admission, Crash, FIRST_PAUSE, Record, UNPROVEN_CRASHES,
};
use crate::edge::platform::{Platform, PutOutcome, WatchOutcome};
use crate::edge::quarantine::{self, Error, Job, List, MAX_TRIAL_WAIT, Writer};
use crate::prelude::*;

/// Key of the list in the platform's key-value service.
const KEY: &str = "quarantine";

/// Time for which the service holds a watch open while the list does not change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after a watch that the service did not answer.
const FAILURE_DELAY: Duration = Duration::from_secs(1);

/// Longest random time after which a VM adds what a list that it has read lacks. The list may have
/// been lost, and the first VM to complete it spares the others the calls.
const MAX_COMPLETION_DELAY: Duration = Duration::from_secs(3);

/// Requests during which leaves crashed. Clones share one state.
#[derive(Clone, Debug)]
pub struct Quarantine {
    shared: Arc<Shared>,
}

/// State that the clones share.
#[derive(Debug)]
struct Shared {
    /// Name of this VM.
    vm: VmName,
    state: Mutex<core_quarantine::Quarantine>,
    /// Channel to the thread that writes the list.
    jobs: Sender<Job>,
    /// Requests that wait for a trial, each with the channel to the thread that handles it.
    claims: Mutex<Vec<(Fingerprint, SyncSender<bool>)>>,
}

impl Quarantine {
    /// Starts the threads, which end some time after the last clone is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(vm: impl Into<VmName>, platform: &Platform) -> io::Result<Quarantine> {
        let (jobs, receiver) = mpsc::channel();
        let shared = Arc::new(Shared {
            vm: vm.into(),
            state: Mutex::default(),
            jobs,
            claims: Mutex::default(),
        });
        let (read, claimed) = (Arc::downgrade(&shared), Arc::downgrade(&shared));
        let on_read = move |records| {
            if let Some(shared) = read.upgrade() {
                shared.merge(records);
            }
        };
        let on_claimed = move |fingerprint, is_granted| {
            if let Some(shared) = claimed.upgrade() {
                shared.end_claim(fingerprint, is_granted);
            }
        };
        let list = StoredList(platform.clone());
        let writer = Writer::new(list, receiver, on_read, on_claimed);
        thread::Builder::new()
            .name("quarantine-write".to_string())
            .spawn(move || writer.run())?;
        let (watched, platform) = (Arc::downgrade(&shared), platform.clone());
        thread::Builder::new()
            .name("quarantine-watch".to_string())
            .spawn(move || watch(&watched, &platform))?;
        Ok(Quarantine { shared })
    }

    /// Returns the number of crashes that are known of a request that may be sent. If its trial is
    /// due, this claims it, and waits for the answer of the service.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial if the request must not be sent.
    pub(super) fn admit(&self, fingerprint: Fingerprint) -> Result<usize, Duration> {
        let admission = self.shared.admission(fingerprint);
        match admission {
            Admission::Admitted(crashes) => Ok(crashes),
            Admission::Withheld(wait) => Err(wait),
            Admission::TrialDue => self.shared.claim(fingerprint),
        }
    }

    /// Records the leaves that crashed during a request that no leaf has answered; `age` is the time
    /// since the request arrived.
    pub(super) fn record_crashes(
        &self,
        fingerprint: Fingerprint,
        leaves: &[LeafName],
        age: Duration,
    ) {
        let now_ms = quarantine::now_ms();
        let vm = self.shared.vm.as_str();
        let crashes = leaves
            .iter()
            .map(|leaf| Crash::after(leaf, vm, age, now_ms));
        let mut state = self.shared.lock();
        let count = state.record_crashes(fingerprint, crashes, Instant::now());
        drop(state);
        let leaves = leaves.join(", ");
        info!(
            "quarantine: leaves {leaves} crashed while they ran request {fingerprint:032x}; \
             {count} crashes are known"
        );
        self.shared.share();
    }

    /// Records that a leaf has answered a request.
    pub(super) fn record_answer(&self, fingerprint: Fingerprint) {
        let now_ms = quarantine::now_ms();
        if self.shared.lock().record_answer(fingerprint, now_ms) {
            info!("quarantine: request {fingerprint:032x} was answered; its crashes are cleared");
            self.shared.share();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, core_quarantine::Quarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admission(&self, fingerprint: Fingerprint) -> Admission {
        self.lock().admission(fingerprint, Instant::now())
    }

    /// Claims the trial of a request. Returns the number of crashes that are known of it if it may be
    /// sent, else the time until the next trial.
    fn claim(&self, fingerprint: Fingerprint) -> Result<usize, Duration> {
        let claim = self.lock().claim(fingerprint, self.vm.as_str());
        let Some((claim, outcome)) = claim.zip(self.begin_claim(fingerprint)) else {
            return Err(MAX_TRIAL_WAIT);
        };
        let is_sent = self.jobs.send(Job::Claim(claim)).is_ok();
        let is_granted = is_sent && outcome.recv_timeout(MAX_TRIAL_WAIT) == Ok(true);
        self.end_claim(fingerprint, false);
        if is_granted {
            return Ok(UNPROVEN_CRASHES);
        }
        match self.admission(fingerprint) {
            Admission::Admitted(crashes) => Ok(crashes),
            Admission::Withheld(wait) => Err(wait),
            Admission::TrialDue => Err(FIRST_PAUSE),
        }
    }

    /// Returns the channel on which a claim is answered; `None` if another thread waits for one.
    fn begin_claim(&self, fingerprint: Fingerprint) -> Option<mpsc::Receiver<bool>> {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        if claims.iter().any(|(claimed, _)| *claimed == fingerprint) {
            return None;
        }
        let (sender, outcome) = mpsc::sync_channel(1);
        claims.push((fingerprint, sender));
        Some(outcome)
    }

    /// Answers a claim if a thread still waits for it.
    fn end_claim(&self, fingerprint: Fingerprint, is_granted: bool) {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        let index = claims
            .iter()
            .position(|(claimed, _)| *claimed == fingerprint);
        if let Some(index) = index {
            // The thread may have given up.
            let _ = claims.swap_remove(index).1.try_send(is_granted);
        }
    }

    fn merge(&self, records: Vec<Record>) {
        self.lock()
            .merge(records, quarantine::now_ms(), Instant::now());
    }

    /// Passes what the shared list lacks to the thread that writes it.
    fn share(&self) {
        let batch = self.lock().unshared(Instant::now());
        if !batch.is_empty() && self.jobs.send(Job::Add(batch)).is_err() {
            warn!("quarantine: the thread that shares crashes has ended; restart this process");
        }
    }
}

/// Takes in each version of the list until the last [`Quarantine`] is dropped.
fn watch(shared: &Weak<Shared>, platform: &Platform) {
    let mut version = 0;
    loop {
        let watched = platform.watch(KEY, version, LONG_POLL_TIMEOUT);
        let Some(shared) = shared.upgrade() else {
            return;
        };
        match watched {
            Some(WatchOutcome::Changed(value)) if value.version != version => {
                version = value.version;
                shared.merge(quarantine::decode(&value.body));
            }
            Some(WatchOutcome::Unchanged) => {}
            Some(WatchOutcome::Changed(_)) | None => thread::sleep(FAILURE_DELAY),
        }
        if !shared.lock().is_empty() {
            thread::sleep(MAX_COMPLETION_DELAY.mul_f64(rand::rng().random_range(0.0..1.0)));
            shared.share();
        }
    }
}

/// Returns the fingerprint of a request, which is the same for each repetition of it.
pub(super) fn fingerprint(request: &ServiceRequest) -> Fingerprint {
    let shard = match &request.mode {
        Mode::Query => "",
        Mode::Execution { shard, .. } => shard.as_str(),
    };
    let names = [request.service.name.as_str(), shard];
    let names = names.iter().map(|name| name.as_bytes());
    fingerprint::of(names.chain([request.body.as_slice()]))
}

/// The list in the platform's key-value service.
struct StoredList(Platform);

impl List for StoredList {
    fn read(&mut self) -> Result<(u64, Vec<u8>), Error> {
        let value = self.0.get(KEY);
        let value = value.ok_or_else(|| Error::Failed("no answer".to_string()))?;
        Ok((value.version, value.body))
    }

    fn write(&mut self, version: u64, value: &[u8]) -> Result<(), Error> {
        match self.0.put(KEY, version, value) {
            PutOutcome::Done(_) => Ok(()),
            PutOutcome::Mismatch => Err(Error::Changed),
            outcome => Err(Error::Failed(format!("{outcome:?}"))),
        }
    }
}
