//! The TCP half of the proxy, which simulates a network link with delays, losses and cuts.
//!
//! Each direction of a connection has a reading and a writing thread. The bounded queue between
//! them holds bytes until their delay has passed and the direction is not cut, that is, until its
//! `Flow` is `Open`. The client's IP address selects the link.

use std::io::{ErrorKind, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use super::{Connection, Flow, Link, Origin, State};
use crate::interruption;
use crate::monitor::Monitor;

const CHUNK_BYTES: usize = 16 * 1024;
const MAX_QUEUED_CHUNKS: usize = 256;
const STACK_BYTES: usize = 256 * 1024;

/// Interval at which a connection that was opened while a direction was cut checks whether both
/// are open.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout, in practice never reached, of a wait that ends when the proxy's state changes.
const UNBOUNDED_WAIT: Duration = Duration::from_secs(24 * 3600);

/// Accepts connections until the proxy is closed.
pub(super) fn accept(listener: &TcpListener, upstream: SocketAddr, state: &Arc<Monitor<State>>) {
    for stream in listener.incoming() {
        if state.lock().is_closed {
            return;
        }
        let Ok(stream) = stream else { continue };
        let state = Arc::clone(state);
        spawn(move || open_connection(stream, upstream, state));
    }
}

/// Starts a detached thread with a small stack, because each connection needs several threads.
fn spawn(work: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    thread
        .spawn(work)
        .expect("cannot start a thread for a proxy connection");
}

/// The way in which bytes flow: `Forward` from the client to `upstream`, `Back` the other way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Forward,
    Back,
}

impl Direction {
    fn flow(self, link: &Link) -> Flow {
        match self {
            Direction::Forward => link.forward,
            Direction::Back => link.back,
        }
    }
}

/// Queued bytes and the time at which they are due. An empty chunk marks the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Connects to `upstream`, the address behind the proxy, and starts the threads of both directions.
fn open_connection(client: TcpStream, upstream: SocketAddr, state: Arc<Monitor<State>>) {
    let Ok(source) = client.peer_addr() else {
        return;
    };
    let source = source.ip();
    let link = state.lock().link(source);
    if link.refuse {
        return;
    }
    let Some(early_bytes) = wait_until_not_cut(&client, source, &state) else {
        return;
    };
    // Simulates the round trip of the TCP handshake.
    std::thread::sleep(link.delay * 2);
    let Ok(mut server) = TcpStream::connect(upstream) else {
        return;
    };
    if let Ok(local) = server.local_addr() {
        let opened_at = Instant::now();
        state.update(|state| {
            state.origins.push(Origin {
                local,
                source,
                opened_at,
            });
        });
    }
    // A failure only costs latency.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    if server.write_all(&early_bytes).is_err() {
        return;
    }
    let is_blackholed = Arc::new(AtomicBool::new(false));
    let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    state.update(|state| {
        state.connections.push(Connection {
            source,
            streams: [client_copy, server_copy],
            is_blackholed: Arc::clone(&is_blackholed),
        });
    });
    let directions = [
        (Direction::Forward, client.try_clone(), server.try_clone()),
        (Direction::Back, Ok(server), Ok(client)),
    ];
    for (direction, from, to) in directions {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let pump = Pump {
            direction,
            source,
            is_blackholed: Arc::clone(&is_blackholed),
            state: Arc::clone(&state),
        };
        pump.start(from, to);
    }
}

