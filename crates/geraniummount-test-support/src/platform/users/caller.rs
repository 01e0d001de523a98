//! Requests that a caller on the simulated platform of the users sends to a gateway, and the
//! replies that it receives.
//!
//! The signature is the text in a leaf's answer by which the leaf identifies itself and the request
//! that it answers. The gateway passes it on to the caller.

use std::cmp::Ordering;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::document::HOST;
use crate::interruption;

const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Id sent in `Request-Id`; each request that a caller sends needs its own.
    pub id: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Time that the caller waits for the reply, sent in `Deadline-Ms`.
    pub deadline: Duration,
    /// Body of the request.
    pub body: &'a [u8],
}

/// A reply that the caller received.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body of the reply.
    pub body: Vec<u8>,
    fields: Vec<(String, String)>,
}

impl Request<'_> {
    /// Sends the request and reads its reply.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or times out before the reply is complete, and with
    /// `InvalidData` if the bytes received are not exactly one reply.
    pub fn exchange(&self, stream: &mut TcpStream) -> io::Result<Reply> {
        self.exchange_with("", stream)
    }

    /// Sends the request with further header fields, each with its line end, and reads its reply.
    ///
    /// # Errors
    ///
    /// The same as for [`Request::exchange`].
    pub fn exchange_with(&self, fields: &str, stream: &mut TcpStream) -> io::Result<Reply> {
        let head = self.head(fields);
        stream.write_all(&[head.as_bytes(), self.body].concat())?;
        Reply::read(stream)
    }

    /// Returns the request in HTTP/1.1 wire format.
    pub fn to_bytes(&self) -> Vec<u8> {
        [self.head("").as_bytes(), self.body].concat()
    }

    fn head(&self, fields: &str) -> String {
        let Request {
            id, method, path, ..
        } = self;
        let (deadline, length) = (self.deadline.as_millis(), self.body.len());
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n{fields}\r\n"
        )
    }
}

impl Reply {
    /// Reads one reply, which must have a `Content-Length`.
    ///
    /// # Errors
    ///
    /// The same as for [`Request::exchange`].
    pub fn read(stream: &mut TcpStream) -> io::Result<Reply> {
        let mut bytes = Vec::new();
        loop {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = interruption::read(stream, &mut chunk)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend_from_slice(&chunk[..count]);
            if let Some(reply) = Reply::parse(&bytes)? {
                return Ok(reply);
            }
        }
    }

    /// Returns whether the server closes the connection after this reply.
    pub fn closes_connection(&self) -> bool {
        self.field("Connection") == Some("close")
    }

    /// Returns the signature of the leaf that answered, or `None` if the reply has none.
    pub fn signature(&self) -> Option<&str> {
        self.field("Server-Stamp")
    }

    /// Returns the signatures of the leaves that answered a query over many shards, one for each
    /// included shard.
    pub fn part_signatures(&self) -> Vec<&str> {
        let signatures = self.field("Part-Stamps").unwrap_or_default();
        signatures.split(", ").collect()
    }

    /// Returns the number of shards whose results are missing, which is 0 if the reply has no
    /// `Missing-Parts`; `None` if that field is not a number.
    pub fn missing_shards(&self) -> Option<usize> {
        self.field("Missing-Parts").unwrap_or("0").parse().ok()
    }

    /// Returns the value of a header field; the name is case-insensitive.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the names of all fields, in order.
    pub fn field_names(&self) -> impl Iterator<Item = &str> {
        self.fields.iter().map(|(name, _)| name.as_str())
    }

    /// Parses a reply; `None` while it is incomplete.
    fn parse(bytes: &[u8]) -> io::Result<Option<Reply>> {
        let malformed = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
        let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&bytes[..end]);
        let mut lines = head.lines();
        let status = lines
            .next()
            .and_then(|line| line.split(' ').nth(1)?.parse().ok());
        let status = status.ok_or_else(|| malformed("reply has no valid status line"))?;
        let fields = lines.filter_map(|line| line.split_once(": "));
        let fields = fields.map(|(name, value)| (name.to_string(), value.to_string()));
        let mut reply = Reply {
            status,
            body: Vec::new(),
            fields: fields.collect(),
        };
        let length = reply
            .field("Content-Length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.ok_or_else(|| malformed("reply has no valid Content-Length"))?;
        let body = &bytes[end + 4..];
        match body.len().cmp(&length) {
            Ordering::Less => Ok(None),
            Ordering::Greater => Err(malformed("unexpected bytes after the reply")),
            Ordering::Equal => {
                reply.body = body.to_vec();
                Ok(Some(reply))
            }
        }
    }
}
