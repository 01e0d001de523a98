//! Stand-in for the users' key-value store: reads, pages and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::serving::Serving;
use crate::http::{Connection, Request, Response};
use crate::monitor::Monitor;

/// Items on a page, so that tests see several.
const PAGE: usize = 4;

/// A running stand-in; dropping it closes it.
#[derive(Debug)]
pub struct Store {
    state: Arc<Monitor<State>>,
    serving: Serving,
}

/// What watches hear.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Hearing {
    /// Each change.
    #[default]
    All,
    /// Nothing, neither those that wait nor those that start.
    Nothing,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the value where it was written.
    history: Vec<(u64, String, Option<Item>)>,
    /// Changes up to here are forgotten.
    compacted: u64,
    hearing: Hearing,
    /// Status of every answer, where the store is out.
    refusal: Option<u16>,
    calls: u64,
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
        let serving = Serving::start(move |connection| serve(&shared, connection));
        Store { state, serving }
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
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

    /// Ends all connections.
    pub fn cut(&self) {
        self.serving.cut();
    }

    /// Forgets the history and ends all connections.
    pub fn compact(&self) {
        self.state.update(|state| state.compacted = state.revision);
        self.cut();
    }

    /// Sets what watches hear.
    pub fn set_hearing(&self, hearing: Hearing) {
        self.state.update(|state| state.hearing = hearing);
    }

    /// Sets the status with which all calls are refused.
    pub fn set_refusal(&self, refusal: Option<u16>) {
        self.state.update(|state| state.refusal = refusal);
    }

    /// Returns the calls so far.
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
    let refusal = state.update(|state| {
        state.calls += 1;
        state.refusal
    });
    if let Some(status) = refusal {
        return Response::empty(status);
    }
    match request.path() {
        "/api/kv-key" => state.lock().key(&text(request, "key")),
        "/api/kv-range" => state
            .lock()
            .range(&text(request, "prefix"), &text(request, "after")),
        "/api/kv-watch" => watch(state, request),
        _ => Response::empty(404),
    }
}

fn text(request: &Request, name: &str) -> String {
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
    let after = request.query("after").unwrap_or(0);
    let wait = Duration::from_millis(request.query("waitMs").unwrap_or(0));
    let prefix = text(request, "prefix");
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
            .take(PAGE)
            .map(|(key, item)| item.json(key))
            .collect();
        let truncated = items.next().is_some();
        let body = json!({"items": page, "truncated": truncated, "asOf": self.revision});
        Response::json(200, &body)
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<Response> {
        if self.hearing == Hearing::Nothing {
            return None;
        }
        if after < self.compacted {
            return Some(Response::empty(410));
        }
        let news = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<Value> = news
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

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 4];
        group[1..=chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes(group);
        for place in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}
