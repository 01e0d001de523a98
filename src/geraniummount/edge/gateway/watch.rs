//! Keeps routes and leaves up to date from the platform's store.
//!
//! A thread reads all keys, then waits for changes, with one call for both
//! kinds. Where the history is gone it reads all keys again. While the store
//! is away, what was known last stays in force.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use rand::RngExt;

use super::options::Options;
use super::update::{Sender, Update};
use crate::core::poll_schedule::{self, PollSchedule};
use crate::core::store_cache::StoreCache;
use crate::platform::{self, Error, Events, Store, Waited};
use crate::prelude::*;

/// Longest wait for a change in one call.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The thread's state.
struct Watcher {
    store: Store,
    /// Connection that shows whether the watch is told of changes.
    probe: Store,
    sender: Sender,
    feed: StoreCache,
    /// Version of the routes that were sent last.
    version: Option<u64>,
    pace: PollSchedule,
    /// Whether anything was published.
    known: bool,
    lost_at: Option<Instant>,
}

/// What an answer of the store changed.
#[derive(Clone, Copy, Debug, Default)]
struct Changes {
    routes: bool,
    leaves: bool,
}

/// Starts the thread.
pub(super) fn start(options: &Options, sender: &Sender) -> io::Result<()> {
    let watcher = Watcher {
        store: Store::new(options.store),
        probe: Store::new(options.store),
        sender: sender.clone(),
        feed: StoreCache::default(),
        version: None,
        pace: PollSchedule::new(options.leaving, options.apply),
        known: false,
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

    /// Notes that a key changed.
    fn note(&mut self, key: &str) {
        self.routes |= key == platform::DOCUMENT_KEY;
        self.leaves |= key.starts_with(platform::ENTRY_PREFIX);
    }

    fn any(self) -> bool {
        self.routes || self.leaves
    }
}

impl Watcher {
    /// Ends when the event loop has ended.
    fn run(mut self) {
        loop {
            let result = match self.feed.as_of() {
                None => self.read_all(),
                Some(revision) => self.wait(revision),
            };
            match result {
                Ok(changes) => {
                    self.regained();
                    if !self.publish(changes) {
                        return;
                    }
                    if changes.any() {
                        self.known = true;
                        thread::sleep(self.pace.delay_after_change());
                    }
                }
                Err(Error::Compacted) => {
                    info!("store event=compacted action=read-all");
                    self.feed.clear_as_of();
                }
                Err(error) => self.lost(&error),
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
        if self.feed.replace(records, as_of) {
            return Ok(Changes::ALL);
        }
        Err(Error::Malformed(format!(
            "revision {as_of} is older than what is known"
        )))
    }

    fn wait(&mut self, revision: Revision) -> Result<Changes, Error> {
        let events = self.next_events(revision)?;
        let mut changes = Changes::default();
        for event in events.events {
            match event {
                platform::Event::Written(item) => {
                    let key = item.key.clone();
                    if self.feed.put(item.key, item.revision, item.value) {
                        changes.note(&key);
                    }
                }
                platform::Event::Removed { key, revision } => {
                    if self.feed.remove(&key, revision) {
                        changes.note(&key);
                    }
                }
            }
        }
        self.feed.advance(events.as_of);
        Ok(changes)
    }

    /// Waits for changes, and gives the watch up where it should have been told
    /// of some.
    fn next_events(&mut self, revision: Revision) -> Result<Events, Error> {
        let mut watch = self.store.watch(platform::ALL_KEYS, revision, WATCH_WAIT)?;
        loop {
            watch = match watch.wait(poll_schedule::WATCH_PROBE_INTERVAL)? {
                Waited::Answered(events) => return Ok(events),
                Waited::Waiting(watch) => watch,
            };
            match self.probe.recent_revision() {
                Ok(stored) if self.feed.is_behind(stored) => {}
                Ok(_) => continue,
                Err(error) => {
                    debug!("store event=no-revision error=\"{error}\"");
                    continue;
                }
            }
            return match watch.wait(poll_schedule::WATCH_ANSWER_TIMEOUT)? {
                Waited::Answered(events) => Ok(events),
                Waited::Waiting(_) => Err(Error::Silent),
            };
        }
    }

    /// Sends what changed; returns whether the event loop still runs.
    fn publish(&mut self, changes: Changes) -> bool {
        let runs = !changes.routes || self.publish_routes();
        runs && (!changes.leaves || self.publish_leaves())
    }

    /// Sends the routes, if their version is newer than any before.
    fn publish_routes(&mut self) -> bool {
        let Some((revision, value)) = self.feed.get(platform::DOCUMENT_KEY) else {
            return true;
        };
        let table = match platform::document::read(value) {
            Ok(table) => table,
            Err(error) => {
                warn!("routes revision={revision} outcome=kept-last error=\"{error}\"");
                return true;
            }
        };
        if self.version.is_some_and(|version| table.version <= version) {
            return true;
        }
        self.version = Some(table.version);
        info!(
            "routes revision={revision} version={} outcome=read",
            table.version
        );
        self.sender.send(Update::Table(table))
    }

    fn publish_leaves(&mut self) -> bool {
        let mut instances = Vec::new();
        let keys = self.feed.iter();
        for (key, value) in keys.filter(|(key, _)| key.starts_with(platform::ENTRY_PREFIX)) {
            match platform::entry::read(key, value) {
                Ok(instance) => instances.push(instance),
                Err(error) => warn!("leaf key={key} outcome=ignored error=\"{error}\""),
            }
        }
        self.sender.send(Update::Leaves(instances))
    }

    /// Pauses after a failed call. What changed around it may never be told,
    /// so all keys are read again.
    fn lost(&mut self, error: &Error) {
        self.feed.clear_as_of();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!("store event=lost error=\"{error}\"");
        }
        let spread = rand::rng().random_range(0.0..1.0);
        thread::sleep(self.pace.on_failure(self.known, spread));
    }

    fn regained(&mut self) {
        self.pace.on_success();
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = lost_at.elapsed().as_millis();
            info!("store event=regained away_ms={away_ms}");
        }
    }
}
