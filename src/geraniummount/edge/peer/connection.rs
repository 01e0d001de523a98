//! One open connection to a peer, as its caller holds it.
//!
//! A connection is taken for closed as soon as it ends or a ping on it has no
//! answer in time: something between the two ends may have lost track of it
//! while new connections work.

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

/// Time after which a connection attempt is given up; a lost first packet is
/// repeated only after a second, so that a second attempt comes sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// A connection on which nothing was heard for so long is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);

const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that was heard from so recently needs no proof.
const LIVENESS_TTL: Duration = Duration::from_millis(600);

/// After the last use pings go on for so long.
const PING_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// After the last use the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Limit of one message in 8-byte words, as a guard against a broken peer.
const MAX_MESSAGE_WORDS: usize = 8 * 1024 * 1024;

/// One end of a connection, as capnp-rpc reads and writes it.
pub type Network = VatNetwork<BufReader<ReadHalf<Async<TcpStream>>>>;

/// An open connection.
pub struct Connection {
    client: peer::Client,
    closed: Shared<oneshot::Receiver<()>>,
    is_closed: Cell<bool>,
    close: Cell<Option<oneshot::Sender<()>>>,
    last_answer: Cell<Instant>,
    last_used: Cell<Instant>,
    round_trip: Cell<Duration>,
    /// Parts that wait for their outcome.
    active_calls: Cell<usize>,
}

/// A part that waits for its outcome on a connection.
pub struct CallGuard<'a>(&'a Connection);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.active_calls.set(self.0.active_calls.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

impl Connection {
    /// Connects from an own address.
    ///
    /// Returns the connection and the future that has to be driven for it;
    /// that future ends when the connection is closed.
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

    /// Returns the peer's interface for a call.
    pub fn client(&self) -> &peer::Client {
        self.last_used.set(Instant::now());
        &self.client
    }

    /// Notes a part until the guard is dropped; the connection counts as used
    /// all that time.
    pub fn begin_call(&self) -> CallGuard<'_> {
        self.active_calls.set(self.active_calls.get() + 1);
        CallGuard(self)
    }

    /// Resolves when the connection is closed.
    pub fn closed(&self) -> impl Future<Output = ()> + Unpin + use<> {
        self.closed.clone().map(|_| ())
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Closes the connection; calls that wait on it fail.
    pub fn close(&self) {
        self.is_closed.set(true);
        drop(self.close.take());
    }

    /// Notes that the peer answered a call.
    pub fn note_answer(&self) {
        self.last_answer.set(Instant::now());
    }

    /// Returns the usual time for a message to the peer and back.
    pub fn round_trip(&self) -> Duration {
        self.round_trip.get()
    }

    /// Makes sure that the peer still answers; closes the connection if not.
    pub async fn verify(&self) -> bool {
        if self.last_answer.get().elapsed() < LIVENESS_TTL {
            return !self.is_closed();
        }
        self.ping().await
    }

    /// Whether it was of no use for so long that it may be closed.
    pub fn is_idle(&self) -> bool {
        self.idle_time() >= IDLE_TIMEOUT
    }

    /// Asks for a sign of life; closes the connection if none comes in time.
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

    /// Moves the estimate an eighth of the way to a new sample.
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

/// Wraps one end of a stream for capnp-rpc. The future that is returned writes
/// to the stream and has to be driven after the network.
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

/// Waits for a future for a while at most.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let future = Box::pin(future);
    match future::select(future, Timer::after(limit)).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Sets the options that both ends of a connection need.
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

/// `connect` on a non-blocking socket says that it goes on.
fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(libc::EINPROGRESS)
}
