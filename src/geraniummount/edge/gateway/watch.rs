//! Keeps the routes and the list of leaves up to date from the store of the platform, which the
//! users run.
//!
//! A thread reads all keys and then watches them for changes; one watch covers both the routes and
//! the leaves. If the store no longer has the history that the watch needs, the thread reads all
//! keys again. While the leaves change faster than the watch delivers the changes, the thread reads
//! the leaves again and again, and watches only the routes in between. While the store is
//! unreachable, the last known routes and leaves stay in force.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use prometheus::IntGauge;
use rand::RngExt;

use super::options::Options;
use super::registrations::Registrations;
use super::update::{Sender, Update};
use crate::core::freshness::Freshness;
use crate::core::poll_schedule::{self, PollSchedule};
use crate::core::store_cache::{AnswerEra, StoreCache};
use crate::core::store_sync::{Step, StoreSync};
use crate::platform::{self, Error, Events, Item, Store, WatchStatus};
use crate::prelude::*;

/// Time for which the store holds a watch call open while nothing changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// Time in which the store has to answer a watch for the routes once its wait is over.
const ROUTES_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

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

    const LEAVES: Changes = Changes {
        routes: false,
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
            let step = self.store_sync.next(self.store_cache.as_of());
            let result = match step {
                Step::ReadAll(freshness) => self.read_all(freshness),
                Step::ReadLeaves => self.read_leaves(),
                Step::Watch(revision) => self.wait_for_changes(revision),
            };
            let result = result.and_then(|changes| self.on_changes(changes, step));
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
                }
                Err(error) => self.on_store_failure(&error),
            }
        }
    }

    /// Publishes what a step changed, and pauses before the next step if more changes may arrive
    /// meanwhile. Returns whether the event loop is still running.
    fn on_changes(&mut self, changes: Changes, step: Step) -> Result<bool, Error> {
        self.on_store_available();
        if !self.publish(changes) {
            return Ok(false);
        }
        if !changes.any() {
            return Ok(true);
        }
        self.has_published = true;
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

    /// Reads all keys.
    fn read_all(&mut self, freshness: Freshness) -> Result<Changes, Error> {
        let (items, as_of) = self.read_under(platform::ALL_KEYS, freshness)?;
        if freshness == Freshness::Outdated && self.store_cache.is_newer_than(as_of) {
            return self.read_all(Freshness::Current);
        }
        if !self.store_cache.replace(records(items), as_of) {
            return Err(outdated(as_of));
        }
        self.routes_as_of = as_of;
        Ok(Changes::ALL)
    }

    /// Reads the registrations of all leaves, and all keys if the leaves have stopped changing
    /// faster than a watch delivers the changes.
    fn read_leaves(&mut self) -> Result<Changes, Error> {
        let prefix = platform::REGISTRATION_PREFIX;
        let (items, as_of) = match self.read_recent(prefix)? {
            Some(read) => read,
            None => self.read_under(prefix, Freshness::Current)?,
        };
        if !self
            .store_cache
            .replace_under(prefix, records(items), as_of)
        {
            return Err(outdated(as_of));
        }
        if self.store_sync.on_read(as_of) {
            info!("store event=caught-up revision={as_of}");
            self.is_behind.set(0);
            self.store_cache.clear_as_of();
        }
        Ok(Changes::LEAVES)
    }

    /// Reads the keys with a prefix at the lower price of outdated data. Returns `None` if the data
    /// may be too old.
    fn read_recent(&mut self, prefix: &str) -> Result<Option<(Vec<Item>, Revision)>, Error> {
        let min_revision = self.store_sync.min_read_revision();
        let (items, as_of) = self.read_under(prefix, Freshness::Outdated)?;
        if as_of < min_revision || self.store_cache.is_newer_than(as_of) {
            debug!("store event=too-old revision={as_of} wanted={min_revision}");
            return Ok(None);
        }
        Ok(Some((items, as_of)))
    }

    /// Reads the keys with a prefix, page by page. Returns them with the lowest revision at
    /// which a page was read: later changes may be missing.
    fn read_under(
        &mut self,
        prefix: &str,
        freshness: Freshness,
    ) -> Result<(Vec<Item>, Revision), Error> {
        let mut page = self.store.range(prefix, None, freshness)?;
        self.check_era(page.era)?;
        let mut as_of = page.as_of;
        let mut items = page.items;
        while page.truncated {
            let Some(last) = items.last() else { break };
            let after = last.key.clone();
            page = self.store.range(prefix, Some(&after), freshness)?;
            self.check_era(page.era)?;
            as_of = as_of.min(page.as_of);
            items.append(&mut page.items);
        }
        Ok((items, as_of))
    }

    /// Waits for changes after a revision and applies them to the cache.
    fn wait_for_changes(&mut self, revision: Revision) -> Result<Changes, Error> {
        let events = self.next_events(revision)?;
        self.check_era(events.era)?;
        let (count, as_of) = (events.events.len(), events.as_of);
        let changes = self.apply_events(events);
        self.store_cache.advance(as_of);
        self.routes_as_of = as_of;
        if self.store_sync.on_changes(count, as_of) {
            info!("store event=behind changes={count} revision={as_of}");
            self.is_behind.set(1);
        }
        Ok(changes)
    }

    /// Watches the routes, and publishes their changes at once, until the leaves have to be read
    /// again. Returns whether the event loop is still running.
    fn watch_routes(&mut self) -> Result<bool, Error> {
        let spread = rand::rng().random_range(0.0..1.0);
        let end = Instant::now() + self.poll_schedule.delay_between_reads(spread);
        loop {
            let wait = end.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                self.store_sync.on_pause(self.routes_as_of);
                return Ok(true);
            }
            let watch = self
                .store
                .watch(platform::DOCUMENT_KEY, self.routes_as_of, wait)?;
            let WatchStatus::Answered(events) = watch.wait(wait + ROUTES_ANSWER_TIMEOUT)? else {
                return Err(Error::StalledWatch);
            };
            self.check_era(events.era)?;
            self.routes_as_of = events.as_of;
            let changes = self.apply_events(events);
            if !self.publish(changes) {
                return Ok(false);
            }
        }
    }

    /// Applies changes to the cache; returns what they changed.
    fn apply_events(&mut self, events: Events) -> Changes {
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
        changes
    }

    /// Checks that an answer is of the era of the cached data.
    fn check_era(&mut self, era: Option<Era>) -> Result<(), Error> {
        match self.store_cache.observe_era(era) {
            AnswerEra::Current => Ok(()),
            AnswerEra::Newer => Err(Error::Restored),
            AnswerEra::Older => Err(Error::Malformed(
                "it is from before the store came back from an older copy".to_string(),
            )),
        }
    }

    /// Requires that all keys are read again, because changes may have been missed.
    fn clear_as_of(&mut self) {
        self.store_cache.clear_as_of();
        self.store_sync.reset();
        self.is_behind.set(0);
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
                Ok((era, stored)) => match self.store_cache.observe_era(era) {
                    AnswerEra::Newer => return Err(Error::Restored),
                    AnswerEra::Current if self.store_cache.is_behind(stored) => {}
                    AnswerEra::Current | AnswerEra::Older => continue,
                },
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
        let (version, in_force) = (table.version, self.routes_version);
        if let Some(in_force) = in_force.filter(|in_force| version <= *in_force) {
            if version < in_force {
                warn!("routes revision={revision} version={version} outcome=kept-last");
            }
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
        let instances = self.registrations.update(&self.store_cache);
        let era = self.store_cache.era();
        self.sender.send(Update::Leaves(instances, era))
    }

    /// Waits with backoff after a failed call. Changes around the failure may never be reported, so
    /// all keys are read again.
    fn on_store_failure(&mut self, error: &Error) {
        self.clear_as_of();
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

/// Returns what the cache keeps of items.
fn records(items: Vec<Item>) -> impl Iterator<Item = (String, Revision, Vec<u8>)> {
    let items = items.into_iter();
    items.map(|item| (item.key, item.revision, item.value))
}

/// Returns the error for a read that is older than the cached data.
fn outdated(as_of: Revision) -> Error {
    Error::Malformed(format!(
        "revision {as_of} is older than the last known revision"
    ))
}
