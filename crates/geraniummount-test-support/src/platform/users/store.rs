//! Stand-in for the users' key-value store: reads of one key, paged range reads, watches, writes and
//! leases.
//!
//! A revision is the number of the store's changes so far. The era is the number of times that the
//! store has come back from an older copy of itself; all answers state it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::entrance::Entrance;
use super::leases::Leases;
use super::query::Query;
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

/// Which pages reads of ranges return.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Paging {
    /// All pages, each after the key that the call names.
    #[default]
    Sound,
    /// The first page again and again.
    Repeated,
    /// Pages without items after the first one, which say that more follow.
    Empty,
    /// Pages that begin with the last item of the page before.
    Overlapping,
}

/// Which changes watches deliver.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WatchDelivery {
    /// All changes.
    #[default]
    All,
    /// No changes, neither to waiting watches nor to new ones.
    Nothing,
    /// No changes, with an answer at once.
    NothingAtOnce,
    /// The first change of all, again and again.
    First,
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
    leases: Leases,
    watch_delivery: WatchDelivery,
    paging: Paging,
    /// Status with which every call fails, during an outage.
    error_status: Option<u16>,
    calls: u64,
    /// Number of reads of ranges that have to be current, by prefix.
    current_reads: BTreeMap<String, u64>,
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
    /// Lease that holds the key; 0 if there is none.
    lease: u64,
    /// Text of the item in answers, if it is not that of a sound one.
    odd_text: Option<Vec<u8>>,
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

    /// Opens a further address of the store, which may turn away whoever uses it.
    pub fn open_entrance(&self) -> Entrance {
        let shared = Arc::clone(&self.state);
        Entrance::start(move |request| answer(&shared, request))
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        self.state.update(|state| state.put(key, value, 0));
    }

    /// Writes a key that stands as the given text in answers, at the place of the key.
    pub fn put_odd(&self, key: &str, text: &[u8]) {
        self.state.update(|state| {
            state.put(key, Vec::new(), 0);
            let item = state.items.get_mut(key).expect("it was written");
            item.odd_text = Some(text.to_vec());
            let written = item.clone();
            let (.., last) = state.history.last_mut().expect("it was recorded");
            *last = Some(written);
        });
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state.update(State::remove_expired);
        let state = self.state.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        state.items.get(key).map(|item| item.value.clone())
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.update(|state| state.remove(key));
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
            state.items.retain(|_, item| item.lease == 0);
            state.leases.clear();
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

    /// Sets which pages reads of ranges return.
    pub fn set_paging(&self, paging: Paging) {
        self.state.update(|state| state.paging = paging);
    }

    /// Sets the status with which all calls fail; `None` ends the outage.
    pub fn set_error_status(&self, error_status: Option<u16>) {
        self.state.update(|state| state.error_status = error_status);
    }

    /// Returns the number of reads of ranges so far that had to be current.
    pub fn current_reads(&self) -> u64 {
        self.state.lock().current_reads.values().sum()
    }

    /// Returns the number of reads of the ranges of a prefix so far that had to be current.
    pub fn current_reads_of(&self, prefix: &str) -> u64 {
        let state = self.state.lock();
        state.current_reads.get(prefix).copied().unwrap_or_default()
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
    let query = Query::of(request);
    let (error_status, era) = state.update(|state| {
        state.calls += 1;
        let is_range = request.path() == "/api/kv-range";
        let current = query.as_ref().filter(|query| query.is_current());
        if let Some(query) = current.filter(|_| is_range) {
            let prefix = query.text("prefix").to_string();
            *state.current_reads.entry(prefix).or_default() += 1;
        }
        state.remove_expired();
        (state.error_status, state.era)
    });
    let response = match (error_status, query) {
        (Some(status), _) => Response::empty(status),
        (None, Some(query)) => contents(state, request, &query),
        (None, None) => Response::empty(400),
    };
    response.with_header("Store-Era", era)
}

fn contents(state: &Monitor<State>, request: &Request, query: &Query) -> Response {
    match request.path() {
        "/api/kv-key" => state.lock().key(query.text("key")),
        "/api/kv-range" => state
            .lock()
            .range(query.text("prefix"), query.text("after")),
        "/api/kv-watch" => watch(state, query),
        "/api/kv-lease" => state.update(|state| state.grant_lease(&request.body)),
        "/api/kv-txn" => state.update(|state| state.write(&request.body)),
        path => match path.rsplit_once('/') {
            Some(("/api/kv-keep", lease)) => state.update(|state| state.renew_lease(lease)),
            Some(("/api/kv-lease-end", lease)) => state.update(|state| state.end_lease(lease)),
            _ => Response::empty(404),
        },
    }
}

fn watch(state: &Monitor<State>, query: &Query) -> Response {
    let after = query.number("after").unwrap_or(0);
    let wait = Duration::from_millis(query.number("waitMs").unwrap_or(0));
    let prefix = query.text("prefix");
    let until = Instant::now() + wait;
    let found = state.wait(until, |state| state.changes(prefix, after));
    found.unwrap_or_else(|| no_events(after))
}

/// Returns the answer to a watch after whose revision nothing has changed.
fn no_events(after: u64) -> Response {
    Response::json(200, &json!({"events": [], "asOf": after}))
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            value,
            revision,
            lease,
            odd_text: None,
        };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        self.history.push((self.revision, key.to_string(), None));
    }

    /// Removes the keys of the leases whose time is over.
    fn remove_expired(&mut self) {
        for lease in self.leases.take_expired() {
            self.remove_held(lease);
        }
    }

    fn remove_held(&mut self, lease: u64) {
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.remove(&key);
        }
    }

    fn grant_lease(&mut self, body: &[u8]) -> Response {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(ttl_ms) = body["ttlMs"].as_u64() else {
            return Response::empty(400);
        };
        let lease = self.leases.grant(Duration::from_millis(ttl_ms));
        Response::json(200, &json!({"lease": lease, "ttlMs": ttl_ms}))
    }

    fn renew_lease(&mut self, lease: &str) -> Response {
        let ttl = lease.parse().ok().and_then(|id| self.leases.renew(id));
        match ttl {
            Some(ttl) => Response::json(200, &json!({"ttlMs": ttl.as_millis() as u64})),
            None => Response::empty(404),
        }
    }

    fn end_lease(&mut self, lease: &str) -> Response {
        let id = lease.parse().ok().filter(|id| self.leases.end(*id));
        match id {
            Some(id) => {
                self.remove_held(id);
                Response::json(200, &json!({}))
            }
            None => Response::empty(404),
        }
    }

    /// Writes the keys of a request if its conditions are met.
    fn write(&mut self, body: &[u8]) -> Response {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let conditions = body["precondition"].as_array().cloned().unwrap_or_default();
        let is_met = |condition: &Value| {
            let item = self
                .items
                .get(condition["key"].as_str().unwrap_or_default());
            condition["revision"].as_u64() == Some(item.map_or(0, |item| item.revision))
        };
        if !conditions.iter().all(is_met) {
            return Response::json(412, &json!({"items": []}));
        }
        let puts = body["puts"].as_array().cloned().unwrap_or_default();
        for put in &puts {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains(lease) {
                return Response::empty(404);
            }
        }
        for put in &puts {
            let key = put["key"].as_str().unwrap_or_default();
            let value = put["value"].as_str().unwrap_or_default();
            let Ok(value) = STANDARD.decode(value) else {
                return Response::empty(400);
            };
            self.put(key, value, put["lease"].as_u64().unwrap_or(0));
        }
        Response::json(200, &json!({"revision": self.revision}))
    }

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
        let is_first = after.is_empty();
        let after = if self.paging == Paging::Repeated {
            ""
        } else {
            after
        };
        let is_next = |key: &str| match self.paging {
            Paging::Overlapping => key >= after,
            _ => key > after,
        };
        let items = self.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && is_next(key));
        let count = match self.paging {
            Paging::Empty if !is_first => 0,
            _ => MAX_PAGE_ITEMS,
        };
        let page = items.by_ref().take(count);
        let page: Vec<Vec<u8>> = page.map(|(key, item)| item.text(key)).collect();
        let truncated = items.next().is_some();
        self.list("items", &page, &format!(r#""truncated":{truncated},"#))
    }

    /// Returns an answer with a list; `fields` is the text of further fields.
    fn list(&self, name: &str, entries: &[Vec<u8>], fields: &str) -> Response {
        let start = format!(r#"{{{fields}"asOf":{},"{name}":["#, self.revision);
        let entries = entries.join(&b","[..]);
        Response::new(200, [start.as_bytes(), &entries, b"]}"].concat())
            .with_header("Content-Type", "application/json")
    }

    /// Returns the response to a watch, or `None` if it has no change to deliver yet.
    fn changes(&self, prefix: &str, after: u64) -> Option<Response> {
        match self.watch_delivery {
            WatchDelivery::All => {}
            WatchDelivery::Nothing => return None,
            WatchDelivery::NothingAtOnce => return Some(no_events(after)),
            WatchDelivery::First => return self.first_change(),
        }
        if after < self.compacted_revision || after > self.revision {
            return Some(Response::empty(410));
        }
        let changes = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<Vec<u8>> = changes.map(event).collect();
        (!events.is_empty()).then(|| self.list("events", &events, ""))
    }

    /// Returns an answer with the first change of all, as if it were the newest one.
    fn first_change(&self) -> Option<Response> {
        let change = self.history.first()?;
        let event = String::from_utf8_lossy(&event(change)).into_owned();
        let body = format!(r#"{{"events":[{event}],"asOf":{}}}"#, change.0);
        Some(Response::new(200, body))
    }
}

/// Returns the text of a change in answers.
fn event((revision, key, item): &(u64, String, Option<Item>)) -> Vec<u8> {
    let removal = || json!({"key": key, "revision": revision, "deleted": true});
    match item {
        Some(item) => item.text(key),
        None => removal().to_string().into_bytes(),
    }
}

impl Item {
    /// Returns the text of the item in answers with several ones.
    fn text(&self, key: &str) -> Vec<u8> {
        let text = || self.json(key).to_string().into_bytes();
        self.odd_text.clone().unwrap_or_else(text)
    }

    fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&self.value),
            "revision": self.revision,
            "createRev": self.revision,
            "lease": self.lease,
        })
    }
}
