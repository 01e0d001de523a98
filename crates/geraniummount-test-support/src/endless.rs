//! Stand-in for a faulty leaf whose answers never end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::monitor::Monitor;
use crate::platform::users::{Framing, signature};

/// Number of bytes after which the leaf falls silent, so that a faulty reader does not use up the
/// machine's memory.
const MAX_BYTES: usize = 96 * 1024 * 1024;

const CHUNK_BYTES: usize = 64 * 1024;

const OK: &str = "HTTP/1.1 200 OK\r\n";

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
    /// An interim answer with a long head, and nothing after it.
    LongInterim,
    /// The long head of an answer, and nothing after it.
    LongHead,
    /// A complete answer after an interim one with a long head.
    LongInterimFirst,
    /// Bytes after a complete answer.
    AfterAnswer,
    /// Bytes some time after a complete answer, when the connection waits for the next request.
    Idle,
    /// Copies of a complete answer.
    Copies,
    /// Complete answers to another request.
    Foreign,
}

/// Kinds that leave a request without an answer.
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
    Kind::Foreign,
];

/// Kinds that send a complete answer first.
pub const ANSWERED_KINDS: &[Kind] = &[Kind::AfterAnswer, Kind::Idle, Kind::Copies];

/// Kinds that fall silent once they have sent a long head.
pub const SILENT_KINDS: &[Kind] = &[Kind::LongInterim, Kind::LongHead, Kind::LongInterimFirst];

/// Body of the answers that are complete.
pub const CONTENT: &str = "record-of-16-byt";

/// Length of a head that is long but not too long.
const LONG_HEAD_BYTES: usize = 60 * 1024;

/// Time after a complete answer for which [`Kind::Idle`] is silent.
const IDLE_TIME: Duration = Duration::from_millis(50);

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
    if let Ok(count @ 1..) = stream.read(&mut request) {
        let head = String::from_utf8_lossy(&request[..count]);
        let fields = head.lines().filter_map(|line| line.split_once(": "));
        let mut ids = fields.filter(|(name, _)| name.eq_ignore_ascii_case("Request-Id"));
        let id = ids.next().map_or("", |(_, id)| id);
        answer(&mut stream, kind, id, state);
        // Stays silent until the reader closes the connection.
        while matches!(stream.read(&mut request), Ok(count) if count > 0) {}
    }
}

/// Writes the answer until it is long enough or the reader closes the connection.
fn answer(stream: &mut TcpStream, kind: Kind, id: &str, state: &Monitor<State>) {
    let (start, repeated) = pattern(kind, id);
    let max_bytes = match kind {
        Kind::SilentAfter(bytes) => bytes,
        Kind::LongInterim | Kind::LongHead | Kind::LongInterimFirst => start.len(),
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
        if kind == Kind::Idle {
            thread::sleep(IDLE_TIME);
        }
        next.clone_from(&repeated);
    }
}

/// Returns a complete answer to the request with an id.
fn complete(id: &str) -> String {
    let answer = Framing::Length.answer(id, &signature("endless", id), CONTENT.as_bytes());
    String::from_utf8(answer).expect("it consists of text")
}

/// Returns a field that makes a head long.
fn long_field() -> String {
    format!("X-Long: {}\r\n", "x".repeat(LONG_HEAD_BYTES))
}

/// Returns what is sent first, and what is sent again and again after it, in answer to the request
/// with an id.
fn pattern(kind: Kind, id: &str) -> (Vec<u8>, Vec<u8>) {
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
        Kind::LongInterim => (
            format!("HTTP/1.1 102 Wait\r\n{}\r\n", long_field()),
            String::new(),
        ),
        Kind::LongInterimFirst => (
            format!("HTTP/1.1 102 Wait\r\n{}\r\n{}", long_field(), complete(id)),
            String::new(),
        ),
        Kind::LongHead => (
            format!("{OK}{}Content-Length: 1000\r\n\r\n", long_field()),
            String::new(),
        ),
        Kind::AfterAnswer => (complete(id) + &filler, filler),
        Kind::Idle => (complete(id), filler),
        Kind::Copies => (complete(id), complete(id).repeat(256)),
        Kind::Foreign => (complete("another"), complete("another").repeat(256)),
    };
    (start.into_bytes(), repeated.into_bytes())
}
