//! Steps by which the thread follows the store: it reads keys or watches them for changes, and brings
//! the cache up to date with what it receives.

use std::thread;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use rand::RngExt;

use super::{Changes, Watcher};
use crate::core::key_lease::Read;
use crate::core::store::cache::{AnswerEra, StoreCache};
use crate::core::store::freshness::Freshness;
use crate::core::store::poll_schedule;
use crate::edge::boot_clock;
use crate::edge::gateway::key_lease;
use crate::platform::{self, Error, Events, Item, Listing, WatchStatus};
use crate::prelude::*;

/// Time for which the store holds a watch call open while nothing changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// Maximum length of the value of a registration or of an entry of a VM, some hundred bytes as a rule.
const MAX_ENTRY_BYTES: usize = 16 * 1024;

/// Time in which the store has to answer a watch for the routes once its wait is over.
const ROUTES_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Watcher {
    /// Reads all keys.
    pub(super) fn read_all(&mut self, freshness: Freshness) -> Result<Changes, Error> {
        let began = boot_clock::now()?;
        let listing = self.list(platform::ALL_KEYS, freshness)?;
        let as_of = listing.as_of;
        // While only the leaves were read, the watches for the operators' keys may have delivered
        // changes that an outdated read lacks. It would take an evacuation back.
        let is_too_old = self.store_cache.is_newer_than(as_of) || as_of < self.routes_as_of;
        if freshness == Freshness::Outdated && is_too_old {
            return self.read_all(Freshness::Current);
        }
        if !self.apply(platform::ALL_KEYS, listing)? {
            return Ok(Changes::ALL.incomplete());
        }
        self.routes_as_of = as_of;
        if freshness == Freshness::Current {
            self.confirmed_as_of = Some(as_of);
            let era = self.store_cache.era();
            // A closed channel is noticed when the changes are published.
            self.send_keys(key_lease::Event::AllRead(Read {
                began,
                era,
                revision: as_of,
            }));
        }
        Ok(Changes::ALL)
    }

    /// Reads the registrations of all leaves, and all keys if the leaves have stopped changing
    /// faster than a watch delivers the changes.
    pub(super) fn read_leaves(&mut self) -> Result<Changes, Error> {
        let prefix = platform::REGISTRATION_PREFIX;
        let listing = match self.read_recent(prefix)? {
            Some(listing) => listing,
            None => self.list(prefix, Freshness::Current)?,
        };
        let as_of = listing.as_of;
        if !self.apply(prefix, listing)? {
            return Ok(Changes::LEAVES.incomplete());
        }
        if self.store_sync.on_read(as_of) {
            info!("store event=caught-up revision={as_of}");
            self.is_behind.set(0);
            self.store_cache.clear_as_of();
        }
        Ok(Changes {
            quarantine: self.read_quarantine()?,
            ..Changes::LEAVES
        })
    }

    /// Reads the list of requests during which leaves crashed, at the lower price of outdated data;
    /// returns whether it has changed.
    fn read_quarantine(&mut self) -> Result<bool, Error> {
        let key = platform::QUARANTINE_KEY;
        let page = self.store.range(key, None, Freshness::Outdated)?;
        self.check_era(page.era)?;
        let item = page.items.into_iter().find(|item| item.key == key);
        let changed = item.map(|item| self.store_cache.put(item.key, item.revision, item.value));
        Ok(changed.unwrap_or(false))
    }

    /// Reads the keys with a prefix at the lower price of outdated data. Returns `None` if the data
    /// may be too old.
    fn read_recent(&mut self, prefix: &str) -> Result<Option<Listing>, Error> {
        let min_revision = self.store_sync.min_read_revision();
        let listing = self.list(prefix, Freshness::Outdated)?;
        let as_of = listing.as_of;
        if as_of < min_revision || self.store_cache.is_newer_than(as_of) {
            debug!("store event=too-old revision={as_of} wanted={min_revision}");
            return Ok(None);
        }
        Ok(Some(listing))
    }

    /// Reads the keys with a prefix, which have to be of the era of the cached data. Values that are
    /// not needed are dropped page by page.
    fn list(&mut self, prefix: &str, freshness: Freshness) -> Result<Listing, Error> {
        let cache = &mut self.store_cache;
        self.store.list(prefix, freshness, |page| {
            page.items.iter_mut().for_each(drop_needless_value);
            check_era(cache, page.era)
        })
    }

    /// Applies the keys with a prefix to the cache; returns whether the list is complete. What was
    /// read of one that is not complete holds, and so does what is known of the other keys.
    fn apply(&mut self, prefix: &str, listing: Listing) -> Result<bool, Error> {
        let (as_of, end) = (listing.as_of, listing.complete_to);
        let records = listing.items.into_iter();
        let records = records.map(|item| (item.key, item.revision, item.value));
        let cache = &mut self.store_cache;
        let is_applied = match (prefix, &end) {
            (platform::ALL_KEYS, None) => cache.replace(records, as_of),
            (prefix, end) => cache.replace_under(prefix, end.as_deref(), records, as_of),
        };
        match is_applied {
            true => Ok(end.is_none()),
            false => Err(Error::Malformed(format!(
                "revision {as_of} is older than the last known revision"
            ))),
        }
    }

    /// Waits for changes after a revision and applies them to the cache.
    pub(super) fn wait_for_changes(&mut self, revision: Revision) -> Result<Changes, Error> {
        let events = self.next_events(revision)?;
        self.check_era(events.era)?;
        self.record_progress(&events, revision);
        let (count, as_of) = (events.events.len(), events.as_of.max(revision));
        let changes = self.apply_events(events, revision);
        self.store_cache.advance(as_of);
        self.routes_as_of = as_of;
        if self.store_sync.on_changes(count, as_of) {
            info!("store event=behind changes={count} revision={as_of}");
            self.is_behind.set(1);
        }
        Ok(changes)
    }

    /// Watches the routes and the evacuations, and publishes their changes at once, until the leaves
    /// have to be read again. Returns whether the event loop is still running.
    pub(super) fn watch_routes(&mut self) -> Result<bool, Error> {
        let spread = rand::rng().random_range(0.0..1.0);
        let end = Instant::now() + self.poll_schedule.delay_between_reads(spread);
        loop {
            let began = Instant::now();
            let wait = end.saturating_duration_since(began);
            if wait.is_zero() {
                self.store_sync.on_pause_end(self.routes_as_of);
                return Ok(true);
            }
            let watch = self
                .store
                .watch(platform::OPERATOR_PREFIX, self.routes_as_of, wait)?;
            let WatchStatus::Answered(events) = watch.wait(wait + ROUTES_ANSWER_TIMEOUT)? else {
                return Err(Error::StalledWatch);
            };
            self.check_era(events.era)?;
            let after = self.routes_as_of;
            self.routes_as_of = events.as_of.max(after);
            self.record_progress(&events, after);
            let changes = self.apply_events(events, after);
            if !self.publish(changes) || !self.publish_progress() {
                return Ok(false);
            }
            if !changes.any() {
                let delay = self.poll_schedule.delay_without_change(began.elapsed());
                let left = end.saturating_duration_since(Instant::now());
                thread::sleep(delay.min(left));
            }
        }
    }

    /// Records up to which revision the answer to a watch for the changes after `after` is complete.
    /// One without changes proves nothing, as a watch may hear nothing for a while although keys
    /// change; neither does one that comes again.
    fn record_progress(&mut self, events: &Events, after: Revision) {
        if !events.events.is_empty() && events.as_of > after {
            self.confirmed_as_of = Some(events.as_of);
        }
    }

    /// Applies the changes after a revision to the cache; returns what they changed. An older one
    /// comes again: it may be the write of a key that has been removed since.
    fn apply_events(&mut self, events: Events, after: Revision) -> Changes {
        let mut changes = Changes::default();
        let events = events.events.into_iter();
        for event in events.filter(|event| event.revision() > after) {
            match event {
                platform::Event::Written(mut item) => {
                    drop_needless_value(&mut item);
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
        check_era(&mut self.store_cache, era)
    }

    /// Waits for changes after a revision. While the watch is silent, this reads the store's
    /// revision over the second connection, and abandons the watch if the store has changes that
    /// the watch does not report.
    fn next_events(&mut self, revision: Revision) -> Result<Events, Error> {
        let wait = self.max_watch_wait(LONG_POLL_TIMEOUT);
        let mut watch = self.store.watch(platform::ALL_KEYS, revision, wait)?;
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
                    debug!("store event=no-revision error={:?}", error.to_string());
                    continue;
                }
            }
            return match watch.wait(poll_schedule::WATCH_ANSWER_TIMEOUT)? {
                WatchStatus::Answered(events) => Ok(events),
                WatchStatus::Pending(_) => Err(Error::StalledWatch),
            };
        }
    }
}

/// Drops the value of a key of which only the name counts, or which is too long for its kind. Any
/// writer may add many keys with values of a megabyte each, more than the VM has memory.
fn drop_needless_value(item: &mut Item) {
    let is_shared_value =
        item.key == platform::DOCUMENT_KEY || item.key == platform::QUARANTINE_KEY;
    let is_entry = item.key.starts_with(platform::REGISTRATION_PREFIX)
        || item.key.starts_with(platform::PEER_PREFIX);
    if is_shared_value || (is_entry && item.value.len() <= MAX_ENTRY_BYTES) {
        return;
    }
    if is_entry {
        let (key, bytes) = (&item.key, item.value.len());
        warn!("store key={key:?} bytes={bytes} event=value-too-long action=take-as-empty");
    }
    item.value = Vec::new();
}

/// Checks that an answer is of the era of the cached data.
fn check_era(cache: &mut StoreCache, era: Option<Era>) -> Result<(), Error> {
    match cache.observe_era(era) {
        AnswerEra::Current => Ok(()),
        AnswerEra::Newer => Err(Error::Restored),
        AnswerEra::Older => Err(Error::Malformed(
            "it is from before the store came back from an older copy".to_string(),
        )),
    }
}
