//! Confirms that the keys of the configuration in force may still be used: asks other VMs, reads the
//! store, and answers the questions of other VMs. `core::key_lease` decides.
//!
//! The store's revision is read first, with an answer of some bytes. If the changes up to it are not
//! in force, the watch is most often between two calls and delivers them soon. It may also hear
//! nothing for a while, or the VM may be behind ([`StoreSync`]). Once the newest confirmation has
//! reached an age, the configuration itself is therefore read to see whether it is among these
//! changes.
//!
//! [`StoreSync`]: crate::core::store::sync::StoreSync

mod reader;

use std::io;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use log::{debug, info, warn};

use self::reader::Target;
use super::datagrams::Message;
use super::timers::Timer;
use super::{Gateway, Options};
use crate::core::boot_time::BootTime;
use crate::core::key_lease::{Keys, Lease, Read, Renewal, Responder, Statement, Step};
use crate::core::tenant::Credential;
use crate::edge::boot_clock;
use crate::prelude::*;
use crate::util::h1::Request;

/// Maximum number of questions whose answers are awaited. Later answers say less than newer ones.
const MAX_QUESTIONS: usize = 8;

/// Share of the lease after which the configuration is read if the watch has not delivered the
/// changes up to the revision that was read. It is before the age at which each VM reads for itself.
const DOCUMENT_SHARE: f64 = 0.4;

/// What another thread tells about the store.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The store's revision was read.
    Read(Read),
    /// The revision of the last change of the configuration was read.
    DocumentRead(Read),
    /// All keys were read, by the thread that watches the store.
    AllRead(Read),
    /// The store could not be read.
    NotRead,
    /// The routes in force include all changes up to a revision.
    Applied(Era, Revision),
    /// The store has come back from an older copy of itself.
    Restored(Era),
}

/// Confirmation of the keys, as the event loop knows it.
#[derive(Debug)]
pub(super) struct KeyLease {
    lease: Lease,
    renewal: Renewal,
    responder: Responder,
    /// Age of a confirmation from which on the configuration is read.
    document_after: Duration,
    /// Whether the configuration is read at that age, as the changes up to the revision that was
    /// read were not in force.
    awaits_watch: bool,
    /// Channel to the thread that reads the store; `None` until it is started.
    reader: Option<mpsc::Sender<Target>>,
    /// Own questions: their numbers, whom they were sent to, and when.
    questions: Vec<(u64, VmName, BootTime)>,
    /// Earliest timer that is set.
    wake_at: Option<Instant>,
    /// Whether the lease was valid when it was last looked at.
    was_valid: bool,
}

impl KeyLease {
    /// Returns the lease of a VM; `None` if keys need no confirmation.
    pub(super) fn new(options: &Options) -> Option<KeyLease> {
        let duration = options.revoke?;
        let (name, domain) = (options.name.clone(), options.failure_domain.clone());
        Some(KeyLease {
            lease: Lease::new(duration),
            renewal: Renewal::new(name, domain, duration),
            responder: Responder::default(),
            document_after: duration.mul_f64(DOCUMENT_SHARE),
            awaits_watch: false,
            reader: None,
            questions: Vec::new(),
            wake_at: None,
            was_valid: false,
        })
    }

    /// Returns when the newest confirmation began.
    fn newest(&self) -> Option<BootTime> {
        self.lease.newest().map(|newest| newest.began)
    }

    /// Lets the thread read the store's revision, unless it is doing so, or the watch is about to
    /// deliver the changes up to the revision that was read last.
    fn read(&mut self, now: BootTime) {
        if !self.awaits_watch && self.responder.begin_read(now) {
            self.send_read(Target::Revision);
        }
    }

    /// Returns when the configuration is read, if the watch has not delivered the changes by then;
    /// `None` if none are awaited.
    fn document_at(&self, now: BootTime) -> Option<BootTime> {
        let at = || Some(self.newest()?.saturating_add(self.document_after));
        let may_count = self.awaits_watch && self.lease.is_complete();
        may_count.then(|| at().unwrap_or(now))
    }

    /// Lets the thread read the configuration, if that is due.
    fn read_document(&mut self, now: BootTime) {
        self.awaits_watch &= self.lease.has_pending();
        let is_due = self.document_at(now).is_some_and(|at| at <= now);
        if is_due && self.responder.begin_read(now) {
            self.awaits_watch = false;
            self.send_read(Target::Document);
        }
    }

    /// Returns whether a read of the store would confirm nothing now, or be turned away.
    fn is_read_useless(&self, now: BootTime) -> bool {
        !self.lease.is_complete() || self.responder.is_pausing(now)
    }

    /// Lets the thread read; a channel that is closed counts as a failed read.
    fn send_read(&mut self, target: Target) {
        let reader = self.reader.as_ref();
        if reader.is_none_or(|reader| reader.send(target).is_err()) {
            self.responder.end_read();
        }
    }

