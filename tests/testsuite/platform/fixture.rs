//! Runs a gateway in this process with a stand-in store and stand-in leaves, and sends requests to
//! it.

use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use geraniummount::core::placement::{Policy, Start};
use geraniummount::edge::gateway::{Gateway, Options, Sender, Update};
use geraniummount_test_support::platform::users::caller::{Reply, Request};
use geraniummount_test_support::platform::users::document::{self, Gather};
pub use geraniummount_test_support::platform::users::document::{HOST, service_route};
use geraniummount_test_support::platform::users::{Leaf, Store};
use serde_json::Value;

/// Maximum wait for a condition or for bytes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of tries to bind a gateway.
const MAX_BINDS: usize = 5;

/// Number in the name of the next gateway, as VMs that share a store need different names.
static NEXT_VM_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A running gateway and its store.
pub struct Fixture {
    /// Source address of the gateway's connections to leaves.
    pub ip: IpAddr,
    pub store: Store,
    pub callers_address: SocketAddr,
    /// Address on which the gateway accepts requests of other gateways.
    pub peers_address: SocketAddr,
    pub ready_address: SocketAddr,
    sender: Sender,
    thread: Option<JoinHandle<bool>>,
}

impl Fixture {
    /// Starts a store and a gateway in failure domain `near`.
    pub fn start() -> Fixture {
        Fixture::start_with_new_store("near")
    }

    /// Starts a store and a gateway in a failure domain.
    pub fn start_with_new_store(domain: &str) -> Fixture {
        let store = Store::start();
        let address = store.address();
        Fixture::start_in(domain, store, address)
    }

    /// Starts a gateway that reaches the store at `address`.
    pub fn start_with(store: Store, address: SocketAddr) -> Fixture {
        Fixture::start_in("near", store, address)
    }

    /// Starts a gateway in a failure domain that reaches the store at `address`.
    pub fn start_in(domain: &str, store: Store, address: SocketAddr) -> Fixture {
        Fixture::start_with_options(domain, store, address, |_| {})
    }

    /// Starts a gateway in a failure domain that reaches the store at `address`, and must not use a
    /// key for more than `revoke` after it was revoked.
    pub fn start_with_revocation(
        domain: &str,
        store: Store,
        address: SocketAddr,
        revoke: Duration,
    ) -> Fixture {
        Fixture::start_with_options(domain, store, address, |options| {
            options.revoke = Some(revoke);
        })
    }

    /// Starts a store and a gateway that accepts connections for `linger` and answers requests for
    /// `drain` after a graceful stop has begun.
    pub fn start_with_stop_times(linger: Duration, drain: Duration) -> Fixture {
        let store = Store::start();
        let address = store.address();
        Fixture::start_with_options("near", store, address, |options| {
            options.linger = linger;
            options.drain = drain;
        })
    }

    /// Starts a store and a gateway in failure domain `near` that reads the time of a write from
    /// `clock`.
    pub fn start_with_clock(clock: fn() -> Instant) -> Fixture {
        let store = Store::start();
        let address = store.address();
        Fixture::launch(Fixture::options("near", address), store, clock)
    }

    /// Starts a gateway in a failure domain that reaches the store at `address`, with changed
    /// options.
    pub fn start_with_options(
        domain: &str,
        store: Store,
        address: SocketAddr,
        change: impl FnOnce(&mut Options),
    ) -> Fixture {
        let mut options = Fixture::options(domain, address);
        change(&mut options);
        Fixture::launch(options, store, Instant::now)
    }

    /// Returns the options of a new VM.
    fn options(domain: &str, address: SocketAddr) -> Options {
        let number = NEXT_VM_NUMBER.fetch_add(1, Ordering::Relaxed);
        let ip = vm_ip(number);
        let [callers, ready, peers] = free_addresses_of(ip);
        Options {
            name: format!("vm{number}"),
            failure_domain: domain.to_string(),
            start: Start::First,
            callers,
            ready,
            metrics: None,
            peer_listen: Some(peers),
            source: Some(ip),
            store: address,
            max_reply_bytes: 4 * 1024 * 1024,
            linger: Duration::from_millis(200),
            drain: Duration::from_secs(10),
            leaving: Duration::from_secs(3),
            apply: Duration::from_secs(3),
            regions: Vec::new(),
            revoke: None,
            evacuate: Options::DEFAULT_EVACUATE,
            quota_window: Options::DEFAULT_QUOTA_WINDOW,
            quota_tolerance: Options::DEFAULT_QUOTA_TOLERANCE,
            cold_tolerance: Options::DEFAULT_COLD_TOLERANCE,
            placement: Policy::Latency,
            millicores: 0,
            memory_bytes: None,
            max_descriptors: None,
        }
    }

