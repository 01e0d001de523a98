//! What a caller of the users' platform sends, and the replies that it reads.

use std::cmp::Ordering;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::document::HOST;

const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Id of the attempt.
    pub id: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Body.
    pub body: &'a [u8],
}

/// A reply as it came.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    fields: Vec<(String, String)>,
}

impl Request<'_> {
    /// Sends it and reads its reply.
    ///
    /// # Errors
    ///
    /// The connection ended or kept silent; `InvalidData` where what came is
    /// no reply, or more than one.
    pub fn exchange(&self, stream: &mut TcpStream) -> io::Result<Reply> {
        stream.write_all(&self.to_bytes())?;
        Reply::read(stream)
    }

    /// Returns it as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        [self.head().as_bytes(), self.body].concat()
    }

    fn head(&self) -> String {
        let Request {
            id, method, path, ..
        } = self;
        let (deadline, length) = (self.deadline.as_millis(), self.body.len());
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\r\n"
        )
    }
}

impl Reply {
    /// Reads one reply that declares its length.
    ///
    /// # Errors
    ///
    /// As [`Request::exchange`].
    pub fn read(stream: &mut TcpStream) -> io::Result<Reply> {
        let mut bytes = Vec::new();
        loop {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = stream.read(&mut chunk)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend_from_slice(&chunk[..count]);
            if let Some(reply) = Reply::parse(&bytes)? {
                return Ok(reply);
            }
        }
    }

    /// Returns whether the connection ends after it.
    pub fn closes_connection(&self) -> bool {
        self.field("Connection") == Some("close")
    }

    /// Returns the signature of the leaf that answered.
    pub fn signature(&self) -> Option<&str> {
        self.field("Server-Stamp")
    }

    /// Returns the signatures of the parts of a query over many shards.
    pub fn part_signatures(&self) -> Vec<&str> {
        let signatures = self.field("Part-Stamps").unwrap_or_default();
        signatures.split(", ").collect()
    }

    /// Returns the number of shards that it lacks; `None` where that is no
    /// number.
    pub fn missing_shards(&self) -> Option<usize> {
        self.field("Missing-Parts").unwrap_or("0").parse().ok()
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Reads a reply; `None` while it is not whole.
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
        let status = status.ok_or_else(|| malformed("no status line"))?;
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
        let length: usize = length.ok_or_else(|| malformed("no length"))?;
        let body = &bytes[end + 4..];
        match body.len().cmp(&length) {
            Ordering::Less => Ok(None),
            Ordering::Greater => Err(malformed("bytes behind the reply")),
            Ordering::Equal => {
                reply.body = body.to_vec();
                Ok(Some(reply))
            }
        }
    }
}
