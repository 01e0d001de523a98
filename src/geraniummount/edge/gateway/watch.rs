//! Keeps the routes and the list of leaves up to date from the store of the platform, which the
//! users run.
//!
//! A thread reads all keys and then watches them for changes; one watch covers both the routes and
//! the leaves. If the store no longer has the history that the watch needs, the thread reads all
//! keys again. While the store is unreachable, the last known routes and leaves stay in force.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use rand::RngExt;

use super::options::Options;
use super::update::{Sender, Update};
use crate::core::poll_schedule::{self, PollSchedule};
use crate::core::store_cache::StoreCache;
use crate::platform::{self, Error, Events, Store, WatchStatus};
use crate::prelude::*;

/// Time for which the store holds a watch call open while nothing changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// State of the thread that watches the store.
struct Watcher {
    store: Store,
    /// Second connection, over which the store's revision (the position of its last change) is read
    /// to detect that the watch has missed changes.
    revision_store: Store,
    sender: Sender,
    /// Last known keys and values of the store, and the revision up to which all changes are known.
    store_cache: StoreCache,
    /// Version of the routes that were last published, that is, sent to the event loop.
    routes_version: Option<u64>,
    /// Delays between the calls to the store.
    poll_schedule: PollSchedule,
    /// Whether any routes or leaves have been published.
    has_published: bool,
    /// When the store became unavailable; `None` while it is available.
    lost_at: Option<Instant>,
}

/// What a response of the store changed.
#[derive(Clone, Copy, Debug, Default)]
struct Changes {
    routes: bool,
    leaves: bool,
}

/// Starts the thread that watches the store.
pub(super) fn start(options: &Options, sender: &Sender) -> io::Result<()> {
    let watcher = Watcher {
        store: Store::new(options.store),
        revision_store: Store::new(options.store),
        sender: sender.clone(),
        store_cache: StoreCache::default(),
        routes_version: None,
        poll_schedule: PollSchedule::new(options.leaving, options.apply),
        has_published: false,
        lost_at: None,
    };
    let thread = thread::Builder::new().name("store".to_string());
    thread.spawn(move || watcher.run())?;
    Ok(())
}

impl Changes {
    const ALL: Changes = Changes {
        routes: true,
        leaves: true,
    };

    /// Records that a key changed.
    fn record_key(&mut self, key: &str) {
        self.routes |= key == platform::DOCUMENT_KEY;
        self.leaves |= key.starts_with(platform::REGISTRATION_PREFIX);
    }

    fn any(self) -> bool {
        self.routes || self.leaves
    }
}

impl Watcher {
    /// Runs until the event loop has ended.
    fn run(mut self) {
        loop {
            let result = match self.store_cache.as_of() {
                None => self.read_all(),
                Some(revision) => self.wait_for_changes(revision),
            };
            match result {
                Ok(changes) => {
                    self.on_store_available();
                    if !self.publish(changes) {
                        return;
                    }
                    if changes.any() {
                        self.has_published = true;
                        thread::sleep(self.poll_schedule.delay_after_change());
                    }
                }
                // The store no longer has the history that the watch needs.
                Err(Error::Compacted) => {
                    info!("store event=compacted action=read-all");
                    self.store_cache.clear_as_of();
                }
                Err(error) => self.on_store_failure(&error),
            }
        }
    }

    /// Reads all keys, page by page.
    fn read_all(&mut self) -> Result<Changes, Error> {
        let mut page = self.store.range(platform::ALL_KEYS, None)?;
        let as_of = page.as_of;
        let mut items = page.items;
        while page.truncated {
            let Some(last) = items.last() else { break };
            let after = last.key.clone();
            page = self.store.range(platform::ALL_KEYS, Some(&after))?;
            items.append(&mut page.items);
        }
        let records = items
            .into_iter()
            .map(|item| (item.key, item.revision, item.value));
        if self.store_cache.replace(records, as_of) {
            return Ok(Changes::ALL);
        }
        Err(Error::Malformed(format!(
            "revision {as_of} is older than the last known revision"
        )))
    }

