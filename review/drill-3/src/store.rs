//! Stand-in of the platform's store. Each machine has a listener of its own, so that the store can
//! turn single machines away.

use crate::http::{Connection, Message};
use crate::json::{Json, base64, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of items or changes in one answer.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    /// Leases with their times to live and ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store.
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

/// The store's listener for one machine.
pub struct Entrance {
    pub address: SocketAddr,
    /// Whether the store turns the machine away: 503 to each call.
    pub is_shut: Arc<AtomicBool>,
}

impl Data {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |known| known.created);
            Item {
                value,
                revision,
                created,
                lease,
            }
        });
        match &item {
            Some(item) => self.items.insert(key.to_string(), item.clone()),
            None => self.items.remove(key),
        };
        self.events.push(Event {
            key: key.to_string(),
            revision,
            item,
        });
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.1 <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.write(&key, None);
        }
    }
}

impl Store {
    pub fn start() -> Arc<Store> {
        let data = Data {
            revision: 1,
            ..Data::default()
        };
        Arc::new(Store {
            data: Mutex::new(data),
            changed: Condvar::new(),
        })
    }

    /// Writes a key, as the operator and the servers do; `None` removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let value = value.map(|value| (base64(value.as_bytes()), 0));
        self.data.lock().unwrap().write(key, value);
        self.changed.notify_all();
    }

    /// Opens a listener for one machine.
    pub fn listen(self: &Arc<Store>) -> Entrance {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().unwrap();
        let is_shut = Arc::new(AtomicBool::new(false));
        let (store, shut) = (Arc::clone(self), Arc::clone(&is_shut));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, shut) = (Arc::clone(&store), Arc::clone(&shut));
                thread::spawn(move || store.serve(Connection::new(stream), &shut));
            }
        });
        Entrance { address, is_shut }
    }

    fn serve(&self, mut connection: Connection, shut: &AtomicBool) {
        while let Ok(Some(call)) = connection.read() {
            let (status, body) = match shut.load(Ordering::Relaxed) {
                true => (503, "{}".to_string()),
                false => self.answer(&call, shut),
            };
            // The store never comes back from a copy here, so its era stays the same.
            let fields = [
                ("Content-Type", "application/json".to_string()),
                ("Store-Era", "1".to_string()),
            ];
            if connection
                .respond(status, &fields, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, shut: &AtomicBool) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let parameters: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decode(value)))
            .collect();
        let parameter = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let method = call.first.first().map_or("", String::as_str);
        match (method, path) {
            ("GET", "/api/kv-key") => self.key(&parameter("key")),
            ("GET", "/api/kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "/api/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                self.watch(&parameter("prefix"), after, wait, shut)
            }
            ("POST", "/api/kv-txn") => self.transact(&call.body),
            ("POST", "/api/kv-lease") => self.grant(&call.body),
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                self.keep(path.trim_start_matches("/api/kv-keep/"))
            }
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let id = path
                    .trim_start_matches("/api/kv-lease-end/")
                    .parse()
                    .unwrap_or(0);
                self.data.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_string())
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.end_leases();
        match data.items.get(key) {
            None => (404, format!("{{\"asOf\":{}}}", data.revision)),
            Some(item) => {
                let text = show(key, item);
                (
                    200,
                    format!(
                        "{},\"asOf\":{}}}",
                        text.trim_end_matches('}'),
                        data.revision
                    ),
                )
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.end_leases();
        let found = data.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut found = found.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let page: Vec<String> = found
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| show(key, item))
            .collect();
        let truncated = found.next().is_some();
        let (items, as_of) = (page.join(","), data.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"truncated\":{truncated},\"asOf\":{as_of}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, shut: &AtomicBool) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        loop {
            if shut.load(Ordering::Relaxed) {
                return (503, "{}".to_string());
            }
            data.end_leases();
            let found = data.events.iter().filter(|event| event.revision > after);
            let found = found.filter(|event| event.key.starts_with(prefix));
            let found: Vec<&Event> = found.take(PAGE).collect();
            let now = Instant::now();
            if !found.is_empty() || now >= end {
                let is_full = found.len() == PAGE;
                let as_of = found
                    .last()
                    .filter(|_| is_full)
                    .map_or(data.revision, |e| e.revision);
                let events: Vec<String> = found
                    .iter()
                    .map(|event| match &event.item {
                        Some(item) => show(&event.key, item),
                        None => {
                            let (key, revision) = (quote(&event.key), event.revision);
                            format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                        }
                    })
                    .collect();
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            let pause = (end - now).min(Duration::from_millis(50));
            data = self.changed.wait_timeout(data, pause).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, "{}".to_string());
        };
        let part = |name: &str| call.get(name).map_or(&[][..], Json::list).to_vec();
        let text = |entry: &Json, name: &str| {
            entry
                .get(name)
                .and_then(Json::text)
                .unwrap_or("")
                .to_string()
        };
        let mut data = self.data.lock().unwrap();
        data.end_leases();
        let holds = part("precondition").iter().all(|row| {
            let known = data
                .items
                .get(&text(row, "key"))
                .map_or(0, |item| item.revision);
            row.get("revision").and_then(Json::whole) == Some(known)
        });
        if !holds {
            return (412, "{\"items\":[]}".to_string());
        }
        for entry in part("puts") {
            let lease = entry.get("lease").and_then(Json::whole).unwrap_or(0);
            if lease != 0 && !data.leases.contains_key(&lease) {
                return (404, "{}".to_string());
            }
            let key = text(&entry, "key");
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_string());
            }
            data.write(&key, Some((text(&entry, "value"), lease)));
        }
        for key in part("remove") {
            let key = key.text().unwrap_or("").to_string();
            if data.items.contains_key(&key) {
                data.write(&key, None);
            }
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let call = std::str::from_utf8(body).ok().and_then(Json::parse);
        let ttl = call.and_then(|call| call.get("ttlMs").and_then(Json::whole));
        let Some(ttl_ms) = ttl else {
            return (400, "{}".to_string());
        };
        let mut data = self.data.lock().unwrap();
        data.last_lease += 1;
        let (id, ttl) = (data.last_lease, Duration::from_millis(ttl_ms));
        data.leases.insert(id, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.end_leases();
        let lease = id.parse().ok().and_then(|id: u64| data.leases.get_mut(&id));
        match lease {
            None => (404, "{}".to_string()),
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    let (key, value) = (quote(key), quote(&item.value));
    let (revision, created, lease) = (item.revision, item.created, item.lease);
    format!(
        "{{\"key\":{key},\"value\":{value},\"revision\":{revision},\"createRev\":{created},\"lease\":{lease}}}"
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
