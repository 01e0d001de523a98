//! Stand-in for a faulty leaf whose answers never end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::monitor::Monitor;

/// Number of bytes after which the leaf falls silent, so that a faulty reader does not use up the
/// machine's memory.
const MAX_BYTES: usize = 96 * 1024 * 1024;

const CHUNK_BYTES: usize = 64 * 1024;

/// What never ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Bytes that are no HTTP at all.
    Junk,
    /// The fields of the head.
    Head,
    /// The value of one field.
    Field,
    /// Interim answers.
    Interim,
    /// A body that ends with the connection.
    Unframed,
    /// A body in chunks.
    Chunked,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers after a body in chunks.
    Trailers,
    /// A body with an absurd length.
    Length,
    /// A body that stays silent after this number of bytes.
    SilentAfter(usize),
}

/// All kinds that never stop sending.
pub const KINDS: &[Kind] = &[
    Kind::Junk,
    Kind::Head,
    Kind::Field,
    Kind::Interim,
    Kind::Unframed,
    Kind::Chunked,
    Kind::ChunkExtension,
    Kind::Trailers,
    Kind::Length,
];

/// A running stand-in. Its threads end with their connections.
#[derive(Debug)]
pub struct Endless {
    address: SocketAddr,
    state: Arc<Monitor<State>>,
    connections: Arc<AtomicUsize>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes that were written on all connections.
    written: usize,
}

impl Endless {
    /// Listens on a free port of 127.0.0.1.
    pub fn start(kind: Kind) -> Endless {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port on 127.0.0.1");
        let endless = Endless {
            address: listener
                .local_addr()
                .expect("listener has no local address"),
            state: Arc::default(),
            connections: Arc::default(),
        };
        let (state, connections) = (Arc::clone(&endless.state), endless.connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::Relaxed);
                let state = Arc::clone(&state);
                thread::spawn(move || serve(stream, kind, &state));
            }
        });
        endless
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes that were taken from all answers, including those in the buffers
    /// of the sockets.
    pub fn written(&self) -> usize {
        self.state.lock().written
    }

    /// Returns the number of connections so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Answers the first request on a connection until its reader closes it.
fn serve(mut stream: TcpStream, kind: Kind, state: &Monitor<State>) {
    let mut request = [0; 4096];
    if matches!(stream.read(&mut request), Ok(count) if count > 0) {
        answer(&mut stream, kind, state);
        // Stays silent until the reader closes the connection.
        while matches!(stream.read(&mut request), Ok(count) if count > 0) {}
    }
}

/// Writes the answer until it is long enough or the reader closes the connection.
fn answer(stream: &mut TcpStream, kind: Kind, state: &Monitor<State>) {
    let (start, repeated) = pattern(kind);
    let max_bytes = match kind {
        Kind::SilentAfter(bytes) => bytes,
        _ => MAX_BYTES,
    };
    let mut written = 0;
    let mut next = start;
    while written < max_bytes {
        if stream.write_all(&next).is_err() {
            return;
        }
        written += next.len();
        state.update(|state| state.written += next.len());
        next.clone_from(&repeated);
    }
}

/// Returns what is sent first, and what is sent again and again after it.
fn pattern(kind: Kind) -> (Vec<u8>, Vec<u8>) {
    const OK: &str = "HTTP/1.1 200 OK\r\n";
    let filler = "x".repeat(CHUNK_BYTES);
    let (start, repeated) = match kind {
        Kind::Junk => (filler.clone(), filler),
        Kind::Head => (OK.to_string(), "X-More: and more\r\n".repeat(4096)),
        Kind::Field => (format!("{OK}X-Long: "), filler),
        Kind::Interim => (String::new(), "HTTP/1.1 102 Wait\r\n\r\n".repeat(4096)),
        Kind::Unframed => (format!("{OK}\r\n"), filler),
        Kind::Chunked => (
            format!("{OK}Transfer-Encoding: chunked\r\n\r\n"),
            format!("{CHUNK_BYTES:x}\r\n{filler}\r\n"),
        ),
        Kind::ChunkExtension => (
            format!("{OK}Transfer-Encoding: chunked\r\n\r\n10;x="),
            filler,
        ),
        Kind::Trailers => (
            format!("{OK}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            "X-More: and more\r\n".repeat(4096),
        ),
        Kind::Length | Kind::SilentAfter(_) => {
            (format!("{OK}Content-Length: 1000000000000\r\n\r\n"), filler)
        }
    };
    (start.into_bytes(), repeated.into_bytes())
}
