//! Stand-in for the users' key-value store: reads of one key, paged range reads and watches.
//!
//! A revision is the number of the store's changes so far. The era is the number of times that the
//! store has come back from an older copy of itself; all answers state it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::server::Server;
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

/// Maximum number of items on a page; low, because tests need ranges of several pages.
const MAX_PAGE_ITEMS: usize = 4;

/// A running stand-in, stopped when it is dropped.
#[derive(Debug)]
pub struct Store {
    state: Arc<Monitor<State>>,
    server: Server,
}

/// Which changes watches deliver.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WatchDelivery {
    /// All changes.
    #[default]
    All,
    /// No changes, neither to waiting watches nor to new ones.
    Nothing,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the new item, or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    /// Watches from a revision below this one get 410, as if the earlier history were discarded.
    compacted_revision: u64,
    era: u64,
    watch_delivery: WatchDelivery,
    /// Status with which every call fails, during an outage.
    error_status: Option<u16>,
    calls: u64,
}

/// Contents of a store at an earlier moment.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
}

impl Store {
    /// Starts an empty store.
    #[allow(clippy::new_without_default)]
    pub fn start() -> Store {
        let state: Arc<Monitor<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let server = Server::start(move |connection| serve(&shared, connection));
        Store { state, server }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        self.state.update(|state| {
            state.revision += 1;
            let revision = state.revision;
            let item = Item { value, revision };
            state.items.insert(key.to_string(), item.clone());
            state.history.push((revision, key.to_string(), Some(item)));
        });
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.update(|state| {
            state.revision += 1;
            state.items.remove(key);
            state.history.push((state.revision, key.to_string(), None));
        });
    }

    /// Closes all connections.
    pub fn disconnect_all(&self) {
        self.server.disconnect_all();
    }

    /// Compacts (discards) the history up to the current revision and closes all connections.
    pub fn compact(&self) {
        self.state
            .update(|state| state.compacted_revision = state.revision);
        self.disconnect_all();
    }

    /// Copies the contents.
    pub fn back_up(&self) -> Backup {
        let state = self.state.lock();
        Backup {
            revision: state.revision,
            items: state.items.clone(),
        }
    }

    /// Goes back to an earlier copy of the contents and closes all connections. What was written
    /// since then is lost, and its revisions are given out again.
    pub fn restore(&self, backup: &Backup) {
        self.state.update(|state| {
            state.revision = backup.revision;
            state.items = backup.items.clone();
            state
                .history
                .retain(|(revision, ..)| *revision <= backup.revision);
            state.era += 1;
        });
        self.disconnect_all();
    }

    /// Sets which changes watches deliver.
    pub fn set_watch_delivery(&self, watch_delivery: WatchDelivery) {
        self.state
            .update(|state| state.watch_delivery = watch_delivery);
    }

    /// Sets the status with which all calls fail; `None` ends the outage.
    pub fn set_error_status(&self, error_status: Option<u16>) {
        self.state.update(|state| state.error_status = error_status);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }
}

fn serve(state: &Monitor<State>, mut connection: Connection) {
    while let Ok(Some(request)) = connection.read() {
        let response = answer(state, &request);
        if connection.write(&response).is_err() {
            return;
        }
    }
}

fn answer(state: &Monitor<State>, request: &Request) -> Response {
    let (error_status, era) = state.update(|state| {
        state.calls += 1;
        (state.error_status, state.era)
    });
    let response = match error_status {
        Some(status) => Response::empty(status),
        None => contents(state, request),
    };
    response.with_header("Store-Era", era)
}

fn contents(state: &Monitor<State>, request: &Request) -> Response {
    match request.path() {
        "/api/kv-key" => state.lock().key(&query_text(request, "key")),
        "/api/kv-range" => state.lock().range(
            &query_text(request, "prefix"),
            &query_text(request, "after"),
        ),
        "/api/kv-watch" => watch(state, request),
        _ => Response::empty(404),
    }
}

/// Returns a query parameter, empty if it is absent.
fn query_text(request: &Request, name: &str) -> String {
    let query = request
        .target
        .split_once('?')
        .map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values
        .next()
        .map(|(_, value)| value.to_string())
        .unwrap_or_default()
}

fn watch(state: &Monitor<State>, request: &Request) -> Response {
    let after = request.query_number("after").unwrap_or(0);
    let wait = Duration::from_millis(request.query_number("waitMs").unwrap_or(0));
    let prefix = query_text(request, "prefix");
    let until = Instant::now() + wait;
    let found = state.wait(until, |state| state.changes(&prefix, after));
    found.unwrap_or_else(|| Response::json(200, &json!({"events": [], "asOf": after})))
}

impl State {
    fn key(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => {
                let mut found = item.json(key);
                found["asOf"] = json!(self.revision);
                Response::json(200, &found)
            }
            None => Response::empty(404),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let items = self.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Value> = items
            .by_ref()
            .take(MAX_PAGE_ITEMS)
            .map(|(key, item)| item.json(key))
            .collect();
        let truncated = items.next().is_some();
        let body = json!({"items": page, "truncated": truncated, "asOf": self.revision});
        Response::json(200, &body)
    }

    /// Returns the response to a watch, or `None` if it has no change to deliver yet.
    fn changes(&self, prefix: &str, after: u64) -> Option<Response> {
        if self.watch_delivery == WatchDelivery::Nothing {
            return None;
        }
        if after < self.compacted_revision || after > self.revision {
            return Some(Response::empty(410));
        }
        let changes = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<Value> = changes
            .map(|(revision, key, item)| match item {
                Some(item) => item.json(key),
                None => json!({"key": key, "revision": revision, "deleted": true}),
            })
            .collect();
        if events.is_empty() {
            return None;
        }
        let body = json!({"events": events, "asOf": self.revision});
        Some(Response::json(200, &body))
    }
}

impl Item {
    fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": base64(&self.value),
            "revision": self.revision,
            "createRev": self.revision,
            "lease": 0,
        })
    }
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 4];
        group[1..=chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes(group);
        for position in 0..4 {
            let letter = ALPHABET[(number >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}
