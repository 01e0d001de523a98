//! Stand-in for a leaf. Without a fault it behaves as the users' pages say: it runs as many requests
//! at once as it has slots, queues a few more and rejects the others as not run, checks
//! `Expect-Instance`, echoes `Request-Id`, and stops work at `Deadline-Ms`.

use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head, response};
use crate::random::Random;
use crate::record::Record;
use crate::store::Store;

/// Time after which an idle connection is closed, as `Keep-Alive` announces it.
const IDLE_S: u64 = 5;

/// The greatest number of seconds that fits into 64 bits.
const HUGE_S: u64 = u64::MAX;

/// What a leaf is and what it takes.
#[derive(Clone, Debug)]
pub struct Config {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    /// Range of the time to run a request, in milliseconds.
    pub work_ms: (u64, u64),
}

/// Faults that a case switches on and off.
#[derive(Default)]
pub struct Faults {
    /// Share of the answers, in thousandths, after which the same answer comes a second time, late:
    /// when the next request on the connection has arrived.
    pub late_extra: AtomicU64,
    /// Machines that are partitioned from the leaf: nothing passes between them and the leaf.
    pub cut: Mutex<Vec<IpAddr>>,
    /// Machines whose new connections are closed at once, while those that are open live on.
    pub cut_new: Mutex<Vec<IpAddr>>,
    /// Path of a request that ends the leaf when it begins to run it; empty if there is none.
    pub poison: Mutex<String>,
    /// Factor on the time to run a request; 0 counts as 1.
    pub slowness: AtomicU64,
    /// Share of the answers, in thousandths, whose `Keep-Alive` states [`HUGE_S`].
    pub huge_keep_alive: AtomicU64,
}

/// A running leaf.
#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub address: SocketAddr,
    pub config: Config,
    pub faults: Arc<Faults>,
    born_ms: u128,
    shared: Arc<Shared>,
}

struct Shared {
    record: Arc<Record>,
    load: Mutex<Load>,
    freed: Condvar,
    /// Connections, to close them when the leaf ends.
    streams: Mutex<Vec<TcpStream>>,
    has_ended: AtomicBool,
    is_dark: AtomicBool,
}

#[derive(Default)]
struct Load {
    running: usize,
    queued: usize,
}