    /// Waits for changes after a revision and applies them to the cache.
    fn wait_for_changes(&mut self, revision: Revision) -> Result<Changes, Error> {
        let events = self.next_events(revision)?;
        let mut changes = Changes::default();
        for event in events.events {
            match event {
                platform::Event::Written(item) => {
                    let key = item.key.clone();
                    if self.store_cache.put(item.key, item.revision, item.value) {
                        changes.record_key(&key);
                    }
                }
                platform::Event::Removed { key, revision } => {
                    if self.store_cache.remove(&key, revision) {
                        changes.record_key(&key);
                    }
                }
            }
        }
        self.store_cache.advance(events.as_of);
        Ok(changes)
    }

    /// Waits for changes after a revision. While the watch is silent, this reads the store's
    /// revision over the second connection, and abandons the watch if the store has changes that
    /// the watch does not report.
    fn next_events(&mut self, revision: Revision) -> Result<Events, Error> {
        let mut watch = self
            .store
            .watch(platform::ALL_KEYS, revision, LONG_POLL_TIMEOUT)?;
        loop {
            watch = match watch.wait(poll_schedule::WATCH_PROBE_INTERVAL)? {
                WatchStatus::Answered(events) => return Ok(events),
                WatchStatus::Pending(watch) => watch,
            };
            match self.revision_store.recent_revision() {
                Ok(stored) if self.store_cache.is_behind(stored) => {}
                Ok(_) => continue,
                Err(error) => {
                    debug!("store event=no-revision error=\"{error}\"");
                    continue;
                }
            }
            return match watch.wait(poll_schedule::WATCH_ANSWER_TIMEOUT)? {
                WatchStatus::Answered(events) => Ok(events),
                WatchStatus::Pending(_) => Err(Error::StalledWatch),
            };
        }
    }

    /// Publishes what changed; returns whether the event loop is still running.
    fn publish(&mut self, changes: Changes) -> bool {
        let runs = !changes.routes || self.publish_routes();
        runs && (!changes.leaves || self.publish_leaves())
    }

    /// Publishes the routes if their version is newer than the last published one; returns whether
    /// the event loop is still running.
    fn publish_routes(&mut self) -> bool {
        let Some((revision, value)) = self.store_cache.get(platform::DOCUMENT_KEY) else {
            return true;
        };
        let table = match platform::document::read(value) {
            Ok(table) => table,
            Err(error) => {
                warn!("routes revision={revision} outcome=kept-last error=\"{error}\"");
                return true;
            }
        };
        if self
            .routes_version
            .is_some_and(|version| table.version <= version)
        {
            return true;
        }
        self.routes_version = Some(table.version);
        info!(
            "routes revision={revision} version={} outcome=read",
            table.version
        );
        self.sender.send(Update::Table(table))
    }

    /// Publishes all registered leaves; returns whether the event loop is still running.
    fn publish_leaves(&mut self) -> bool {
        let mut instances = Vec::new();
        let keys = self.store_cache.iter();
        for (key, value) in keys.filter(|(key, _)| key.starts_with(platform::REGISTRATION_PREFIX)) {
            match platform::registration::read(key, value) {
                Ok(instance) => instances.push(instance),
                Err(error) => warn!("leaf key={key} outcome=ignored error=\"{error}\""),
            }
        }
        self.sender.send(Update::Leaves(instances))
    }

    /// Waits with backoff after a failed call. Changes around the failure may never be reported, so
    /// all keys are read again.
    fn on_store_failure(&mut self, error: &Error) {
        self.store_cache.clear_as_of();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!("store event=lost error=\"{error}\"");
        }
        let spread = rand::rng().random_range(0.0..1.0);
        thread::sleep(self.poll_schedule.on_failure(self.has_published, spread));
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