    /// Records a read of the store's revision; returns whether a newer confirmation counts now. If
    /// the changes up to that revision are not in force, the watch is awaited.
    fn on_revision(&mut self, read: Read) -> bool {
        let is_newer = self.lease.on_read(read);
        self.responder.end_read();
        self.responder.on_answered();
        self.awaits_watch = !is_newer && read.era == self.lease.era();
        is_newer
    }
}

/// Reads the clock; `None` if the system has no such clock, so that nothing is confirmed.
fn now() -> Option<BootTime> {
    match boot_clock::now() {
        Ok(now) => Some(now),
        Err(error) => {
            warn!("keys event=no-clock error=\"{error}\"");
            None
        }
    }
}

impl Gateway {
    /// Starts the thread that reads the store, if keys need confirmation.
    pub(super) fn start_key_reader(&mut self) -> io::Result<()> {
        if let Some(keys) = &mut self.keys {
            keys.reader = Some(reader::start(self.options.store, &self.sender)?);
        }
        Ok(())
    }

    /// Returns whether this VM may decide about the key of a request that was read completely. The
    /// clock is read afresh, as this process may have been suspended since the current iteration of
    /// the event loop began.
    pub(super) fn keys_of(&mut self, request: &Request, credential: Credential) -> Keys {
        let Some(keys) = &self.keys else {
            return Keys::Confirmed;
        };
        let host = request.host().unwrap_or_default();
        let is_needed = self
            .routes
            .needs_confirmed_keys(host, request.path(), credential);
        let version = self.routes.version();
        if !is_needed || now().is_some_and(|now| keys.lease.is_valid(version, now)) {
            return Keys::Confirmed;
        }
        self.log_lease_state("unconfirmed", now());
        self.renew_keys();
        Keys::Unconfirmed
    }

    /// Returns the oldest version of the configuration by which a request with a key may be handled.
    pub(super) fn required_version(&self) -> u64 {
        let lease = self.keys.as_ref().map(|keys| &keys.lease);
        lease.map_or(0, Lease::required_version)
    }

    /// Handles what another thread tells about the store.
    pub(super) fn on_keys_event(&mut self, event: Event) {
        let Some(keys) = &mut self.keys else {
            return;
        };
        let is_newer = match event {
            Event::Read(read) => keys.on_revision(read),
            Event::DocumentRead(read) => {
                keys.responder.end_read();
                keys.responder.on_answered();
                keys.lease.on_read(read)
            }
            Event::AllRead(read) => {
                keys.responder.on_answered();
                keys.lease.on_read(read)
            }
            Event::NotRead => {
                keys.responder.end_read();
                if let Some(now) = now() {
                    keys.responder.on_failure(now);
                }
                keys.renewal.on_failed(&Step::Read);
                false
            }
            Event::Applied(era, revision) => keys.lease.on_applied(era, revision),
            Event::Restored(era) => {
                keys.lease.on_era(era);
                false
            }
        };
        self.on_confirmation(is_newer);
    }

    /// Handles a question of another VM.
    pub(super) fn on_keys_question(&mut self, from: &VmName, id: u64) {
        if let (Some(keys), Some(now)) = (&mut self.keys, now()) {
            keys.responder.on_question(from.clone(), id, now);
            self.renew_keys();
        }
    }

    /// Handles the answer of another VM to a question.
    pub(super) fn on_keys_answer(&mut self, from: &VmName, id: u64, statement: Statement) {
        let version = self.routes.version();
        let Some(keys) = &mut self.keys else {
            return;
        };
        let is_answered = |question: &(u64, VmName, BootTime)| question.0 == id;
        let Some(index) = keys.questions.iter().position(is_answered) else {
            return;
        };
        let (_, asked, asked_at) = keys.questions.remove(index);
        if asked != *from {
            return;
        }
        let is_newer = keys.lease.on_statement(asked_at, statement, version);
        keys.renewal.on_failed(&Step::Ask(asked));
        self.on_confirmation(is_newer);
    }

    /// Counts and logs a newer confirmation, and does what is due next.
    fn on_confirmation(&mut self, is_newer: bool) {
        let newest = self.keys.as_ref().and_then(|keys| keys.lease.newest());
        if let Some(newest) = newest.filter(|_| is_newer) {
            let source = newest.source.as_str();
            self.metrics.count_key_confirmation(source);
            let version = self.routes.version();
            let age = now().map(|now| now.saturating_duration_since(newest.began));
            let age_ms = age.unwrap_or_default().as_millis();
            debug!("keys event=confirmed source={source} age_ms={age_ms} version={version}");
        }
        self.renew_keys();
    }

