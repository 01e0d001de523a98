//! Withholds requests that crash the leaves that run them, and shares with the other VMs which
//! these are.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use log::{info, warn};
use rand::RngExt;

use super::Gateway;
use super::options::Options;
use super::timers::Timer;
use super::update::{Sender, Update};
use crate::core::call::Refusal;
use crate::core::fingerprint::Fingerprint;
use crate::core::quarantine::Record;
use crate::edge::quarantine::{self, Error, Job, List, Writer};
use crate::platform::{self, Store};
use crate::prelude::*;

/// Interval between two checks whether the shared list lacks what this VM knows.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest and longest random time after which a VM adds what a list that it has read lacks. The
/// list may have been lost, and the first VM to complete it spares the others the calls.
const COMPLETION_DELAYS: (f64, f64) = (0.5, 4.0);

/// Sharing of the list with the other VMs, as the event loop knows it.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    /// Channel to the thread that writes the list; `None` until it is needed.
    jobs: Option<mpsc::Sender<Job>>,
    /// Whether the timer of the next check is set.
    is_checking: bool,
}

impl Gateway {
    /// Refuses a request that is withheld for the given time.
    pub(super) fn withhold(
        &mut self,
        caller: usize,
        id: &str,
        fingerprint: Fingerprint,
        wait: Duration,
    ) {
        let label = Refusal::Quarantined.as_str();
        info!("request id={id} fingerprint={fingerprint:032x} outcome={label} status=503");
        self.metrics.count_answer(label);
        let why = "it has not run, because leaves crashed while they ran it; come back after the \
                   time given";
        self.write_plain(caller, 503, why, Some(wait));
    }

    /// Takes in the shared list, and schedules a check whether it lacks what this VM knows.
    pub(super) fn merge_quarantine(&mut self, records: Vec<Record>) {
        let before = self.quarantine.withheld_count(self.now);
        self.quarantine
            .merge(records, quarantine::now_ms(), self.now);
        let withheld = self.quarantine.withheld_count(self.now);
        if withheld != before {
            info!("quarantine event=merged withheld={withheld}");
        }
        self.update_quarantine_metric();
        if !self.quarantine.is_empty() {
            let (shortest, longest) = COMPLETION_DELAYS;
            let delay = rand::rng().random_range(shortest..longest);
            self.check_quarantine_after(Duration::from_secs_f64(delay));
        }
    }

    /// Shares crashes that have been counted, and checks later that the list contains them.
    pub(super) fn share_crashes(&mut self) {
        self.share_quarantine();
        self.check_quarantine_after(CHECK_INTERVAL);
    }

    /// Adds to the shared list what it lacks, and forgets old requests.
    pub(super) fn check_quarantine(&mut self) {
        self.sharing.is_checking = false;
        self.quarantine.forget_old(self.now);
        self.update_quarantine_metric();
        if !self.quarantine.is_empty() || self.quarantine.has_unconfirmed() {
            self.share_quarantine();
            self.check_quarantine_after(CHECK_INTERVAL);
        }
    }

    /// Schedules a check unless one is.
    fn check_quarantine_after(&mut self, delay: Duration) {
        if !self.sharing.is_checking {
            self.sharing.is_checking = true;
            self.timers.add(self.now + delay, Timer::Quarantine);
        }
    }

    fn update_quarantine_metric(&self) {
        let withheld = self.quarantine.withheld_count(self.now);
        let withheld = i64::try_from(withheld).unwrap_or(i64::MAX);
        self.metrics.gauges.quarantined_requests.set(withheld);
    }

    /// Passes what the shared list lacks to the thread that writes it.
    pub(super) fn share_quarantine(&mut self) {
        let batch = self.quarantine.unshared(self.now);
        if !batch.is_empty() {
            self.send_quarantine_job(Job::Add(batch));
        }
    }

    /// Passes a job to the thread that writes the list, which is started if there is none.
    pub(super) fn send_quarantine_job(&mut self, job: Job) {
        if self.sharing.jobs.is_none() {
            match start(&self.options, &self.sender) {
                Ok(jobs) => self.sharing.jobs = Some(jobs),
                Err(error) => return warn!("quarantine event=not-started error=\"{error}\""),
            }
        }
        if let Some(jobs) = &self.sharing.jobs
            && jobs.send(job).is_err()
        {
            self.sharing.jobs = None;
        }
    }
}

/// Starts the thread that writes the list; returns the channel to it.
fn start(options: &Options, sender: &Sender) -> io::Result<mpsc::Sender<Job>> {
    let (jobs, receiver) = mpsc::channel();
    let list = StoredList(Store::new(options.store));
    // The event loop may have ended when an update is sent.
    let (on_read, on_claimed) = (sender.clone(), sender.clone());
    let on_read = move |records| {
        let _ = on_read.send(Update::Quarantine(records));
    };
    let on_claimed = move |fingerprint, is_granted| {
        let _ = on_claimed.send(Update::Trial(fingerprint, is_granted));
    };
    let writer = Writer::new(list, receiver, on_read, on_claimed);
    let thread = thread::Builder::new().name("quarantine".to_string());
    thread.spawn(move || writer.run())?;
    Ok(jobs)
}

/// The list in the platform's store.
struct StoredList(Store);

impl List for StoredList {
    fn read(&mut self) -> Result<(u64, Vec<u8>), Error> {
        let item = self.0.get(platform::QUARANTINE_KEY).map_err(failed)?;
        Ok(item.map_or((0, Vec::new()), |item| (item.revision, item.value)))
    }

    fn write(&mut self, version: Revision, value: &[u8]) -> Result<(), Error> {
        let key = platform::QUARANTINE_KEY;
        match self
            .0
            .put_if_unchanged(key, value, version)
            .map_err(failed)?
        {
            true => Ok(()),
            false => Err(Error::Changed),
        }
    }
}

fn failed(error: platform::Error) -> Error {
    Error::Failed(error.to_string())
}