/// Waits until neither direction of the link is cut, because on a real link the TCP handshake can't
/// complete before.
///
/// Returns the bytes that the client sent meanwhile, or `None` when the client has closed the
/// connection or the proxy is closed.
fn wait_until_not_cut(
    mut client: &TcpStream,
    source: IpAddr,
    state: &Monitor<State>,
) -> Option<Vec<u8>> {
    let mut early_bytes = Vec::new();
    loop {
        let (link, is_closed) = {
            let state = state.lock();
            (state.link(source), state.is_closed)
        };
        if is_closed {
            return None;
        }
        if link.forward == Flow::Open && link.back == Flow::Open {
            return Some(early_bytes);
        }
        client.set_read_timeout(Some(CUT_POLL_INTERVAL)).ok()?;
        let mut chunk = [0; CHUNK_BYTES];
        match interruption::read(&mut client, &mut chunk) {
            Ok(0) => return None,
            Ok(count) => early_bytes.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
        client.set_read_timeout(None).ok()?;
    }
}

/// Forwards the bytes of one direction of a connection.
#[derive(Clone)]
struct Pump {
    direction: Direction,
    /// IP address of the client.
    source: IpAddr,
    /// Whether the connection's bytes and its end are read but not passed on.
    is_blackholed: Arc<AtomicBool>,
    state: Arc<Monitor<State>>,
}

impl Pump {
    fn start(self, from: TcpStream, to: TcpStream) {
        let (sender, receiver) = sync_channel(MAX_QUEUED_CHUNKS);
        let reader = self.clone();
        spawn(move || reader.read(from, &sender));
        spawn(move || self.write(&receiver, to));
    }

    /// Reads until the end of the stream and queues each chunk with the time at which it is due.
    fn read(&self, mut from: TcpStream, queue: &SyncSender<Chunk>) {
        let mut last_due = Instant::now();
        let mut buffer = [0; CHUNK_BYTES];
        loop {
            let count = interruption::read(&mut from, &mut buffer).unwrap_or(0);
            last_due = last_due.max(Instant::now() + self.draw_delay());
            let chunk = Chunk {
                due: last_due,
                bytes: buffer[..count].to_vec(),
            };
            if queue.send(chunk).is_err() || count == 0 {
                return;
            }
        }
    }

    /// Draws the delay of one chunk, including the retransmission delay if the chunk is lost.
    fn draw_delay(&self) -> Duration {
        self.state.update(|state| {
            let link = state.link(self.source);
            let is_lost = state.is_lost(&link);
            let retransmission_delay = if is_lost {
                link.retransmission_delay
            } else {
                Duration::ZERO
            };
            state.draw_delay(&link) + retransmission_delay
        })
    }

    /// Writes each chunk once it is due and the direction is not cut.
    fn write(&self, queue: &Receiver<Chunk>, mut to: TcpStream) {
        for chunk in queue {
            std::thread::sleep(chunk.due.saturating_duration_since(Instant::now()));
            if !self.wait_until_open() {
                return;
            }
            if self.is_blackholed.load(Ordering::Relaxed) {
                continue;
            }
            if chunk.bytes.is_empty() {
                // This fails only when the receiver has already closed the connection.
                let _ = to.shutdown(Shutdown::Write);
                self.remove_connection(&to);
            } else if to.write_all(&chunk.bytes).is_err() {
                // The shutdown ends the reading thread of the opposite direction. That direction's
                // writing thread then closes the stream to the peer whose bytes were lost here.
                let _ = to.shutdown(Shutdown::Both);
                self.remove_connection(&to);
                return;
            }
        }
    }

    /// Waits until the direction is not cut; returns `false` when the proxy is closed.
    fn wait_until_open(&self) -> bool {
        let open = self.state.wait(Instant::now() + UNBOUNDED_WAIT, |state| {
            if state.is_closed {
                return Some(false);
            }
            let link = state.link(self.source);
            (self.direction.flow(&link) == Flow::Open).then_some(true)
        });
        open.unwrap_or(false)
    }

    /// Removes the connection from [`State::connections`] after `stream`, one of its two streams,
    /// was shut down.
    fn remove_connection(&self, stream: &TcpStream) {
        let address = stream.local_addr().ok();
        self.state.update(|state| {
            state.connections.retain(|connection| {
                let mut ends = connection.streams.iter();
                !ends.any(|end| end.local_addr().ok() == address && same_peer(end, stream))
            });
        });
    }
}

fn same_peer(one: &TcpStream, other: &TcpStream) -> bool {
    one.peer_addr().ok() == other.peer_addr().ok()
}
