//! Callers' HTTP: takes requests, runs them and returns the answers.
//!
//! Each connection has a thread, and their number is bounded, as is the
//! number of queries that run at once; what is above is refused at once, not
//! run, with a time to come back. A sender that is slow loses its connection.

mod ask;
mod http;
mod response;
mod run;
mod serve;
mod shared;
mod survey;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::http::Connection;
use self::serve::Handler;
use self::shared::{Permit, Shared};
use crate::core::traffic::Traffic;
use crate::edge::claims::Claims;
use crate::edge::dispatcher::Dispatcher;
use crate::edge::metrics::Metrics;
use crate::prelude::*;
use crate::util::published::Published;

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
    /// Time that a caller has to send a request.
    pub read_limit: Duration,
}

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
}

/// The callers' server.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    connections: usize,
}

impl Server {
    /// Listens and serves until [`Server::stop`].
    pub fn start(options: Options, parts: Parts) -> io::Result<Server> {
        let listener = TcpListener::bind(options.listen)?;
        let address = listener.local_addr()?;
        let connections = options.queries + options.spare_connections;
        let shared = Arc::new(Shared {
            options,
            view: parts.view,
            dispatcher: parts.dispatcher,
            metrics: parts.metrics,
            traffic: Mutex::new(Traffic::new(rand::random())),
            stopping: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            used: Mutex::new(Vec::new()),
        });
        let handler = Handler {
            shared: Arc::clone(&shared),
            claims: parts.claims,
        };
        spawn("caller-accept", move || {
            accept(&listener, &handler, connections);
        })?;
        let surveyed = Arc::clone(&shared);
        spawn("caller-survey", move || survey::in_background(&surveyed))?;
        log::info!("caller: listens on {address}");
        Ok(Server {
            shared,
            address,
            connections,
        })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that were read and not yet answered.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Reads no further request and waits for those in flight to be answered.
    /// Returns whether all were before the time was over.
    pub fn stop(&self, wait: Duration) -> bool {
        self.shared.stopping.store(true, Ordering::Release);
        drop(TcpStream::connect_timeout(&self.address, STOP_STEP));
        let end = Instant::now() + wait;
        while self.in_flight() > 0 && Instant::now() < end {
            thread::sleep(STOP_STEP);
        }
        self.in_flight() == 0
    }

    /// Returns the server's state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let count = |counter: &AtomicUsize| counter.load(Ordering::Acquire);
        serde_json::json!({
            "connections": count(&self.shared.connections),
            "connections_limit": self.connections,
            "in_flight": count(&self.shared.in_flight),
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

fn accept(listener: &TcpListener, handler: &Handler, connections: usize) {
    loop {
        let accepted = listener.accept();
        if handler.shared.stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => serve(stream, handler, connections),
            Err(error) => {
                log::warn!("caller: can't accept a connection: {error}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, connections: usize) {
    let handler = handler.clone();
    let spawned = spawn("caller", move || {
        let shared = Arc::clone(&handler.shared);
        let permit = Permit::take(&shared.connections, connections);
        let Ok(connection) = Connection::new(stream) else {
            return;
        };
        match permit {
            Some(_permit) => handler.serve(connection),
            None => handler.refuse(connection),
        }
    });
    if let Err(error) = spawned {
        log::warn!("caller: can't start a thread: {error}; raise the limit of threads");
        thread::sleep(ACCEPT_PAUSE);
    }
}
