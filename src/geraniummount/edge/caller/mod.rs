//! Callers' HTTP: takes requests, runs them and returns the answers.
//!
//! Each connection has a thread, and their number is bounded, as is the
//! number of queries that run at once; what is above is refused at once, not
//! run, with a time to come back. A sender that is slow loses its connection.

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
use crate::edge::http::{self, Bounds, Stop};
use crate::edge::metrics::Metrics;
use crate::prelude::*;
use crate::util::published::Published;

/// Connections above the limit that are told so; more are closed at once.
const MAX_SHEDDING_CONNECTIONS: usize = 64;

/// Time for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for a request on a connection that is one too many.
const SHED_TIMEOUT: Duration = Duration::from_secs(1);

/// Stack of a connection's thread.
const STACK_BYTES: usize = 512 * 1024;

/// Step in which a stop looks whether requests are still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Pause after the system refused a connection or a thread.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Address and bounds of the server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections besides those whose query runs.
    pub spare_connections: usize,
    /// Queries that run at once; more are refused.
    pub max_queries: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time that a caller has to send a request's body.
    pub body_timeout: Duration,
}

impl Options {
    /// Connections that are served at once.
    fn max_connections(&self) -> usize {
        self.max_queries + self.spare_connections
    }
}

/// Tells whether this VM knows enough to be sent callers.
pub type ReadinessCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// What the server needs of the rest of the process.
pub struct Dependencies {
    /// What this VM knows.
    pub view: Arc<Published<View>>,
    /// Way to the leaves.
    pub dispatcher: Dispatcher,
    /// What the process counts.
    pub metrics: Metrics,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Whether the VM is ready.
    pub ready: ReadinessCheck,
}

/// The callers' server.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: Mutex<Option<oneshot::Sender<Infallible>>>,
}

impl Server {
    /// Listens and serves until [`Server::stop`].
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
            traffic: Mutex::new(Traffic::new(rand::random())),
            stopping: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            running_queries: AtomicUsize::new(0),
            last_queries: Mutex::new(Vec::new()),
        });
        let handler = Handler {
            shared: Arc::clone(&shared),
            claims: dependencies.claims,
        };
        let stopped = stopped.shared();
        spawn("caller-accept", move || {
            accept(&listener, &handler, &stopped)
        })?;
        let survey_shared = Arc::clone(&shared);
        spawn("caller-survey", move || {
            survey::in_background(&survey_shared)
        })?;
        log::info!("caller: listens on {address}");
        Ok(Server {
            shared,
            address,
            stop: Mutex::new(Some(stop)),
        })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads no further request, waits for those in flight to be answered and
    /// closes the connections. Returns whether all ended before the time was
    /// over.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.shared.stopping.store(true, Ordering::Release);
        let stop = self
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(stop);
        // Wakes the accepting thread.
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

    /// Returns the server's state for a dump.
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

fn accept(listener: &TcpListener, handler: &Handler, stop: &Stop) {
    loop {
        let accepted = listener.accept();
        if handler.shared.stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => serve(stream, handler, stop),
            Err(error) => {
                log::warn!("caller: can't accept a connection: {error}");
                thread::sleep(ACCEPT_BACKOFF);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stop: &Stop) {
    let (handler, stop) = (handler.clone(), stop.clone());
    let spawned = spawn("caller", move || {
        if let Err(error) = serve_connection(stream, &handler, stop) {
            log::debug!("caller: a connection was lost at once: {error}");
        }
    });
    if let Err(error) = spawned {
        log::warn!("caller: can't start a thread: {error}; raise the limit of threads");
        thread::sleep(ACCEPT_BACKOFF);
    }
}

/// Serves a connection. One above the limit is told so, one far above it is
/// closed.
fn serve_connection(stream: TcpStream, handler: &Handler, stop: Stop) -> io::Result<()> {
    let options = &handler.shared.options;
    let open_connections = &handler.shared.connections;
    let Some(_permit) = Permit::try_acquire(
        open_connections,
        options.max_connections() + MAX_SHEDDING_CONNECTIONS,
    ) else {
        return Ok(());
    };
    let is_shedding = open_connections.load(Ordering::Acquire) > options.max_connections();
    let bounds = Bounds {
        body_bytes: options.max_body_bytes,
        body: options.body_timeout,
        head: if is_shedding {
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
