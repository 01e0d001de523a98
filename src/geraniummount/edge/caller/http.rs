//! HTTP/1.1 on one connection, with bounds on sizes and times.
//!
//! `rouille` and the server below it read the head of a request without a
//! limit, wait for a body without a time limit, and allocate whatever length
//! a request they turn away claims to have. Callers are not trusted so far,
//! hence the connection is read here, and `httparse` parses the head.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Most header lines of a request.
const MAX_HEADERS: usize = 64;

/// Bytes read at once.
const CHUNK_BYTES: usize = 4 * 1024;

/// Step in which an idle connection looks whether the server stops.
const IDLE_STEP: Duration = Duration::from_millis(100);

/// Time without a request after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Longest time to write a response.
const WRITE_LIMIT: Duration = Duration::from_secs(5);

/// A whole request.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    /// Method, as written.
    pub(super) method: String,
    /// Path without the query string.
    pub(super) path: String,
    /// Query string, without the question mark.
    pub(super) query: String,
    /// Header lines; names in lower case.
    pub(super) headers: Vec<(String, String)>,
    /// Body.
    pub(super) body: Vec<u8>,
    /// Whether the connection ends with the response.
    pub(super) closes: bool,
}

impl Request {
    /// Returns the value of a header, by its name in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.0 == name);
        found.map(|header| header.1.as_str())
    }
}

/// A response with a JSON body.
#[derive(Clone, Debug)]
pub(super) struct Response {
    /// Status code.
    pub(super) status: u16,
    /// Further header lines.
    pub(super) headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub(super) body: Vec<u8>,
}

/// What came instead of a whole request.
#[derive(Debug)]
pub(super) enum Ended {
    /// The connection is over; there is nobody to answer.
    Closed,
    /// Not a request that can be served; the connection ends after the answer.
    Bad {
        /// Status code.
        status: u16,
        /// What was wrong and what to do.
        reason: String,
    },
}

/// Bounds on one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Longest body.
    pub(super) body_bytes: usize,
    /// Time from a request's first byte to its last.
    pub(super) read: Duration,
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Takes over a stream.
    pub(super) fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_LIMIT))?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Reads the next request; `stops` ends the wait for its first byte.
    pub(super) fn read(
        &mut self,
        bounds: Bounds,
        stops: impl Fn() -> bool,
    ) -> Result<Request, Ended> {
        self.await_first_byte(stops)?;
        let end = Instant::now() + bounds.read;
        let (mut request, head) = self.read_head(end)?;
        let length = body_length(&request, bounds.body_bytes)?;
        if request.header("expect").is_some() && self.buffer.len() < head + length {
            let interim = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            interim.map_err(|_| Ended::Closed)?;
        }
        while self.buffer.len() < head + length {
            self.fill(end)?;
        }
        request.body = self.buffer[head..head + length].to_vec();
        self.buffer.drain(..head + length);
        Ok(request)
    }

    /// Writes a response.
    pub(super) fn write(&mut self, response: &Response, closes: bool) -> io::Result<()> {
        let mut text = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            response.status,
            phrase(response.status),
            response.body.len()
        );
        for (name, value) in &response.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if closes {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&response.body);
        self.stream.write_all(&bytes)
    }

    /// Returns whether the caller has closed the connection.
    pub(super) fn is_gone(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let gone = match self.stream.peek(&mut [0]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        gone || self.stream.set_nonblocking(false).is_err()
    }

    fn await_first_byte(&mut self, stops: impl Fn() -> bool) -> Result<(), Ended> {
        let end = Instant::now() + IDLE_LIMIT;
        while self.buffer.is_empty() {
            if stops() || Instant::now() >= end {
                return Err(Ended::Closed);
            }
            match self.receive(IDLE_STEP) {
                Ok(0) => return Err(Ended::Closed),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Err(Ended::Closed),
            }
        }
        Ok(())
    }

    /// Reads and parses the head; returns it with its length.
    fn read_head(&mut self, end: Instant) -> Result<(Request, usize), Ended> {
        loop {
            if let Some(parsed) = parse_head(&self.buffer)? {
                return Ok(parsed);
            }
            if self.buffer.len() >= MAX_HEAD_BYTES {
                let reason = format!("head is longer than {MAX_HEAD_BYTES} bytes; send less");
                return Err(bad(431, reason));
            }
            self.fill(end)?;
        }
    }

    fn fill(&mut self, end: Instant) -> Result<(), Ended> {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(bad(408, "request came too slowly; send it at once"));
        }
        match self.receive(remaining) {
            Ok(0) => Err(Ended::Closed),
            Ok(_) => Ok(()),
            Err(error) if is_timeout(&error) => Ok(()),
            Err(_) => Err(Ended::Closed),
        }
    }

    fn receive(&mut self, limit: Duration) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(limit))?;
        let mut chunk = [0; CHUNK_BYTES];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

fn bad(status: u16, reason: impl Into<String>) -> Ended {
    Ended::Bad {
        status,
        reason: reason.into(),
    }
}

fn parse_head(bytes: &[u8]) -> Result<Option<(Request, usize)>, Ended> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes).map_err(|error| {
        bad(
            400,
            format!("head is not HTTP/1.1: {error}; mend the request"),
        )
    })?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let target = parsed.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let lines = parsed.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value);
        (header.name.to_ascii_lowercase(), value.trim().to_owned())
    });
    let mut request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: lines.collect(),
        ..Request::default()
    };
    let connection = request.header("connection").unwrap_or_default();
    let named = |word: &str| connection.to_ascii_lowercase().contains(word);
    request.closes = named("close") || (parsed.version == Some(0) && !named("keep-alive"));
    Ok(Some((request, length)))
}

fn body_length(request: &Request, most: usize) -> Result<usize, Ended> {
    if request.header("transfer-encoding").is_some() {
        return Err(bad(411, "body has no Content-Length; send one, not chunks"));
    }
    let mut lengths = request.headers.iter().filter(|h| h.0 == "content-length");
    let Some((_, length)) = lengths.next() else {
        return Ok(0);
    };
    if lengths.any(|(_, other)| other != length) {
        return Err(bad(400, "two Content-Length differ; send one"));
    }
    let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    if !digits {
        return Err(bad(
            400,
            "Content-Length is not a number; send the body's bytes",
        ));
    }
    let length = length.parse().unwrap_or(usize::MAX);
    if length > most {
        let reason = format!("body is longer than {most} bytes; send a smaller one");
        return Err(bad(413, reason));
    }
    Ok(length)
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
