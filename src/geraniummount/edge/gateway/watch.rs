//! Keeps routes and leaves up to date from the platform's store.
//!
//! A thread for each of the two prefixes reads all keys, then waits for
//! changes. Where the history is gone it reads all keys again. While the store
//! is away, what was known last stays in force.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use rand::RngExt;

use super::options::Options;
use super::update::{Sender, Update};
use crate::core::feed::Feed;
use crate::core::pace::Pace;
use crate::platform::{self, Error, Store};
use crate::prelude::*;

/// Longest wait for a change in one call.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// What one thread keeps up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Topic {
    Routes,
    Leaves,
}

/// One thread's state.
struct Watcher {
    topic: Topic,
    store: Store,
    sender: Sender,
    feed: Feed,
    /// Version of the routes that were sent last.
    version: Option<u64>,
    pace: Pace,
    /// Whether anything was published.
    known: bool,
    lost_at: Option<Instant>,
}

/// Starts both threads.
pub(super) fn start(options: &Options, sender: &Sender) -> io::Result<()> {
    for topic in [Topic::Routes, Topic::Leaves] {
        let watcher = Watcher {
            topic,
            store: Store::new(options.store),
            sender: sender.clone(),
            feed: Feed::default(),
            version: None,
            pace: topic.pace(options),
            known: false,
            lost_at: None,
        };
        let thread = thread::Builder::new().name(topic.name().to_string());
        thread.spawn(move || watcher.run())?;
    }
    Ok(())
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Topic::Routes => "routes",
            Topic::Leaves => "leaves",
        }
    }

    fn pace(self, options: &Options) -> Pace {
        match self {
            Topic::Routes => Pace::of_routes(options.apply),
            Topic::Leaves => Pace::of_leaves(options.leaving),
        }
    }

    fn prefix(self) -> &'static str {
        match self {
            Topic::Routes => platform::DOCUMENT_PREFIX,
            Topic::Leaves => platform::ENTRY_PREFIX,
        }
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
                Ok(changed) => {
                    self.regained();
                    if changed && !self.publish() {
                        return;
                    }
                    if changed {
                        self.known = true;
                        thread::sleep(self.pace.after_change());
                    }
                }
                Err(Error::Compacted) => {
                    let topic = self.topic.name();
                    info!("store topic={topic} event=compacted action=read-all");
                    self.feed.restart();
                }
                Err(error) => self.lost(&error),
            }
        }
    }

    /// Reads all keys, page by page.
    fn read_all(&mut self) -> Result<bool, Error> {
        let prefix = self.topic.prefix();
        let mut page = self.store.range(prefix, None)?;
        let as_of = page.as_of;
        let mut items = page.items;
        while page.truncated {
            let Some(last) = items.last() else { break };
            let after = last.key.clone();
            page = self.store.range(prefix, Some(&after))?;
            items.append(&mut page.items);
        }
        let records = items
            .into_iter()
            .map(|item| (item.key, item.revision, item.value));
        if self.feed.replace(records, as_of) {
            return Ok(true);
        }
        Err(Error::Malformed(format!(
            "revision {as_of} is older than what is known"
        )))
    }

    fn wait(&mut self, revision: Revision) -> Result<bool, Error> {
        let events = self
            .store
            .watch(self.topic.prefix(), revision, WATCH_WAIT)?;
        let mut changed = false;
        for event in events.events {
            changed |= match event {
                platform::Event::Written(item) => {
                    self.feed.put(item.key, item.revision, item.value)
                }
                platform::Event::Removed { key, revision } => self.feed.remove(&key, revision),
            };
        }
        self.feed.advance(events.as_of);
        Ok(changed)
    }

    fn publish(&mut self) -> bool {
        match self.topic {
            Topic::Routes => self.publish_routes(),
            Topic::Leaves => self.publish_leaves(),
        }
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
        for (key, value) in self.feed.iter() {
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
        self.feed.restart();
        let topic = self.topic.name();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!("store topic={topic} event=lost error=\"{error}\"");
        }
        let spread = rand::rng().random_range(0.0..1.0);
        thread::sleep(self.pace.on_failure(self.known, spread));
    }

    fn regained(&mut self) {
        self.pace.on_answer();
        if let Some(lost_at) = self.lost_at.take() {
            let topic = self.topic.name();
            let away_ms = lost_at.elapsed().as_millis();
            info!("store topic={topic} event=regained away_ms={away_ms}");
        }
    }
}
