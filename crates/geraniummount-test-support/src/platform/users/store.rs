//! Stand-in for the users' key-value store: reads of one key, paged range reads, watches, writes and
//! leases.
//!
//! A revision is the number of the store's changes so far. The era is the number of times that the
//! store has come back from an older copy of itself; all answers state it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::contents::{Item, State, no_events};
use super::entrance::Entrance;
use super::query::Query;
use super::server::Server;
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

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

/// Contents of a store at an earlier moment.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    items: BTreeMap<String, Item>,
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
