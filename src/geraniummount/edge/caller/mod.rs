//! HTTP server for callers: accepts requests, runs them and returns the answers.
//!
//! A caller's request to a service, idempotent or not, is called a query here. It is split into
//! parts, one for each shard that runs it. Each connection has its own thread. The number of
//! connections and the number of concurrent queries are bounded. A request above either bound is
//! rejected immediately, without running, and the rejection says when to retry. A client that sends
//! too slowly is disconnected.
//!
//! Another thread surveys the services that are in use: it asks the VMs of all failure domains
//! which snapshots (versions of the index) the leaves hold, so that a query can be run at a
//! snapshot that its leaves hold.

mod quarantine;
mod response;
mod run;
mod serve;
mod service_request;
mod shared;
mod survey;

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::FutureExt;

use self::serve::Handler;
use self::shared::{Permit, Shared};
use crate::core::traffic::Traffic;
use crate::edge::claims::Claims;
use crate::edge::dispatcher::Dispatcher;
use crate::edge::http::{self, Limits, StopSignal};
use crate::edge::metrics::Metrics;
use crate::prelude::*;
use crate::util::published::Published;

pub use self::quarantine::Quarantine;

/// Maximum number of connections above the limit that receive a rejection. Connections beyond these
/// are closed without a response.
const MAX_SHEDDING_CONNECTIONS: usize = 64;

/// Time within which the head of the next request on a connection must arrive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which the head of a request must arrive on a connection above the limit.
const SHED_TIMEOUT: Duration = Duration::from_secs(1);

/// Stack size of each thread of the server.
const STACK_BYTES: usize = 512 * 1024;

/// Interval at which [`Server::stop`] checks for open connections, and the time limit of the
/// connection that it opens to wake the accepting thread.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay after the operating system has failed to accept a connection or to start a thread.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Address and limits of the server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of connections allowed beyond `max_queries`, for connections that run no query.
    pub spare_connections: usize,
    /// Maximum number of concurrent queries. Further queries are rejected.
    pub max_queries: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a caller must send a request body.
    pub body_timeout: Duration,
}

impl Options {
    /// Returns the maximum number of connections that are served concurrently.
    fn max_connections(&self) -> usize {
        self.max_queries + self.spare_connections
    }
}

/// Returns whether this VM has the configuration and the view of other VMs that it needs to serve
/// callers.
pub type ReadinessCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Components of the process that the server uses.
pub struct Dependencies {
    /// Current view: the configuration in force, and what this VM knows of the other VMs and of
    /// draining leaves.
    pub view: Arc<Published<View>>,
    /// Dispatcher that sends parts to the leaves.
    pub dispatcher: Dispatcher,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Claims of idempotency keys. A claim is an entry in the key-value store of the platform,
    /// which the users run; the entry records that a key was taken.
    pub claims: Claims,
    /// Requests during which leaves crashed.
    pub quarantine: Quarantine,
    /// Readiness check of this VM.
    pub ready: ReadinessCheck,
}

/// HTTP server for callers.
pub struct Server {
    shared: Arc<Shared>,
    /// Address that the server listens on.
    address: SocketAddr,
    /// Dropped to stop the connections' threads; nothing is ever sent over it.
    stop: Mutex<Option<oneshot::Sender<Infallible>>>,
}

impl Server {
    /// Starts a server that runs until [`Server::stop`] is called.
    pub fn start(options: Options, dependencies: Dependencies) -> io::Result<Server> {
        let listener = TcpListener::bind(options.listen)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::new(Shared {
            options,
            view: dependencies.view,
            dispatcher: dependencies.dispatcher,
            metrics: dependencies.metrics,
            ready: dependencies.ready,
            // The random number is the seed of the attempt ids.
            traffic: Mutex::new(Traffic::new(rand::random())),
            stopping: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            running_queries: AtomicUsize::new(0),
            last_queries: Mutex::new(Vec::new()),
        });
        let handler = Handler {
            shared: Arc::clone(&shared),
            claims: dependencies.claims,
            quarantine: dependencies.quarantine,
        };
        let stopped = stopped.shared();
        spawn("caller-accept", move || {
            accept(&listener, &handler, &stopped)
        })?;
        let survey_shared = Arc::clone(&shared);
        spawn("caller-survey", move || {
            survey::in_background(&survey_shared)
        })?;
        log::info!("caller: listening on {address}");
        Ok(Server {
            shared,
            address,
            stop: Mutex::new(Some(stop)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops reading requests, waits up to `timeout` for requests in flight to be answered, and
    /// closes the connections. Returns whether all connections were closed in time.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.shared.stopping.store(true, Ordering::Release);
        let stop = self
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(stop);
        // Connects to wake the accepting thread, which checks `stopping` only after `accept`
        // returns.
        drop(TcpStream::connect_timeout(
            &self.address,
            STOP_POLL_INTERVAL,
        ));
        let deadline = Instant::now() + timeout;
        let open_connections = || self.shared.connections.load(Ordering::Acquire);
        while open_connections() > 0 && Instant::now() < deadline {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        open_connections() == 0
    }

    /// Returns the state of the server for the operators' state dump.
    pub fn dump(&self) -> serde_json::Value {
        let count = |counter: &AtomicUsize| counter.load(Ordering::Acquire);
        serde_json::json!({
            "connections": count(&self.shared.connections),
            "connections_limit": self.shared.options.max_connections(),
            "queries_running": count(&self.shared.running_queries),
            "queries_limit": self.shared.options.max_queries,
        })
    }
}

fn spawn(name: &str, task: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let thread = thread::Builder::new().name(name.to_owned());
    thread.stack_size(STACK_BYTES).spawn(task)?;
    Ok(())
}

fn accept(listener: &TcpListener, handler: &Handler, stop: &StopSignal) {
    loop {
        let accepted = listener.accept();
        if handler.shared.stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => serve(stream, handler, stop),
            Err(error) => {
                log::warn!("caller: failed to accept a connection: {error}; retrying");
                thread::sleep(ACCEPT_BACKOFF);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stop: &StopSignal) {
    let (handler, stop) = (handler.clone(), stop.clone());
    let spawned = spawn("caller", move || {
        if let Err(error) = serve_connection(stream, &handler, stop) {
            log::debug!("caller: failed to set up a connection: {error}");
        }
    });
    if let Err(error) = spawned {
        log::warn!(
            "caller: failed to start a connection thread: {error}; raise the limit on threads"
        );
        thread::sleep(ACCEPT_BACKOFF);
    }
}

/// Serves a connection until it is closed. Returns an error only if the connection can't be set up.
/// A connection above the limit of connections receives a rejection. A connection above that limit
/// plus [`MAX_SHEDDING_CONNECTIONS`] is closed immediately.
fn serve_connection(stream: TcpStream, handler: &Handler, stop: StopSignal) -> io::Result<()> {
    let options = &handler.shared.options;
    let open_connections = &handler.shared.connections;
    let Some(_permit) = Permit::try_acquire(
        open_connections,
        options.max_connections() + MAX_SHEDDING_CONNECTIONS,
    ) else {
        return Ok(());
    };
    let is_shedding = open_connections.load(Ordering::Acquire) > options.max_connections();
    let bounds = Limits {
        max_body_bytes: options.max_body_bytes,
        body_timeout: options.body_timeout,
        head_timeout: if is_shedding {
            SHED_TIMEOUT
        } else {
            IDLE_TIMEOUT
        },
    };
    http::serve(stream, bounds, stop, |request, caller| {
        if is_shedding {
            return Some(handler.shed());
        }
        handler.respond(request, caller)
    })
}
