//! HTTP/1.1 messages on blocking connections, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, in words.
    pub first: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a message; `Ok(None)` if the connection ends before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        self.read_message(true)
    }

    /// Reads the response to a request with the method HEAD, which has no body whatever length it
    /// states.
    pub fn read_without_body(&mut self) -> io::Result<Option<Message>> {
        self.read_message(false)
    }

    fn read_message(&mut self, has_body: bool) -> io::Result<Option<Message>> {
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ended())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.trim().to_string(), value.trim().to_string()));
        let mut message = Message {
            first: first.split(' ').map(str::to_string).collect(),
            fields: fields.collect(),
            body: Vec::new(),
        };
        let length = message
            .field("Content-Length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.filter(|_| has_body).unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    /// Writes a response.
    pub fn respond(
        &mut self,
        status: u16,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} S\r\n").into_bytes();
        for (name, value) in fields {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }

    /// Writes the response to a request with the method HEAD, which has no body.
    pub fn respond_to_head(&mut self, status: u16, fields: &[(&str, String)]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} S\r\n");
        for (name, value) in fields {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        self.stream.write_all(out.as_bytes())
    }

    /// Returns the bytes that were read ahead and belong to no message yet.
    pub fn ahead(&self) -> &[u8] {
        &self.buffer
    }

    /// Writes a request.
    pub fn request(
        &mut self,
        method: &str,
        target: &str,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        for (name, value) in fields {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !body.is_empty() || method != "GET" {
            out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }
}
