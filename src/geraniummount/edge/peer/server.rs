//! Accepts and serves the connections of peers, which send parts (shares of requests for single
//! shards) and other calls.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::future::{self, FutureExt};

use super::connection::network;
use super::service::PeerService;
use super::{Hooks, connection};
use crate::edge::dispatcher::Dispatcher;
use crate::edge::executor::Executor;
use crate::peer_capnp::peer;

/// Number of threads that serve connections.
const THREADS: usize = 2;

/// Maximum number of connections that one thread serves.
const MAX_CONNECTIONS_PER_THREAD: usize = 4096;

/// Maximum wait for parts in flight when the server drains, that is, answers them before it closes
/// its connections.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of the check for parts in flight when the server drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for the last answers to be written before the connections are closed.
const WRITE_GRACE: Duration = Duration::from_millis(50);

/// Wait after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Server for calls of peers. Dropping it closes its connections.
pub struct Server {
    address: SocketAddr,
    /// Threads that serve the connections. The first one also accepts them.
    executors: Vec<Executor<ThreadState>>,
    /// Number of parts of peers that are not answered yet.
    in_flight: Arc<AtomicUsize>,
}

/// State of one server thread.
struct ThreadState {
    service: Rc<PeerService>,
    /// Number of connections that the thread serves.
    open_connections: Rc<Cell<usize>>,
}

impl Server {
    /// Listens for connections of peers and serves them. Fails if the address
    /// can't be bound or a thread can't be started.
    pub fn start(listen: SocketAddr, dispatcher: &Dispatcher, hooks: Hooks) -> io::Result<Server> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let hooks = Arc::new(hooks);
        let in_flight = Arc::new(AtomicUsize::new(0));
        let mut executors = Vec::new();
        for _ in 0..THREADS {
            let (dispatcher, hooks) = (dispatcher.clone(), Arc::clone(&hooks));
            let in_flight = Arc::clone(&in_flight);
            let init = move || ThreadState {
                service: Rc::new(PeerService::new(dispatcher, hooks, in_flight)),
                open_connections: Rc::default(),
            };
            executors.push(Executor::start("peer-server", init)?);
        }
        let others = executors.clone();
        executors[0].run(move |_, spawner| {
            drop(spawner.unbounded_send(accept(listener, others).boxed_local()));
        });
        Ok(Server {
            address,
            executors,
            in_flight,
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for a limited time until the parts of peers are answered, and then
    /// closes the listener and all connections.
    pub fn drain(&self) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.in_flight.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        // The last answers may not be written to their connections yet.
        thread::sleep(WRITE_GRACE);
        self.stop();
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.executors.iter().for_each(Executor::stop);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Accepts connections and passes them to the threads in turn.
async fn accept(listener: TcpListener, executors: Vec<Executor<ThreadState>>) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("peer: failed to register the listener: {error}"),
    };
    for executor in executors.iter().cycle() {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(stream) = stream.into_inner() else {
                    continue;
                };
                executor.run(move |state, spawner| {
                    let future = serve(stream, Rc::clone(&state.service), &state.open_connections);
                    drop(spawner.unbounded_send(future.boxed_local()));
                });
            }
            Err(error) => {
                log::warn!("peer: failed to accept a connection: {error}");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn serve(
    stream: TcpStream,
    service: Rc<PeerService>,
    open_connections: &Rc<Cell<usize>>,
) -> impl Future<Output = ()> + 'static {
    let open_connections = Rc::clone(open_connections);
    async move {
        if open_connections.get() >= MAX_CONNECTIONS_PER_THREAD {
            return log::warn!("peer: too many connections; closing a new one");
        }
        open_connections.set(open_connections.get() + 1);
        if let Err(error) = connection::configure(&stream) {
            log::debug!("peer: failed to configure a new connection: {error}");
        } else if let Ok(stream) = Async::new(stream) {
            let client: peer::Client = capnp_rpc::new_client_from_rc(service);
            let (network, flusher) = network(stream, Side::Server);
            let system = RpcSystem::new(Box::new(network), Some(client.client));
            future::select(system, flusher).await;
        }
        open_connections.set(open_connections.get() - 1);
    }
}
