//! Withholds requests that crash the leaves that run them, and shares with the other VMs which
//! these are.
//!
//! A leaf that closes the connection before its response to a request is complete counts as
//! crashed. The crashes during a call count once the call ends without an answer of any leaf: a
//! request that another leaf answers was only beside the crash.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use rand::RngExt;

use super::Gateway;
use super::calls::{Attempt, CallState};
use super::options::Options;
use super::timers::Timer;
use super::update::{Sender, Update};
use crate::core::call::{Refusal, Reply};
use crate::core::fingerprint::Fingerprint;
use crate::core::placement::ReplicaKey;
use crate::core::quarantine::{Crash, Record};
use crate::edge::quarantine::{self, Error, List, Writer};
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
    batches: Option<mpsc::Sender<Vec<Record>>>,
    /// Whether the timer of the next check is set.
    is_checking: bool,
}

impl Gateway {
    /// Records what the reply to an attempt says about its request: that the leaf has crashed, or
    /// that the request does not crash leaves.
    pub(super) fn record_crash_or_answer(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        reply: &Reply,
    ) {
        match reply {
            Reply::Disconnected => {
                let (service, key) = (&attempt.service, attempt.replica);
                if self.placement.record_crash(service, key, id, self.now) {
                    let state = &self.calls[attempt.call];
                    let crash = self.crash(service, key, state.started);
                    self.calls[attempt.call].crashes.extend(crash);
                }
            }
            Reply::Success(_) if self.calls[attempt.call].call.included_count() == 0 => {
                self.record_answer(self.calls[attempt.call].forwarded.fingerprint);
            }
            _ => {}
        }
    }

    /// Counts the crashes during a call that has ended, unless a leaf has answered its request.
    pub(super) fn count_crashes(&mut self, state: &CallState) {
        if !state.crashes.is_empty() && state.call.included_count() == 0 {
            self.record_crashes(state.forwarded.fingerprint, &state.crashes);
        }
    }

    fn record_answer(&mut self, fingerprint: Fingerprint) {
        let now_ms = quarantine::now_ms();
        if self.quarantine.record_answer(fingerprint, now_ms) {
            info!("quarantine fingerprint={fingerprint:032x} event=cleared");
            self.share_quarantine();
        }
    }

    /// Counts the crash of a leaf that still had the request of an abandoned attempt.
    pub(super) fn record_late_crash(
        &mut self,
        key: ReplicaKey,
        fingerprint: Fingerprint,
        sent_at: Instant,
    ) {
        let Some(service) = self.leaf_service(key) else {
            return;
        };
        let now = self.now;
        if self
            .placement
            .record_late_crash(&service, key, sent_at, now)
            && let Some(crash) = self.crash(&service, key, sent_at)
        {
            self.record_crashes(fingerprint, &[crash]);
        }
    }

    /// Records leaves that seem to have crashed. While this VM's links to the leaves are lost, that
    /// explains the ends of the connections.
    fn record_crashes(&mut self, fingerprint: Fingerprint, crashes: &[Crash]) {
        if self.leaf_links.is_lost() {
            return;
        }
        let added = crashes.iter().cloned();
        self.quarantine
            .record_unconfirmed(fingerprint, added, self.now);
        let leaves: Vec<&str> = crashes.iter().map(|crash| crash.leaf.as_str()).collect();
        let leaves = leaves.join(",");
        info!("quarantine fingerprint={fingerprint:032x} event=crashed leaves={leaves}");
        self.leaf_links.on_doubt(self.now);
        self.schedule_links_timer();
    }

    /// Confirms the crashes that were seen before a request was sent to which a leaf has responded.
    pub(super) fn confirm_crashes(&mut self, sent_at: Instant) {
        if !self.quarantine.has_unconfirmed() {
            return;
        }
        let confirmed = self.quarantine.confirm(sent_at, self.now);
        for (fingerprint, count) in &confirmed {
            info!("quarantine fingerprint={fingerprint:032x} event=confirmed crashes={count}");
        }
        if !confirmed.is_empty() {
            self.share_quarantine();
            self.check_quarantine_after(CHECK_INTERVAL);
        }
    }

    /// Discards the crashes that are not confirmed, as this VM's links to the leaves are lost.
    pub(super) fn discard_crashes(&mut self) {
        let discarded = self.quarantine.discard_unconfirmed();
        if discarded > 0 {
            info!("quarantine event=discarded crashes={discarded}");
        }
    }

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

    /// Adds to the shared list what it lacks, and forgets old requests.
    pub(super) fn check_quarantine(&mut self) {
        self.sharing.is_checking = false;
        self.quarantine.forget_old(self.now);
        self.update_quarantine_metric();
        if !self.quarantine.is_empty() {
            self.share_quarantine();
            self.check_quarantine_after(CHECK_INTERVAL);
        }
    }

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

    /// Passes what the shared list lacks to the thread that writes it, which is started if there is
    /// none.
    fn share_quarantine(&mut self) {
        let batch = self.quarantine.unshared(self.now);
        if batch.is_empty() {
            return;
        }
        if self.sharing.batches.is_none() {
            match start(&self.options, &self.sender) {
                Ok(batches) => self.sharing.batches = Some(batches),
                Err(error) => return warn!("quarantine event=not-started error=\"{error}\""),
            }
        }
        if let Some(batches) = &self.sharing.batches
            && batches.send(batch).is_err()
        {
            self.sharing.batches = None;
        }
    }

    /// Returns the crash, just now, of a leaf that had a request since `arrived_at`; `None` if the
    /// leaf is gone.
    fn crash(&self, service: &str, key: ReplicaKey, arrived_at: Instant) -> Option<Crash> {
        let replica = self.placement.replica(service, key)?;
        let age = self.now.saturating_duration_since(arrived_at);
        let (leaf, vm) = (replica.instance.id.as_str(), self.options.name.as_str());
        let crash = Crash::after(leaf, vm, age, quarantine::now_ms());
        Some(crash.of_run(replica.instance.started_at_ms))
    }
}

/// Starts the thread that writes the list; returns the channel to it.
fn start(options: &Options, sender: &Sender) -> io::Result<mpsc::Sender<Vec<Record>>> {
    let (batches, receiver) = mpsc::channel();
    let sender = sender.clone();
    let writer = Writer {
        list: StoredList(Store::new(options.store)),
        batches: receiver,
        on_added: move |records| {
            // The event loop may have ended.
            let _ = sender.send(Update::Quarantine(records));
        },
    };
    let thread = thread::Builder::new().name("quarantine".to_string());
    thread.spawn(move || writer.run())?;
    Ok(batches)
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
