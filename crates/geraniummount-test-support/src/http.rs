//! Minimal HTTP/1.1 server for the stand-ins: one request at a time on a connection. Request
//! bodies have a `Content-Length` or are chunked; replies have a `Content-Length`.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use crate::interruption;

const MAX_HEADERS: usize = 64;
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// A request read from a connection.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    /// Path and query string as received.
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// Returns all headers as received, in order.
    pub(crate) fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    /// Returns the value of a header; the name is case-insensitive.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a header as a number; `None` if it is absent or not a number.
    pub(crate) fn header_number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// Returns the path without the query string.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter as a number; `None` if it is absent or not a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next()?.1.parse().ok()
    }
}

/// A reply to send.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Response {
    /// Creates a reply without a body.
    pub(crate) fn empty(status: u16) -> Response {
        Response::new(status, Vec::new())
    }

    /// Creates a reply with a body.
    pub(crate) fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Creates a reply with a JSON body.
    pub(crate) fn json(status: u16, body: &serde_json::Value) -> Response {
        Response::new(status, body.to_string()).with_header("Content-Type", "application/json")
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: impl ToString) -> Response {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Replaces the value of a header.
    pub(crate) fn replace_header(mut self, name: &'static str, value: impl ToString) -> Response {
        self.headers.retain(|(key, _)| *key != name);
        self.with_header(name, value)
    }

    /// Returns the reply in HTTP/1.1 wire format.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} Status\r\n", self.status);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        // A 304 reply has no body; some clients would wait for one if it had a length.
        if self.status != 304 {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// The server side of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> Connection {
        // A failure here only costs latency.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns the socket.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads the next request; `None` if the client has closed the connection.
    pub(crate) fn read(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((request, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(request));
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = interruption::read(&mut self.stream, &mut chunk)?;
            if count == 0 {
                return Ok(None);
            }
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }

    /// Sends a reply.
    pub(crate) fn write(&mut self, response: &Response) -> io::Result<()> {
        self.stream.write_all(&response.to_bytes())
    }

    /// Sends bytes unchanged.
    pub(crate) fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a reply without the second half of its body.
    pub(crate) fn write_truncated(&mut self, response: &Response) -> io::Result<()> {
        let bytes = response.to_bytes();
        self.stream
            .write_all(&bytes[..bytes.len() - response.body.len() / 2])
    }

    /// Waits until the client sends or closes. Returns the first bytes available without
    /// consuming them, or no bytes if the client has closed the connection.
    pub(crate) fn peek(&self) -> io::Result<Vec<u8>> {
        if !self.buffer.is_empty() {
            return Ok(self.buffer.clone());
        }
        let mut first_bytes = [0; 16];
        let count = self.stream.peek(&mut first_bytes)?;
        Ok(first_bytes[..count].to_vec())
    }

    /// Returns whether the client has closed the connection; does not block.
    pub(crate) fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        closed | self.stream.set_nonblocking(false).is_err()
    }

    /// Discards everything that the client sends until it closes the connection.
    pub(crate) fn discard_until_closed(&mut self) {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while matches!(self.stream.read(&mut chunk), Ok(count) if count > 0) {}
    }
}

/// Parses the request at the start of `bytes` and returns it with its encoded length; `None`
/// while it is incomplete.
fn parse(bytes: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_length) = head.parse(bytes).map_err(io::Error::other)?
    else {
        return Ok(None);
    };
    let fields = head.headers.iter().map(|field| {
        let value = String::from_utf8_lossy(field.value).into_owned();
        (field.name.to_string(), value)
    });
    let mut request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        headers: fields.collect(),
        body: Vec::new(),
    };
    let (body, length) = match request.header("Transfer-Encoding") {
        Some(_) => match parse_chunks(&bytes[head_length..])? {
            Some((body, length)) => (body, length),
            None => return Ok(None),
        },
        None => {
            let length = request.header_number("Content-Length").unwrap_or(0) as usize;
            match bytes.get(head_length..head_length + length) {
                Some(body) => (body.to_vec(), length),
                None => return Ok(None),
            }
        }
    };
    request.body = body;
    Ok(Some((request, head_length + length)))
}

/// Decodes the chunked body at the start of `bytes` and returns it with its encoded length;
/// `None` while it is incomplete.
fn parse_chunks(bytes: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let status = httparse::parse_chunk_size(&bytes[at..]);
        let status = status.map_err(|_| io::Error::other("invalid chunk size"))?;
        let httparse::Status::Complete((skip, size)) = status else {
            return Ok(None);
        };
        let start = at + skip;
        let end = start + size as usize;
        // Each chunk ends in CR LF.
        let Some(chunk) = bytes.get(start..end + 2) else {
            return Ok(None);
        };
        body.extend_from_slice(&chunk[..size as usize]);
        at = end + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
