//! Keeps the routes and the list of leaves up to date from the store of the platform, which the
//! users run.
//!
//! A thread reads all keys and then watches them for changes; one watch covers both the routes and
//! the leaves. If the store no longer has the history that the watch needs, the thread reads all
//! keys again. While the leaves change faster than the watch delivers the changes, the thread reads
//! the leaves again and again, and watches only the routes and the evacuations of failure domains in
//! between. While the store is
//! unreachable, the last known routes and leaves stay in force.

mod key_requirement;
mod peers;
mod steps;

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use prometheus::IntGauge;
use rand::RngExt;

use self::key_requirement::KeyRequirement;
use self::peers::Registration;
use super::key_lease;
use super::options::Options;
use super::registrations::Registrations;
use super::update::{Sender, Update};
use crate::core::fingerprint::{self, Fingerprint};
use crate::core::store::cache::StoreCache;
use crate::core::store::freshness::Freshness;
use crate::core::store::poll_schedule::PollSchedule;
use crate::core::store::sync::{Step, StoreSync};
use crate::edge::quarantine;
use crate::platform::{self, Error, Store};
use crate::prelude::*;

/// State of the thread that watches the store.
struct Watcher {
    store: Store,
    /// Second connection, over which the store's revision (the position of its last change) is read
    /// to detect that the watch has missed changes.
    revision_store: Store,
    sender: Sender,
    /// Last known keys and values of the store, and the revision up to which all changes are known.
    store_cache: StoreCache,
    /// Decides between watching for changes and reading the leaves.
    store_sync: StoreSync,
    /// Revision up to which all changes to the routes are known.
    routes_as_of: Revision,
    /// Registrations of the leaves, parsed.
    registrations: Registrations,
    /// Metric: whether the leaves change faster than a watch delivers the changes.
    is_behind: IntGauge,
    /// Evacuated failure domains that were last published, sorted.
    evacuated: Vec<DomainName>,
    /// Version of the routes that were last published, that is, sent to the event loop.
    routes_version: Option<u64>,
    /// Fingerprint of the document of these routes.
    routes_fingerprint: Fingerprint,
    /// Delays between the calls to the store.
    poll_schedule: PollSchedule,
    /// Whether any routes or leaves have been published.
    has_published: bool,
    /// When the store became unavailable; `None` while it is available.
    lost_at: Option<Instant>,
    /// Registration of this VM for requests of other VMs; `None` if it takes no part.
    registration: Option<Registration>,
    /// Whether a configuration has had a list of tenants.
    key_requirement: KeyRequirement,
    /// Whether the event loop is told how new the routes are, as keys need confirmation.
    confirms_keys: bool,
    /// Revision up to which all changes to the routes are certainly known, until the event loop is
    /// told.
    confirmed_as_of: Option<Revision>,
}

/// What a response of the store changed.
#[derive(Clone, Copy, Debug, Default)]
struct Changes {
    routes: bool,
    leaves: bool,
    quarantine: bool,
    peers: bool,
    evacuations: bool,
    /// Whether keys changed that concern none of these.
    others: bool,
    /// Whether the response was a list of keys that is not complete.
    is_incomplete: bool,
}

/// Starts the thread that watches the store.
pub(super) fn start(options: &Options, sender: &Sender, is_behind: &IntGauge) -> io::Result<()> {
    let watcher = Watcher {
        store: Store::new(options.store),
        revision_store: Store::new(options.store),
        sender: sender.clone(),
        store_cache: StoreCache::default(),
        store_sync: StoreSync::default(),
        routes_as_of: 0,
        registrations: Registrations::default(),
        is_behind: is_behind.clone(),
        evacuated: Vec::new(),
        routes_version: None,
        routes_fingerprint: Fingerprint::default(),
        poll_schedule: PollSchedule::new(options.leaving, options.apply.min(options.evacuate)),
        has_published: false,
        lost_at: None,
        registration: Registration::new(options),
        key_requirement: KeyRequirement::default(),
        confirms_keys: options.revoke.is_some(),
        confirmed_as_of: None,
    };
    let thread = thread::Builder::new().name("store".to_string());
    thread.spawn(move || watcher.run())?;
    Ok(())
}

impl Changes {
    const ALL: Changes = Changes {
        routes: true,
        leaves: true,
        quarantine: true,
        peers: true,
        evacuations: true,
        others: false,
        is_incomplete: false,
    };

