//! Blocking HTTP/1.1, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line: 0 is the method, 1 is the target of a request or the status
    /// of a response.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        let value = self.field("connection");
        value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // Without this, the second write of a message may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_string();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let fields = pairs.map(|(name, value)| (name.to_string(), value.trim().to_string()));
        Ok(Message {
            start,
            fields: fields.collect(),
            body: Vec::new(),
        })
    }

    /// Reads the next message; one without a length has no body.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let length = message.field("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    pub fn write(&mut self, start: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in fields {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Writes a response with its length.
    pub fn respond(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let length = body.len().to_string();
        let mut all = fields.to_vec();
        all.push(("Content-Length", &length));
        self.write(&format!("HTTP/1.1 {status} Status"), &all, body)
    }
}
