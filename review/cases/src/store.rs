//! Stand-in for the platform's store: reads of a key or of a prefix, watches, writes and leases.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, response};
use crate::json::{Json, quote};

/// Maximum number of items on a page.
const MAX_PAGE_ITEMS: usize = 500;

/// A running store, reached by one of its addresses.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Whether the machines that use this address are turned away.
    is_shut: Arc<AtomicBool>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and key of each change, with the new item, or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Store {
    pub fn start() -> std::io::Result<Store> {
        Store::listen(Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
        }))
    }

    /// Opens one more address of the store, at which some machines can be turned away.
    pub fn open_address(&self) -> std::io::Result<Store> {
        Store::listen(Arc::clone(&self.shared))
    }

    /// Turns away the machines that use this address, with 503, or serves them again.
    pub fn set_shut(&self, is_shut: bool) {
        self.is_shut.store(is_shut, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }

    fn listen(shared: Arc<Shared>) -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            shared,
            is_shut: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key, as the operator or a leaf does.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.shared.state.lock().unwrap().put(key, value, 0);
        self.shared.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.state.lock().unwrap().remove(key);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let length = head.number("Content-Length").unwrap_or(0) as usize;
            let Ok(body) = connection.read_body(length) else {
                return;
            };
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            let fields = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if connection
                .write(&response(status, fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        if self.is_shut.load(Ordering::Relaxed) {
            return (503, "{}".into());
        }
        let mut state = self.shared.state.lock().unwrap();
        state.expire();
        match path {
            "/api/kv-key" => state.key(parameter(query, "key")),
            "/api/kv-range" => state.range(parameter(query, "prefix"), parameter(query, "after")),
            "/api/kv-watch" => {
                drop(state);
                self.watch(query)
            }
            "/api/kv-txn" => {
                let answer = state.write(body);
                self.shared.changed.notify_all();
                answer
            }
            "/api/kv-lease" => state.grant(body),
            path => match path.rsplit_once('/') {
                Some(("/api/kv-keep", lease)) => state.renew(lease.parse().unwrap_or(0)),
                Some(("/api/kv-lease-end", lease)) => {
                    let answer = state.end_lease(lease.parse().unwrap_or(0));
                    self.shared.changed.notify_all();
                    answer
                }
                _ => (404, "{}".into()),
            },
        }
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = parameter(query, "prefix");
        let after = parameter(query, "after").parse().unwrap_or(0);
        let wait = parameter(query, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if self.is_shut.load(Ordering::Relaxed) {
                return (503, "{}".into());
            }
            let events = state.events(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            let step = left.min(Duration::from_millis(500));
            state = self.shared.changed.wait_timeout(state, step).unwrap().0;
            state.expire();
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> (u16, String) {
        if self.leases.remove(&lease).is_none() {
            return (404, "{}".into());
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
        (200, "{}".into())
    }

    fn grant(&mut self, body: &str) -> (u16, String) {
        let ttl = Json::parse(body).and_then(|body| body.get("ttlMs")?.number());
        let Some(ttl) = ttl else {
            return (400, "{}".into());
        };
        self.last_lease += 1;
        let time = Duration::from_millis(ttl);
        self.leases
            .insert(self.last_lease, (Instant::now() + time, time));
        let lease = self.last_lease;
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
    }

    fn renew(&mut self, lease: u64) -> (u16, String) {
        match self.leases.get_mut(&lease) {
            Some((until, time)) => {
                *until = Instant::now() + *time;
                (200, format!("{{\"ttlMs\":{}}}", time.as_millis()))
            }
            None => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => {
                let text = item.json(key);
                let as_of = self.revision;
                (
                    200,
                    format!("{},\"asOf\":{as_of}}}", &text[..text.len() - 1]),
                )
            }
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
        let page = found[..found.len().min(MAX_PAGE_ITEMS)].join(",");
        let truncated = found.len() > MAX_PAGE_ITEMS;
        let as_of = self.revision;
        (
            200,
            format!("{{\"items\":[{page}],\"truncated\":{truncated},\"asOf\":{as_of}}}"),
        )
    }

    fn events(&self, prefix: &str, after: u64) -> String {
        let first = self.history.partition_point(|change| change.0 <= after);
        let mut events = String::new();
        for (revision, key, item) in &self.history[first..] {
            if !key.starts_with(prefix) {
                continue;
            }
            if !events.is_empty() {
                events.push(',');
            }
            let _ = match item {
                Some(item) => write!(events, "{}", item.json(key)),
                None => write!(
                    events,
                    "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                    quote(key)
                ),
            };
        }
        events
    }

    fn write(&mut self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let list = |name| body.get(name).map_or(&[][..], Json::list).to_vec();
        let key = |entry: &Json| {
            let key = entry.get("key").and_then(Json::text);
            key.unwrap_or_default().to_string()
        };
        let number = |entry: &Json, name| entry.get(name).and_then(Json::number).unwrap_or(0);
        let is_met = |row: &Json| {
            let known = self.items.get(&key(row)).map_or(0, |item| item.revision);
            number(row, "revision") == known
        };
        if !list("precondition").iter().all(is_met) {
            return (412, "{\"items\":[]}".into());
        }
        let leases: Vec<u64> = list("puts")
            .iter()
            .map(|put| number(put, "lease"))
            .collect();
        let is_known = |lease: &u64| *lease == 0 || self.leases.contains_key(lease);
        if !leases.iter().all(is_known) {
            return (404, "{}".into());
        }
        for put in list("puts") {
            let value = put.get("value").and_then(Json::text).unwrap_or_default();
            self.put(&key(&put), value.to_string(), number(&put, "lease"));
        }
        for removed in list("remove") {
            self.remove(removed.text().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
            quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or("", |(_, value)| value)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index| u32::from(*chunk.get(index).unwrap_or(&0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
