//! Stand-in of a leaf: runs requests of one service, and registers itself in the store.

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeSet;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A run of a request at a leaf.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub id: String,
    pub leaf: String,
    pub tenant: Option<String>,
    /// Machine that sent the request.
    pub from: IpAddr,
}

/// What happens on the way between machines and leaves, and what all leaves ran.
pub struct Field {
    pub record: Arc<Record>,
    pub runs: Mutex<Vec<Run>>,
    /// Addresses of the machines that are partitioned from all leaves: what they send is not read,
    /// and nothing is sent to them.
    cut: Mutex<BTreeSet<IpAddr>>,
    changed: Condvar,
}

impl Field {
    pub fn new(record: Arc<Record>) -> Arc<Field> {
        Arc::new(Field {
            record,
            runs: Mutex::default(),
            cut: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    /// Partitions a machine from all leaves, or ends that.
    pub fn set_cut(&self, machine: IpAddr, is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        match is_cut {
            true => cut.insert(machine),
            false => cut.remove(&machine),
        };
        self.changed.notify_all();
    }

    fn wait_for_link(&self, machine: IpAddr) {
        let mut cut = self.cut.lock().unwrap();
        while cut.contains(&machine) {
            cut = self.changed.wait(cut).unwrap();
        }
    }
}

/// How a leaf treats its requests.
#[derive(Clone)]
pub struct Manner {
    pub service: String,
    pub id: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

/// A leaf that runs.
pub struct Leaf {
    pub manner: Manner,
    pub address: SocketAddr,
    field: Arc<Field>,
    store: Arc<Store>,
    born: u64,
    seq: AtomicU64,
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    /// Whether the leaf has crashed: it closes all connections and accepts none.
    has_crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Leaf {
    pub fn start(manner: Manner, store: &Arc<Store>, field: &Arc<Field>) -> Arc<Leaf> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a leaf");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let leaf = Arc::new(Leaf {
            manner,
            address: listener.local_addr().unwrap(),
            field: Arc::clone(field),
            store: Arc::clone(store),
            born,
            seq: AtomicU64::new(0),
            busy: Mutex::new((0, 0)),
            freed: Condvar::new(),
            has_crashed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        leaf.beat();
        let beating = Arc::clone(&leaf);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        let serving = Arc::clone(&leaf);
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        thread::spawn(move || serving.accept(&listener));
        leaf
    }

    /// Accepts connections until the leaf crashes, which closes the listener.
    fn accept(self: Arc<Leaf>, listener: &TcpListener) {
        while !self.has_crashed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            self.connections.lock().unwrap().extend(stream.try_clone());
            let leaf = Arc::clone(&self);
            thread::spawn(move || leaf.serve(stream));
        }
    }

    /// Crashes the leaf: its connections end, its port is closed, and it sends no heartbeat any more.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.manner.id)
    }

    fn beat(&self) {
        if self.has_crashed.load(Ordering::Relaxed) {
            return;
        }
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let Manner {
            service,
            zone,
            slots,
            ..
        } = &self.manner;
        let (address, born) = (self.address, self.born);
        let value = format!(
            "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"concurrency\":{slots},\"state\":\"ready\",\"warmupLeftMs\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        );
        self.store.put(&self.key(), Some(&value));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(machine) = stream.peer_addr().map(|address| address.ip()) else {
            return;
        };
        let mut connection = Connection::new(stream);
        loop {
            self.field.wait_for_link(machine);
            let Ok(Some(request)) = connection.read() else {
                return;
            };
            self.field.wait_for_link(machine);
            if self.handle(&mut connection, &request, machine).is_err() {
                return;
            }
        }
    }

    fn handle(
        &self,
        connection: &mut Connection,
        request: &Message,
        machine: IpAddr,
    ) -> std::io::Result<()> {
        let id = request.field("Request-Id").unwrap_or_default().to_string();
        let own = &self.manner.id;
        let mut fields = vec![("Keep-Alive", "timeout=30".to_string())];
        if request.target() == "/health" {
            fields.push(("Instance-Id", own.clone()));
            return connection.respond(200, &fields, b"");
        }
        if !id.is_empty() {
            fields.push(("Request-Id", id.clone()));
        }
        if id.is_empty() {
            fields.push(("Request-Not-Run", "1".to_string()));
            return connection.respond(400, &fields, b"");
        }
        if request
            .field("Expect-Instance")
            .is_some_and(|wanted| wanted != own)
        {
            fields.push(("Instance-Id", own.clone()));
            fields.push(("Request-Not-Run", "1".to_string()));
            return connection.respond(421, &fields, b"");
        }
        if has_ended(&connection.stream) {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if !self.enter() {
            fields.push(("Request-Not-Run", "1".to_string()));
            return connection.respond(503, &fields, b"");
        }
        let at = self
            .field
            .record
            .add(format!("leaf {own} runs {id} of {machine}"));
        let tenant = request.field("Tenant").map(str::to_string);
        let run = Run {
            at,
            id: id.clone(),
            leaf: own.clone(),
            tenant,
            from: machine,
        };
        self.field.runs.lock().unwrap().push(run);
        thread::sleep(self.manner.work);
        self.leave();
        self.field.wait_for_link(machine);
        fields.push(("Server-Stamp", format!("{own}.{id}")));
        if request.first.first().is_some_and(|method| method == "HEAD") {
            return connection.respond_to_head(200, &fields);
        }
        connection.respond(200, &fields, b"0123456789abcdef")
    }

    /// Waits for a slot; returns whether there is one in the queue.
    fn enter(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if busy.0 >= self.manner.slots && busy.1 >= self.manner.queue {
            return false;
        }
        busy.1 += 1;
        while busy.0 >= self.manner.slots {
            busy = self.freed.wait(busy).unwrap();
        }
        busy.1 -= 1;
        busy.0 += 1;
        true
    }

    fn leave(&self) {
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// Returns whether the other side has closed the connection, so that nobody waits for the answer.
fn has_ended(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let has_ended = match &peeked {
        Ok(count) => *count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || has_ended
}
