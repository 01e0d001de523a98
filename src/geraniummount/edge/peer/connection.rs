//! Client side of one connection to a peer (another VM). The calls on it send parts, which are
//! shares of requests for single shards, and other messages.
//!
//! A connection counts as closed as soon as it ends or a ping on it is not answered in time. In the
//! latter case, a device between the two ends may have dropped the state of this connection while
//! new connections still work.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::channel::oneshot;
use futures::future::{self, Either, FutureExt, Shared};
use futures::io::{AsyncReadExt, BufReader, ReadHalf};
use socket2::{Domain, Socket, Type};

use super::write_buffer::write_buffer;
use crate::peer_capnp::peer;

/// Maximum time of one attempt to connect. TCP repeats a lost first packet only
/// after a second, and a new attempt reaches the peer sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of attempts to connect. Only a timeout leads to another one.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// Time without an answer after which a connection in use is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which the peer has to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after an answer in which the peer counts as responsive without a ping.
const LIVENESS_TTL: Duration = Duration::from_millis(600);

/// Time after its last use for which a connection is still pinged.
const PING_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after its last use for which a connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum size of a message in 8-byte words. The limit protects this VM from a
/// faulty peer.
const MAX_MESSAGE_WORDS: usize = 8 * 1024 * 1024;

/// One end of a connection, in the form that capnp-rpc uses.
pub type Network = VatNetwork<BufReader<ReadHalf<Async<TcpStream>>>>;

/// Connection to a peer.
pub struct Connection {
    client: peer::Client,
    /// Resolves when the connection is closed.
    closed: Shared<oneshot::Receiver<()>>,
    is_closed: Cell<bool>,
    /// Closes the connection when dropped; `None` once it is closed.
    close: Cell<Option<oneshot::Sender<()>>>,
    /// Time at which the peer last answered a call or a ping.
    last_answer: Cell<Instant>,
    /// Time of the last call, or of the end of the last part that waited for its outcome. Pings do
    /// not count.
    last_used: Cell<Instant>,
    /// Smoothed round trip time.
    round_trip: Cell<Duration>,
    /// Number of parts that wait for their outcome.
    active_calls: Cell<usize>,
}