    const LEAVES: Changes = Changes {
        routes: false,
        leaves: true,
        quarantine: false,
        peers: false,
        evacuations: false,
        others: false,
        is_incomplete: false,
    };

    /// Returns the same changes, found in a list of keys that is not complete.
    fn incomplete(self) -> Changes {
        Changes {
            is_incomplete: true,
            ..self
        }
    }

    /// Records that a key changed.
    fn record_key(&mut self, key: &str) {
        let is_routes = key == platform::DOCUMENT_KEY || key == platform::KEYS_REQUIRED_KEY;
        self.routes |= is_routes;
        let is_leaf = key.starts_with(platform::REGISTRATION_PREFIX);
        self.leaves |= is_leaf;
        let is_quarantine = key == platform::QUARANTINE_KEY;
        self.quarantine |= is_quarantine;
        let is_peer = key.starts_with(platform::PEER_PREFIX);
        self.peers |= is_peer;
        let is_evacuation = key.starts_with(platform::EVACUATION_PREFIX);
        self.evacuations |= is_evacuation;
        let is_known = is_routes || is_leaf || is_quarantine || is_peer || is_evacuation;
        self.others |= !is_known;
    }

    fn any(self) -> bool {
        let is_operators = self.routes || self.evacuations;
        is_operators || self.leaves || self.quarantine || self.peers || self.others
    }
}

impl Watcher {
    /// Runs until the event loop has ended.
    fn run(mut self) {
        // Without this, the thread would call a store that is away, or has no changes, forever.
        while self.sender.is_open() {
            let step = self.store_sync.next(self.store_cache.as_of());
            let began = Instant::now();
            let result = match step {
                Step::ReadAll(freshness) => self.read_all(freshness),
                Step::ReadLeaves => self.read_leaves(),
                Step::Watch(revision) => self.wait_for_changes(revision),
            };
            let result = result.and_then(|changes| self.on_changes(changes, step, began.elapsed()));
            match result {
                Ok(true) => {}
                Ok(false) => return,
                // The store no longer has the history that the watch needs.
                Err(Error::Compacted) => {
                    info!("store event=compacted action=read-all");
                    self.clear_as_of();
                }
                Err(Error::Restored) => {
                    let era = self.store_cache.era();
                    warn!("store event=restored era={era} action=read-all");
                    self.clear_as_of();
                    self.confirmed_as_of = None;
                    if !self.send_keys(key_lease::Event::Restored(era)) {
                        return;
                    }
                }
                Err(error) => self.on_store_failure(&error, began.elapsed()),
            }
        }
    }

    /// Publishes what a step changed that took the time `took`, and pauses before the next step if
    /// more changes may arrive meanwhile. Returns whether the event loop is still running.
    fn on_changes(&mut self, changes: Changes, step: Step, took: Duration) -> Result<bool, Error> {
        if changes.is_incomplete {
            return self.publish_incomplete(changes);
        }
        self.on_store_available();
        if !self.publish(changes) || !self.publish_progress() {
            return Ok(false);
        }
        self.register()?;
        self.record_key_requirement()?;
        if !changes.any() {
            thread::sleep(self.poll_schedule.delay_without_change(took));
            return Ok(true);
        }
        self.has_published |= changes.routes || changes.leaves;
        match step {
            Step::ReadLeaves => self.watch_routes(),
            // The next read shows what the full answer does not contain.
            Step::Watch(_) if self.store_sync.is_behind() => Ok(true),
            // The watch shows what the read does not contain.
            Step::ReadAll(Freshness::Outdated) => Ok(true),
            Step::ReadAll(Freshness::Current) | Step::Watch(_) => {
                thread::sleep(self.poll_schedule.delay_after_change());
                Ok(true)
            }
        }
    }

    /// Publishes what a list of keys changed that is not complete. The list then counts as a failed
    /// read, and is read again after a delay. Returns whether the event loop is still running.
    fn publish_incomplete(&mut self, changes: Changes) -> Result<bool, Error> {
        if !self.publish(changes) {
            return Ok(false);
        }
        self.has_published = true;
        Err(Error::Incomplete)
    }

    /// Requires that all keys are read again, because changes may have been missed.
    fn clear_as_of(&mut self) {
        self.store_cache.clear_as_of();
        self.store_sync.reset();
        self.is_behind.set(0);
    }

