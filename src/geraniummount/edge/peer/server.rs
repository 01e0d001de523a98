//! Accepts peers' connections.

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

/// Threads that serve connections.
const THREADS: usize = 2;

/// Connections that one thread serves at most.
const MAX_CONNECTIONS_PER_THREAD: usize = 4096;

/// Longest wait for parts that are not answered yet.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time to write an answer to a connection.
const WRITE_GRACE: Duration = Duration::from_millis(50);

/// Pause after a failed accept, as when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Server for peers; dropping it closes its connections.
pub struct Server {
    address: SocketAddr,
    executors: Vec<Executor<ThreadState>>,
    in_flight: Arc<AtomicUsize>,
}

/// State of one thread.
struct ThreadState {
    service: Rc<PeerService>,
    open_connections: Rc<Cell<usize>>,
}

impl Server {
    /// Listens for peers and serves them.
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

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the parts of peers are answered, a while at most, then
    /// closes the listener and all connections.
    pub fn drain(&self) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.in_flight.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        // The last answers are still being written.
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

async fn accept(listener: TcpListener, executors: Vec<Executor<ThreadState>>) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("peer: can't listen: {error}"),
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
                log::warn!("peer: accept failed: {error}");
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
            return log::warn!("peer: too many connections, one is refused");
        }
        open_connections.set(open_connections.get() + 1);
        if let Err(error) = connection::configure(&stream) {
            log::debug!("peer: connection lost at once: {error}");
        } else if let Ok(stream) = Async::new(stream) {
            let client: peer::Client = capnp_rpc::new_client_from_rc(service);
            let (network, flusher) = network(stream, Side::Server);
            let system = RpcSystem::new(Box::new(network), Some(client.client));
            future::select(system, flusher).await;
        }
        open_connections.set(open_connections.get() - 1);
    }
}
