//! Stand-in for the platform's store: reads, watches and writes of keys. It has no leases that end, as
//! no case runs for so long.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::{base64, json};

/// Maximum number of items on a page, and of events in an answer to a watch.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; `None` is a removal.
    history: Vec<(u64, String, Option<Item>)>,
    /// Number of times that the store has come back from an older copy of itself.
    era: u64,
    /// Whether the store answers all calls with 503.
    is_away: bool,
}

/// Contents of a store at an earlier moment.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.update(|state| state.put(key, value.as_bytes().to_vec()));
        self.shared.1.notify_all();
        revision
    }

    /// Copies the contents.
    pub fn copy(&self) -> Copy {
        self.update(|state| Copy {
            revision: state.revision,
            items: state.items.clone(),
        })
    }

    /// Sets whether the store answers all calls with 503.
    pub fn set_away(&self, is_away: bool) {
        self.update(|state| state.is_away = is_away);
        self.shared.1.notify_all();
    }

    /// Goes back to a copy: what was written since is lost, and its revisions are given out again.
    pub fn restore(&self, copy: &Copy) {
        self.update(|state| {
            state.revision = copy.revision;
            state.items = copy.items.clone();
            state.history.retain(|(at, ..)| *at <= copy.revision);
            state.era += 1;
        });
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.shared.0.lock().expect("the store's state"))
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let (status, body) = match self.update(|state| state.is_away) {
                true => (503, "{}".to_string()),
                false => self.answer(&request),
            };
            let era = self.update(|state| state.era).to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", &era)];
            if connection
                .respond(status, &fields, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found
                .map(|(_, value)| value.to_string())
                .unwrap_or_default()
        };
        match path {
            "/api/kv-key" => self.update(|state| state.key(&parameter("key"))),
            "/api/kv-range" => {
                self.update(|state| state.range(&parameter("prefix"), &parameter("after")))
            }
            "/api/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitMs").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, Duration::from_millis(wait))
            }
            "/api/kv-txn" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let answer = self.update(|state| state.write(&body));
                self.shared.1.notify_all();
                answer
            }
            "/api/kv-lease" => (200, r#"{"lease":1,"ttlMs":600000}"#.to_string()),
            _ => (200, "{}".to_string()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("the store's state");
        loop {
            if state.is_away {
                return (503, "{}".to_string());
            }
            if after > state.revision {
                return (410, "{}".to_string());
            }
            if let Some(answer) = state.changes(prefix, after) {
                return (200, answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (200, format!(r#"{{"events":[],"asOf":{after}}}"#));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("the store's state").0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>) -> u64 {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
        };
        self.items.insert(key.to_string(), item.clone());
        let change = (self.revision, key.to_string(), Some(item));
        self.history.push(change);
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, text(key, item)),
            None => (404, "{}".to_string()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let items = self.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = items
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| text(key, item))
            .collect();
        let truncated = items.next().is_some();
        let (page, as_of) = (page.join(","), self.revision);
        let body = format!(r#"{{"items":[{page}],"truncated":{truncated},"asOf":{as_of}}}"#);
        (200, body)
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<String> {
        let changes = self.history.iter();
        let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let changes: Vec<_> = changes.take(PAGE_ITEMS).collect();
        let last = changes.last()?.0;
        let as_of = if changes.len() < PAGE_ITEMS {
            self.revision
        } else {
            last
        };
        let events = changes.iter().map(|(at, key, item)| match item {
            Some(item) => text(key, item),
            None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
        });
        let events: Vec<String> = events.collect();
        Some(format!(
            r#"{{"events":[{}],"asOf":{as_of}}}"#,
            events.join(",")
        ))
    }

    fn write(&mut self, body: &str) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".to_string());
        };
        let list = |name: &str| body.get(name).map(|list| list.list().to_vec());
        let member = |value: &json::Value, name: &str| {
            let member = value.get(name).and_then(json::Value::text);
            member.unwrap_or_default().to_string()
        };
        for condition in list("precondition").unwrap_or_default() {
            let item = self.items.get(&member(&condition, "key"));
            let wanted = condition.get("revision").and_then(json::Value::number);
            if wanted != Some(item.map_or(0, |item| item.revision)) {
                return (412, r#"{"items":[]}"#.to_string());
            }
        }
        for put in list("puts").unwrap_or_default() {
            let value = base64::decode(&member(&put, "value")).unwrap_or_default();
            self.put(&member(&put, "key"), value);
        }
        for key in list("remove").unwrap_or_default() {
            self.remove(key.text().unwrap_or_default());
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

fn text(key: &str, item: &Item) -> String {
    let (value, revision) = (base64::encode(&item.value), item.revision);
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"createRev":{revision},"lease":0}}"#
    )
}
