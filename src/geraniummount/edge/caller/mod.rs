//! Callers' HTTP: takes requests, runs them and returns the answers.
//!
//! Each connection has a thread, and their number is bounded, as is the
//! number of queries that run at once; what is above is refused at once, not
//! run, with a time to come back. A sender that is slow loses its connection.

mod ask;
mod response;
mod run;
mod serve;
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

/// Connections above the limit that are told so; more are closed at once.
const REFUSALS: usize = 64;

/// Time for the next request on a connection.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Time for a request on a connection that is one too many.
const REFUSED_LIMIT: Duration = Duration::from_secs(1);

/// Stack of a connection's thread.
const STACK_BYTES: usize = 512 * 1024;

/// Step in which a stop looks whether requests are still in flight.
const STOP_STEP: Duration = Duration::from_millis(10);

/// Pause after the system refused a connection or a thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Address and bounds of the server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections besides those whose query runs.
    pub spare_connections: usize,
    /// Queries that run at once; more are refused.
    pub queries: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time that a caller has to send a request's body.
    pub read_limit: Duration,
}

impl Options {
    /// Connections that are served at once.
    fn connections(&self) -> usize {
        self.queries + self.spare_connections
    }
}

/// Tells whether this VM knows enough to be sent callers.
pub type Ready = Box<dyn Fn() -> bool + Send + Sync>;

/// What the server needs of the rest of the process.
pub struct Parts {
    /// What this VM knows.
    pub view: Arc<Published<View>>,
    /// Way to the leaves.
    pub dispatcher: Dispatcher,
    /// What the process counts.
    pub metrics: Metrics,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Whether the VM is ready.
    pub ready: Ready,
}

/// The callers' server.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: Mutex<Option<oneshot::Sender<Infallible>>>,
}

impl Server {
    /// Listens and serves until [`Server::stop`].
    pub fn start(options: Options, parts: Parts) -> io::Result<Server> {
        let listener = TcpListener::bind(options.listen)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::new(Shared {
            options,
            view: parts.view,
            dispatcher: parts.dispatcher,
            metrics: parts.metrics,
            ready: parts.ready,
            traffic: Mutex::new(Traffic::new(rand::random())),
            stopping: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            used: Mutex::new(Vec::new()),
        });
        let handler = Handler {
            shared: Arc::clone(&shared),
            claims: parts.claims,
        };
        let stopped = stopped.shared();
        spawn("caller-accept", move || {
            accept(&listener, &handler, &stopped)
        })?;
        let surveyed = Arc::clone(&shared);
        spawn("caller-survey", move || survey::in_background(&surveyed))?;
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
    pub fn stop(&self, wait: Duration) -> bool {
        self.shared.stopping.store(true, Ordering::Release);
        let stop = self
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(stop);
        // Wakes the accepting thread.
        drop(TcpStream::connect_timeout(&self.address, STOP_STEP));
        let end = Instant::now() + wait;
        let open = || self.shared.connections.load(Ordering::Acquire);
        while open() > 0 && Instant::now() < end {
            thread::sleep(STOP_STEP);
        }
        open() == 0
    }

    /// Returns the server's state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let count = |counter: &AtomicUsize| counter.load(Ordering::Acquire);
        serde_json::json!({
            "connections": count(&self.shared.connections),
            "connections_limit": self.shared.options.connections(),
            "queries_running": count(&self.shared.running),
            "queries_limit": self.shared.options.queries,
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
                log::warn!("caller: can't accept a connection: {error}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stop: &StopSignal) {
    let (handler, stop) = (handler.clone(), stop.clone());
    let spawned = spawn("caller", move || {
        if let Err(error) = serve_connection(stream, &handler, stop) {
            log::debug!("caller: a connection was lost at once: {error}");
        }
    });
    if let Err(error) = spawned {
        log::warn!("caller: can't start a thread: {error}; raise the limit of threads");
        thread::sleep(ACCEPT_PAUSE);
    }
}

/// Serves a connection. One above the limit is told so, one far above it is
/// closed.
fn serve_connection(stream: TcpStream, handler: &Handler, stop: StopSignal) -> io::Result<()> {
    let options = &handler.shared.options;
    let open = &handler.shared.connections;
    let Some(_permit) = Permit::take(open, options.connections() + REFUSALS) else {
        return Ok(());
    };
    let refuses = open.load(Ordering::Acquire) > options.connections();
    let bounds = Limits {
        max_body_bytes: options.max_body_bytes,
        body_timeout: options.read_limit,
        head_timeout: if refuses { REFUSED_LIMIT } else { IDLE_LIMIT },
    };
    http::serve(stream, bounds, stop, |request, caller| {
        if refuses {
            return Some(handler.refuse());
        }
        handler.respond(request, caller)
    })
}