    /// Starts a gateway by its options that reads the time of a write from `clock`.
    fn launch(mut options: Options, store: Store, clock: fn() -> Instant) -> Fixture {
        let ip = options.source.expect("VMs of tests have an address each");
        let gateway = bind(&mut options, ip).with_clock(clock);
        let (callers_address, ready_address) = (options.callers, options.ready);
        let peers_address = options
            .peer_listen
            .expect("VMs of tests accept requests of others");
        let sender = gateway.sender();
        let thread = std::thread::spawn(move || gateway.run().unwrap());
        Fixture {
            ip,
            store,
            callers_address,
            peers_address,
            ready_address,
            sender,
            thread: Some(thread),
        }
    }

    /// Writes a configuration and waits until the gateway applies it.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        self.store.put("op/config", document(version, routes));
        let marker = format!("/v{version}/");
        self.wait_until(|fixture| fixture.is_ready() && fixture.get(&marker, 1000).status != 404);
    }

    /// Starts a graceful stop.
    pub fn stop(&self) {
        self.sender.send(Update::Stop);
    }

    /// Waits for the end of a graceful stop; returns whether all requests were answered.
    pub fn join(&mut self) -> bool {
        self.thread.take().unwrap().join().unwrap()
    }

    /// Waits until the condition is met.
    ///
    /// # Panics
    ///
    /// Panics if the condition is not met within [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, condition: impl Fn(&Fixture) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "timed out waiting for the condition");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a request for `path` succeeds, which shows that the gateway knows a leaf for it.
    pub fn wait_for_leaf(&self, path: &str) {
        self.wait_until(|fixture| fixture.get(path, 1000).status == 200);
    }

    /// Returns whether the gateway reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = format!("GET /api/ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        exchange(self.ready_address, request.as_bytes()).is_ok_and(|reply| reply.status == 200)
    }

    /// Sends a GET request on a new connection.
    pub fn get(&self, path: &str, deadline_ms: u64) -> Reply {
        self.send("GET", path, deadline_ms, b"")
    }

    /// Sends a request on a new connection and returns the answer.
    pub fn send(&self, method: &str, path: &str, deadline_ms: u64, body: &[u8]) -> Reply {
        let request = request(method, path, deadline_ms, body);
        exchange(self.callers_address, &request).expect("gateway sends a whole answer")
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Encodes a request with a new random id.
pub fn request(method: &str, path: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let id: u64 = rand::random();
    let request = Request {
        id: &format!("{id:016x}"),
        method,
        path,
        deadline: Duration::from_millis(deadline_ms),
        body,
    };
    request.to_bytes()
}

/// Opens a connection whose reads time out after [`WAIT_TIMEOUT`].
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<Reply> {
    let mut stream = connect(address);
    stream.write_all(request)?;
    Reply::read(&mut stream)
}

/// Returns a configuration as the operator writes it. Version N has an extra route `/vN/`, which
/// shows that this version is applied.
pub fn document(version: u64, routes: &[Value]) -> String {
    let mut routes = routes.to_vec();
    routes.push(service_route(
        &format!("/v{version}/"),
        "idempotent",
        "none",
    ));
    document::document(version, &routes, &["one"])
}

/// Returns a route that gathers answers from several shards.
pub fn gather_route(prefix: &str, shards: &[&str], top_k: usize, min_coverage: f64) -> Value {
    document::gather_route(
        prefix,
        shards,
        Gather {
            top_k,
            min_coverage,
        },
    )
}

/// Starts a leaf in failure domain `near`.
pub fn leaf(fixture: &Fixture, service: &str, records: &[u8]) -> Leaf {
    Leaf::start(&fixture.store, service, "near", records)
}

/// Returns a loopback address for the VM with a number, derived from the id of this process.
fn vm_ip(number: u64) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    Ipv4Addr::new(127, 192 + high % 32, low, last.max(1)).into()
}

/// Binds a gateway. If a port that was found free has been taken meanwhile, other ones are tried.
fn bind(options: &mut Options, ip: IpAddr) -> Gateway {
    for _ in 0..MAX_BINDS {
        match Gateway::bind(options.clone()) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                let [callers, ready, peers] = free_addresses_of(ip);
                options.callers = callers;
                options.ready = ready;
                options.peer_listen = Some(peers);
            }
            gateway => return gateway.unwrap(),
        }
    }
    panic!("no free ports after {MAX_BINDS} tries");
}

/// Returns a loopback address for servers that count the calls which they get. A port of 127.0.0.1 may
/// have been that of a stand-in which has ended, and which a VM of another test still calls.
pub fn quiet_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 250, high, low.max(1))
}

/// Returns different free addresses of this machine.
pub fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    free_addresses_of(Ipv4Addr::LOCALHOST.into())
}

/// Returns different addresses of a VM with free ports. The VM's IP address is its own, so that no
/// connection of another test takes a port before the gateway listens. All ports are held until the
/// last one is found, as a port that is free again may be found twice.
fn free_addresses_of<const COUNT: usize>(ip: IpAddr) -> [SocketAddr; COUNT] {
    let listeners = [(); COUNT].map(|()| TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