    /// Renews the lease if that is due, answers the questions of other VMs, and sets the timer. It is
    /// renewed also while the configuration has no list of tenants, as a newer one may have one.
    pub(super) fn renew_keys(&mut self) {
        let Some(now) = now() else {
            return;
        };
        self.log_lease(now);
        if let Some(keys) = &mut self.keys {
            keys.read_document(now);
        }
        if self.routes.is_known() {
            while let Some(step) = self.next_step(now) {
                self.take_step(step, now);
            }
        }
        self.answer_questions(now);
        self.schedule_keys(now);
    }

    fn next_step(&mut self, now: BootTime) -> Option<Step> {
        let keys = self.keys.as_mut()?;
        let peers = self.delegation.peers();
        let peers = peers.map(|peer| (peer.name.as_str(), peer.domain.as_str()));
        keys.renewal.next(keys.newest(), peers, now)
    }

    fn take_step(&mut self, step: Step, now: BootTime) {
        let id = match &step {
            Step::Ask(peer) => self.ask(peer, Message::AskConfirmation),
            Step::Read => None,
        };
        let Some(keys) = &mut self.keys else {
            return;
        };
        match (step, id) {
            (Step::Read, _) if keys.is_read_useless(now) => keys.renewal.on_failed(&Step::Read),
            (Step::Read, _) => keys.read(now),
            (Step::Ask(peer), Some(id)) => {
                if keys.questions.len() == MAX_QUESTIONS {
                    keys.questions.remove(0);
                }
                keys.questions.push((id, peer, now));
            }
            (step @ Step::Ask(_), None) => keys.renewal.on_failed(&step),
        }
    }

    /// Reads the store for the questions of other VMs if that is needed, and answers those that are
    /// due.
    fn answer_questions(&mut self, now: BootTime) {
        let version = self.routes.version();
        let Some(keys) = &mut self.keys else {
            return;
        };
        let newest = keys.newest();
        if keys.responder.needs_read(newest, now) && !keys.is_read_useless(now) {
            keys.read(now);
        }
        let is_pending = keys.lease.has_pending();
        let due = keys.responder.take_due(newest, is_pending, now);
        let (era, age) = (keys.lease.era(), keys.lease.age(now));
        for question in due {
            let answer = Message::Confirmation {
                version,
                era,
                age_ms: age.map(whole_millis),
            };
            self.answer(&question.from, question.id, answer);
        }
    }

    fn schedule_keys(&mut self, now: BootTime) {
        let is_known = self.routes.is_known();
        let Some(keys) = &mut self.keys else {
            return;
        };
        let renewal_at = is_known.then(|| keys.renewal.wake_at(keys.newest(), now));
        let times = renewal_at.into_iter().chain(keys.responder.wake_at());
        let next = times.chain(keys.document_at(now)).min();
        let Some(next) = next else {
            return;
        };
        let at = Instant::now() + next.saturating_duration_since(now);
        if keys.wake_at.is_none_or(|set| set <= self.now || at < set) {
            keys.wake_at = Some(at);
            self.timers.add(at, Timer::Keys);
        }
    }

    /// Handles the timer of the lease.
    pub(super) fn on_keys_timer(&mut self) {
        if let Some(keys) = &mut self.keys {
            keys.wake_at = None;
        }
        self.renew_keys();
    }

    /// Logs that the lease has ended or is valid again.
    fn log_lease(&mut self, now: BootTime) {
        let Some(keys) = &mut self.keys else {
            return;
        };
        let is_valid = keys.lease.is_valid(self.routes.version(), now);
        if is_valid == keys.was_valid {
            return;
        }
        keys.was_valid = is_valid;
        self.log_lease_state(if is_valid { "valid" } else { "ended" }, Some(now));
    }

    /// Logs an event with the age and the source of the newest confirmation.
    fn log_lease_state(&self, event: &str, now: Option<BootTime>) {
        let lease = self.keys.as_ref().map(|keys| &keys.lease);
        let newest = lease.and_then(Lease::newest);
        let source = newest.map_or("none", |newest| newest.source.as_str());
        let age = lease.and_then(|lease| lease.age(now?));
        let age_ms = age.map_or(0, whole_millis);
        let version = self.routes.version();
        info!("keys event={event} source={source} age_ms={age_ms} version={version}");
    }

    /// Updates the metric of the age of the newest confirmation.
    pub(super) fn measure_key_age(&self) {
        let age = self.keys.as_ref().and_then(|keys| keys.lease.age(now()?));
        if let Some(age) = age {
            let age_ms = i64::try_from(whole_millis(age)).unwrap_or(i64::MAX);
            self.metrics.gauges.key_confirmation_age_ms.set(age_ms);
        }
    }
}

/// Returns a time in milliseconds, rounded up so that no confirmation is taken for a newer one.
fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