impl Leaf {
    /// Starts a leaf on a free port of a loopback address.
    pub fn start(
        id: &str,
        listener: TcpListener,
        config: Config,
        record: &Arc<Record>,
    ) -> io::Result<Leaf> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let leaf = Leaf {
            id: id.to_string(),
            address: listener.local_addr()?,
            config,
            faults: Arc::default(),
            born_ms: born.unwrap_or_default().as_millis(),
            shared: Arc::new(Shared {
                record: Arc::clone(record),
                load: Mutex::default(),
                freed: Condvar::new(),
                streams: Mutex::default(),
                has_ended: AtomicBool::new(false),
                is_dark: AtomicBool::new(false),
            }),
        };
        let serving = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended() && !serving.is_dark() {
                    return;
                }
                let leaf = serving.clone();
                thread::spawn(move || leaf.serve(Connection::new(stream)));
            }
        });
        Ok(leaf)
    }

    /// Writes the leaf's entry.
    pub fn register(&self, store: &Store, state: &str, heartbeat: u64) {
        let (config, address, born) = (&self.config, self.address, self.born_ms);
        let (service, zone, slots) = (&config.service, &config.zone, config.slots);
        let entry = format!(
            "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"1\",\"concurrency\":{slots},\"state\":\"{state}\",\"warmupLeftMs\":0,\
             \"seq\":{heartbeat},\"born\":{born}}}"
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Ends the leaf: it begins no more requests, and its connections close.
    pub fn end(&self) {
        self.shared.is_dark.store(false, Ordering::Relaxed);
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.has_ended.store(true, Ordering::Relaxed);
        // The listener notices it with the next connection.
        let _ = TcpStream::connect(self.address);
    }

    /// Ends the leaf as a machine does that loses power: it answers nothing any more, and its
    /// connections stay open until [`Leaf::end`].
    pub fn go_dark(&self) {
        self.shared.is_dark.store(true, Ordering::Relaxed);
        self.shared.has_ended.store(true, Ordering::Relaxed);
    }

    /// Returns whether the leaf has ended and answers nothing.
    pub fn is_dark(&self) -> bool {
        self.shared.is_dark.load(Ordering::Relaxed)
    }

    /// Holds a connection of a machine that has lost power.
    fn stay_silent(&self) {
        while self.is_dark() {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn wait_while_cut(&self, peer: Option<IpAddr>) {
        let is_cut = || peer.is_some_and(|peer| self.faults.cut.lock().unwrap().contains(&peer));
        while is_cut() {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn has_ended(&self) -> bool {
        self.shared.has_ended.load(Ordering::Relaxed)
    }

    fn serve(&self, mut connection: Connection) {
        let peer = connection.stream.peer_addr().map(|address| address.ip());
        let peer = peer.ok();
        if peer.is_some_and(|peer| self.faults.cut_new.lock().unwrap().contains(&peer)) {
            return;
        }
        if let Ok(stream) = connection.stream.try_clone() {
            self.shared.streams.lock().unwrap().push(stream);
        }
        let mut random = Random::new();
        let mut extra: Option<Vec<u8>> = None;
        loop {
            connection.set_timeout(Duration::from_secs(IDLE_S));
            self.wait_while_cut(peer);
            let Ok(Some(head)) = connection.read_head() else {
                return;
            };
            self.wait_while_cut(peer);
            if self.has_ended() {
                return self.stay_silent();
            }
            if let Some(extra) = extra.take() {
                let id = head.field("Request-Id").unwrap_or("-");
                let text = String::from_utf8_lossy(&extra).replace("\r\n", " | ");
                self.note(&format!(
                    "sends a late extra answer before that to {id}: {text}"
                ));
                if connection.write(&extra).is_err() {
                    return;
                }
            }
            let length = head.number("Content-Length").unwrap_or(0) as usize;
            if connection.read_body(length).is_err() {
                return;
            }
            let answer = self.answer(&head, &mut random);
            self.wait_while_cut(peer);
            if self.has_ended() {
                return self.stay_silent();
            }
            if connection.write(&answer).is_err() {
                return;
            }
            let share = self.faults.late_extra.load(Ordering::Relaxed);
            extra = (random.between(0, 999) < share).then_some(answer);
        }
    }

    fn answer(&self, head: &Head, random: &mut Random) -> Vec<u8> {
        let is_check = head.method() == "GET" && head.target() == "/health";
        let id = head.field("Request-Id").unwrap_or_default();
        let expected = head.field("Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let fields = format!("{}Request-Not-Run: 1\r\n", self.fields(head));
            return response(421, &fields, b"");
        }
        if id.is_empty() && !is_check {
            let fields = format!("{}Request-Not-Run: 1\r\n", self.fields(head));
            return response(400, &fields, b"");
        }
        let arrived = Instant::now();
        let deadline = Duration::from_millis(head.number("Deadline-Ms").unwrap_or(10_000));
        if !self.take_slot(arrived + deadline) {
            if is_check {
                self.note("rejects a health check, as it is full");
            } else {
                let waited = arrived.elapsed().as_millis();
                self.note(&format!("rejects {id} after {waited} ms, as not run"));
            }
            return self.rejection(head);
        }
        let answer = if is_check {
            let fields = format!("{}Instance-Id: {}\r\n", self.fields(head), self.id);
            response(200, &fields, b"")
        } else {
            self.run(head, id, arrived + deadline, random)
        };
        self.free_slot();
        answer
    }

    fn run(&self, head: &Head, id: &str, until: Instant, random: &mut Random) -> Vec<u8> {
        let what = format!("{} {}", head.method(), head.target());
        self.shared.record.ran(id, &self.id, &what);
        let poison = self.faults.poison.lock().unwrap().clone();
        if !poison.is_empty() && head.target() == poison {
            self.note("loses power as it begins to run that");
            self.go_dark();
            return Vec::new();
        }
        let (low, high) = self.config.work_ms;
        let slowness = self.faults.slowness.load(Ordering::Relaxed).max(1);
        let work = random.millis(low, high) * slowness as u32;
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(work.min(left));
        let stamp = format!("Server-Stamp: {}.{id}\r\n", self.id);
        let fields = format!("{}{stamp}", self.fields(head));
        let status = if work > left { 504 } else { 200 };
        response(status, &fields, format!("done {id}").as_bytes())
    }

    fn rejection(&self, head: &Head) -> Vec<u8> {
        let fields = format!("{}Request-Not-Run: 1\r\n", self.fields(head));
        response(503, &fields, b"")
    }

    /// Returns the fields of each answer.
    fn fields(&self, head: &Head) -> String {
        let share = self.faults.huge_keep_alive.load(Ordering::Relaxed);
        let is_spoiled = share > 0 && Random::new().between(0, 999) < share;
        let seconds = if is_spoiled { HUGE_S } else { IDLE_S };
        let id = head.field("Request-Id");
        let id = id.map_or(String::new(), |id| format!("Request-Id: {id}\r\n"));
        if is_spoiled {
            self.note(&format!("answers with Keep-Alive: timeout={seconds}"));
        }
        format!("{id}Keep-Alive: timeout={seconds}\r\n")
    }

    /// Waits for a slot until the deadline; returns whether there is one.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.shared.load.lock().unwrap();
        if load.running >= self.config.slots {
            if load.queued >= self.config.queue {
                return false;
            }
            load.queued += 1;
            while load.running >= self.config.slots {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.queued -= 1;
                    return false;
                }
                load = self.shared.freed.wait_timeout(load, left).unwrap().0;
            }
            load.queued -= 1;
        }
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.shared.load.lock().unwrap().running -= 1;
        self.shared.freed.notify_one();
    }

    fn note(&self, text: &str) {
        self.shared.record.note(&format!("leaf {} {text}", self.id));
    }
}