/// Marks a connection as used by a part that waits for its outcome, until the guard is dropped.
pub struct CallGuard<'a>(&'a Connection);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.active_calls.set(self.0.active_calls.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

impl Connection {
    /// Connects to a peer from the source address `from`.
    ///
    /// Returns the connection and a future that has to be polled for the
    /// connection to work. The future ends when the connection is closed. Fails
    /// if the peer refuses the connection or all attempts time out.
    pub async fn open(
        from: IpAddr,
        to: SocketAddr,
    ) -> io::Result<(Rc<Connection>, impl Future<Output = ()> + 'static)> {
        let mut last_error = io::Error::from(io::ErrorKind::TimedOut);
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let started_at = Instant::now();
            match timeout(CONNECT_TIMEOUT, connect(from, to)).await {
                Some(Ok(stream)) => return Ok(Connection::start(stream, started_at)),
                Some(Err(error)) => return Err(error),
                None => last_error = io::Error::from(io::ErrorKind::TimedOut),
            }
        }
        Err(last_error)
    }

    fn start(
        stream: Async<TcpStream>,
        started_at: Instant,
    ) -> (Rc<Connection>, impl Future<Output = ()> + 'static) {
        let (network, flusher) = network(stream, Side::Client);
        let mut system = RpcSystem::new(Box::new(network), None);
        let (close, closed) = oneshot::channel();
        let now = Instant::now();
        let connection = Rc::new(Connection {
            client: system.bootstrap(Side::Server),
            closed: closed.shared(),
            is_closed: Cell::new(false),
            close: Cell::new(Some(close)),
            last_answer: Cell::new(now),
            last_used: Cell::new(now),
            round_trip: Cell::new(now.saturating_duration_since(started_at)),
            active_calls: Cell::new(0),
        });
        let driven = Rc::clone(&connection);
        let drive = async move {
            let ended = future::select(system, flusher);
            let ended = future::select(ended, driven.closed.clone());
            future::select(ended, Box::pin(driven.keep_alive())).await;
            driven.close();
        };
        (connection, drive)
    }

    /// Returns the RPC client for a call to the peer. This counts as a use of the
    /// connection.
    pub fn client(&self) -> &peer::Client {
        self.last_used.set(Instant::now());
        &self.client
    }

    /// Counts a part that waits for its outcome until the guard is dropped. The
    /// connection counts as used during that time.
    pub fn begin_call(&self) -> CallGuard<'_> {
        self.active_calls.set(self.active_calls.get() + 1);
        CallGuard(self)
    }

    /// Resolves when the connection is closed.
    pub fn closed(&self) -> impl Future<Output = ()> + Unpin + use<> {
        self.closed.clone().map(|_| ())
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Closes the connection. Calls in flight on it fail.
    pub fn close(&self) {
        self.is_closed.set(true);
        drop(self.close.take());
    }

    /// Records that the peer answered a call.
    pub fn note_answer(&self) {
        self.last_answer.set(Instant::now());
    }

    /// Returns the smoothed round trip time.
    pub fn round_trip(&self) -> Duration {
        self.round_trip.get()
    }

    /// Pings the peer unless it answered recently. Closes the connection if the
    /// peer is unresponsive. Returns whether the connection is usable.
    pub async fn verify(&self) -> bool {
        if self.last_answer.get().elapsed() < LIVENESS_TTL {
            return !self.is_closed();
        }
        self.ping().await
    }

    /// Returns whether the connection has been idle for long enough to be closed.
    pub fn is_idle(&self) -> bool {
        self.idle_time() >= IDLE_TIMEOUT
    }

    /// Pings the peer. Closes the connection if neither the ping nor another call
    /// is answered in time. Returns whether the connection is still open.
    pub async fn ping(&self) -> bool {
        let sent = Instant::now();
        let call = self.client.ping_request().send().promise;
        let answered = matches!(timeout(PING_TIMEOUT, call).await, Some(Ok(_)));
        if answered {
            self.note_answer();
            self.note_round_trip(sent.elapsed());
        } else if self.last_answer.get() < sent {
            self.close();
        }
        !self.is_closed()
    }

    /// Updates the smoothed round trip time by an exponential moving average, in
    /// which a new sample has a weight of 1/8.
    fn note_round_trip(&self, sample: Duration) {
        let smoothed = self.round_trip.get() * 7 / 8 + sample / 8;
        self.round_trip.set(smoothed);
    }

    fn idle_time(&self) -> Duration {
        if self.active_calls.get() > 0 {
            return Duration::ZERO;
        }
        self.last_used.get().elapsed()
    }

    /// Pings the peer while the connection is in use. Ends when the connection is
    /// closed or idle.
    async fn keep_alive(&self) {
        while !self.is_closed() && !self.is_idle() {
            let since_answer = self.last_answer.get().elapsed();
            let was_used_recently = self.idle_time() < PING_IDLE_TIMEOUT;
            if since_answer < PING_INTERVAL {
                Timer::after(PING_INTERVAL - since_answer).await;
            } else if was_used_recently {
                self.ping().await;
            } else {
                Timer::after(PING_INTERVAL).await;
            }
        }
    }
}

/// Wraps one end of a stream for capnp-rpc. The returned future writes to the
/// stream and has to be polled after the network, which fills its buffer.
pub fn network(
    stream: Async<TcpStream>,
    side: Side,
) -> (Network, impl Future<Output = io::Error> + Unpin) {
    let (reader, stream) = stream.split();
    let (writer, flusher) = write_buffer(stream);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    (VatNetwork::new(reader, writer, side, options), flusher)
}

/// Waits for a future. Returns `None` if it takes longer than `limit`.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let future = Box::pin(future);
    match future::select(future, Timer::after(limit)).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Sets the socket options that both ends of a connection need.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

async fn connect(from: IpAddr, to: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(error) if is_in_progress(&error) => {}
        Err(error) => return Err(error),
    }
    let stream = TcpStream::from(socket);
    configure(&stream)?;
    let stream = Async::new_nonblocking(stream)?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Returns whether `connect` on a non-blocking socket reports that the connection
/// is still being established.
fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(libc::EINPROGRESS)
}
