//! Contents of the stand-in store, and its answers to calls.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::leases::Leases;
use super::store::{Paging, WatchDelivery};
use crate::http::Response;

/// Maximum number of items on a page; low, because tests need ranges of several pages.
const MAX_PAGE_ITEMS: usize = 4;

/// Contents and faults of a store.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) revision: u64,
    pub(super) items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the new item, or `None` for a removal.
    pub(super) history: Vec<(u64, String, Option<Item>)>,
    /// Watches from a revision below this one get 410, as if the earlier history were discarded.
    pub(super) compacted_revision: u64,
    pub(super) era: u64,
    pub(super) leases: Leases,
    pub(super) watch_delivery: WatchDelivery,
    pub(super) paging: Paging,
    /// Status with which every call fails, during an outage.
    pub(super) error_status: Option<u16>,
    pub(super) calls: u64,
    /// Number of reads of ranges that have to be current, by prefix.
    pub(super) current_reads: BTreeMap<String, u64>,
}

/// Value of a key.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    /// Lease that holds the key; 0 if there is none.
    pub(super) lease: u64,
    /// Text of the item in answers, if it is not that of a sound one.
    pub(super) odd_text: Option<Vec<u8>>,
}

impl State {
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
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

    pub(super) fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        self.history.push((self.revision, key.to_string(), None));
    }

    /// Removes the keys of the leases whose time is over.
    pub(super) fn remove_expired(&mut self) {
        for lease in self.leases.take_expired() {
            self.remove_held(lease);
        }
    }

    pub(super) fn remove_held(&mut self, lease: u64) {
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.remove(&key);
        }
    }

    pub(super) fn grant_lease(&mut self, body: &[u8]) -> Response {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(ttl_ms) = body["ttlMs"].as_u64() else {
            return Response::empty(400);
        };
        let lease = self.leases.grant(Duration::from_millis(ttl_ms));
        Response::json(200, &json!({"lease": lease, "ttlMs": ttl_ms}))
    }

    pub(super) fn renew_lease(&mut self, lease: &str) -> Response {
        let ttl = lease.parse().ok().and_then(|id| self.leases.renew(id));
        match ttl {
            Some(ttl) => Response::json(200, &json!({"ttlMs": ttl.as_millis() as u64})),
            None => Response::empty(404),
        }
    }

    pub(super) fn end_lease(&mut self, lease: &str) -> Response {
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
    pub(super) fn write(&mut self, body: &[u8]) -> Response {
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

    pub(super) fn key(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => {
                let mut found = item.json(key);
                found["asOf"] = json!(self.revision);
                Response::json(200, &found)
            }
            None => Response::empty(404),
        }
    }

    pub(super) fn range(&self, prefix: &str, after: &str) -> Response {
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
    pub(super) fn list(&self, name: &str, entries: &[Vec<u8>], fields: &str) -> Response {
        let start = format!(r#"{{{fields}"asOf":{},"{name}":["#, self.revision);
        let entries = entries.join(&b","[..]);
        Response::new(200, [start.as_bytes(), &entries, b"]}"].concat())
            .with_header("Content-Type", "application/json")
    }

    /// Returns the response to a watch, or `None` if it has no change to deliver yet.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<Response> {
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
    pub(super) fn first_change(&self) -> Option<Response> {
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
    pub(super) fn text(&self, key: &str) -> Vec<u8> {
        let text = || self.json(key).to_string().into_bytes();
        self.odd_text.clone().unwrap_or_else(text)
    }

    pub(super) fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&self.value),
            "revision": self.revision,
            "createRev": self.revision,
            "lease": self.lease,
        })
    }
}

/// Returns the answer to a watch after whose revision nothing has changed.
pub(super) fn no_events(after: u64) -> Response {
    Response::json(200, &json!({"events": [], "asOf": after}))
}