    /// Publishes what changed; returns whether the event loop is still running.
    fn publish(&mut self, changes: Changes) -> bool {
        // A VM that starts knows what to withhold, and which domains are evacuated, before it has
        // leaves to send requests to.
        let runs = !changes.quarantine || self.publish_quarantine();
        let runs = runs && (!changes.evacuations || self.publish_evacuations());
        let runs = runs && (!changes.routes || self.publish_key_requirement());
        let runs = runs && (!changes.routes || self.publish_routes());
        // The number of VMs decides this VM's part of the limits of cold leaves.
        let runs = runs && (!changes.peers || self.publish_peers());
        runs && (!changes.leaves || self.publish_leaves())
    }

    /// Tells the event loop up to which revision the published routes include all changes; returns
    /// whether it is still running.
    fn publish_progress(&mut self) -> bool {
        let era = self.store_cache.era();
        let progress = self.confirmed_as_of.take();
        let event = progress.map(|as_of| key_lease::Event::Applied(era, as_of));
        event.is_none_or(|event| self.send_keys(event))
    }

    /// Tells the event loop how new the routes are, if keys need confirmation; returns whether it is
    /// still running.
    fn send_keys(&self, event: key_lease::Event) -> bool {
        !self.confirms_keys || self.sender.send(Update::Keys(event))
    }

    /// Publishes the routes if their version is newer than the last published one, or the same with
    /// other contents: a store that has come back from an older copy lacks the last versions, and the
    /// operator may give out their numbers again. Returns whether the event loop is still running.
    fn publish_routes(&mut self) -> bool {
        let Some((revision, value)) = self.store_cache.get(platform::DOCUMENT_KEY) else {
            return true;
        };
        let table = match platform::document::read(value) {
            Ok(table) => table,
            Err(error) => {
                warn!(
                    "routes revision={revision} outcome=kept-last error={:?}",
                    error.to_string()
                );
                return true;
            }
        };
        let (version, in_force) = (table.version, self.routes_version);
        let fingerprint = fingerprint::of([value]);
        let is_rewritten = in_force == Some(version) && fingerprint != self.routes_fingerprint;
        let kept = in_force.filter(|in_force| version <= *in_force && !is_rewritten);
        if let Some(in_force) = kept {
            if version < in_force {
                warn!("routes revision={revision} version={version} outcome=kept-last");
            }
            return true;
        }
        if table.tenants().needs_keys() {
            self.key_requirement.note(Instant::now());
        }
        self.routes_version = Some(table.version);
        self.routes_fingerprint = fingerprint;
        info!(
            "routes revision={revision} version={} outcome=read",
            table.version
        );
        self.sender.send(Update::Table(table))
    }

    /// Publishes all registered leaves; returns whether the event loop is still running.
    fn publish_leaves(&mut self) -> bool {
        let instances = self.registrations.update(&self.store_cache);
        let era = self.store_cache.era();
        self.sender.send(Update::Leaves(instances, era))
    }

    /// Publishes the evacuated failure domains if they have changed; returns whether the event loop
    /// is still running.
    fn publish_evacuations(&mut self) -> bool {
        let prefix = platform::EVACUATION_PREFIX;
        let keys = self.store_cache.iter_under(prefix).map(|(key, ..)| key);
        let domains = keys.filter_map(|key| key.strip_prefix(prefix));
        let domains = domains.filter(|domain| !domain.is_empty());
        let domains: Vec<DomainName> = domains.map(str::to_string).collect();
        if domains == self.evacuated {
            return true;
        }
        self.evacuated.clone_from(&domains);
        self.sender.send(Update::Evacuated(domains))
    }

    /// Publishes the list of requests during which leaves crashed; returns whether the event loop
    /// is still running.
    fn publish_quarantine(&mut self) -> bool {
        let value = self.store_cache.get(platform::QUARANTINE_KEY);
        let records = value.map_or(Vec::new(), |(_, value)| quarantine::decode(value));
        self.sender.send(Update::Quarantine(records))
    }

    /// Waits with backoff after a step that failed after the time `took`. Changes around the failure
    /// may never be reported, so all keys are read again.
    fn on_store_failure(&mut self, error: &Error, took: Duration) {
        self.clear_as_of();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!("store event=lost error={:?}", error.to_string());
        }
        let spread = rand::rng().random_range(0.0..1.0);
        let has_data = self.has_published;
        thread::sleep(self.poll_schedule.on_failure(has_data, spread, took));
    }

    /// Resets the backoff and logs the end of an outage.
    fn on_store_available(&mut self) {
        self.poll_schedule.on_success();
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = lost_at.elapsed().as_millis();
            info!("store event=regained away_ms={away_ms}");
        }
    }
}
