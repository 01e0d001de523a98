//! An HTTP/1.1 call in flight on the platform's key-value store, which the users run.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::Error;
use crate::util::h1::{self, Fault, Head, Parsed};

/// Maximum size of an answer. A page has at most about 1 MB, and a value 1 MB before its encoding.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

const READ_CHUNK_BYTES: usize = 64 * 1024;

/// A call in flight. Dropping it closes its connection.
#[derive(Debug)]
pub(super) struct Call {
    stream: TcpStream,
    /// Bytes read from the connection and not parsed yet.
    buffer: Vec<u8>,
    /// Head of the answer, once it is complete.
    head: Option<Head>,
    /// Number of interim answers.
    interim_count: u32,
    /// Body of the answer, as far as it was received.
    content: Vec<u8>,
    /// Number of bytes received so far.
    received: usize,
}

impl Call {
    pub(super) fn new(stream: TcpStream) -> Call {
        Call {
            stream,
            buffer: Vec::new(),
            head: None,
            interim_count: 0,
            content: Vec::new(),
            received: 0,
        }
    }

    /// Waits for the complete answer as long as its bytes keep arriving: `None` if none has arrived
    /// for `stall_timeout`, or if the answer is incomplete at the deadline.
    pub(super) fn wait_while_receiving(
        &mut self,
        stall_timeout: Duration,
        deadline: Instant,
    ) -> Result<Option<h1::Response>, Error> {
        loop {
            let received = self.received;
            let until = deadline.min(Instant::now() + stall_timeout);
            if let Some(response) = self.wait_for_answer(until)? {
                return Ok(Some(response));
            }
            if self.received == received || until == deadline {
                return Ok(None);
            }
        }
    }

    /// Waits for the complete answer; `None` if it has not arrived by the deadline.
    pub(super) fn wait_for_answer(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<h1::Response>, Error> {
        loop {
            if let Some(response) = self.parse().map_err(malformed)? {
                return Ok(Some(response));
            }
            if !self.read(deadline)? {
                return Ok(None);
            }
        }
    }

    /// Returns the connection, for reuse after the call was answered; `None` if bytes followed the
    /// answer, which would be taken for the answer to the next call.
    pub(super) fn into_stream(self) -> Option<TcpStream> {
        self.buffer.is_empty().then_some(self.stream)
    }

    /// Parses the buffered bytes; returns the answer once it is complete.
    fn parse(&mut self) -> Result<Option<h1::Response>, Fault> {
        while self.head.is_none()
            // `false`: the request does not have the method `HEAD`.
            && let Parsed::Complete(head, length) = Head::parse(&self.buffer, false)?
        {
            self.buffer.drain(..length);
            self.interim_count += u32::from(head.is_interim());
            if self.interim_count > h1::MAX_INTERIM_RESPONSES {
                return Err(Fault::Interim);
            }
            self.head = Some(head).filter(|head| !head.is_interim());
        }
        let Some(head) = &mut self.head else {
            return Ok(None);
        };
        let (taken, done) = head.body.feed(&self.buffer, &mut self.content)?;
        self.buffer.drain(..taken);
        if !done {
            return Ok(None);
        }
        let content = std::mem::take(&mut self.content);
        let head = self.head.take();
        Ok(head.map(|head| h1::Response { head, content }))
    }

    /// Reads once from the connection; returns whether bytes arrived before the deadline.
    fn read(&mut self, deadline: Instant) -> Result<bool, Error> {
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(false);
            }
            self.stream.set_read_timeout(Some(left))?;
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    self.received += count;
                    if self.received > MAX_ANSWER_BYTES {
                        return Err(Error::Malformed("it is too long".to_string()));
                    }
                    return Ok(true);
                }
                Err(error) if is_timeout(&error) => return Ok(false),
                // A signal interrupted the read, for example because the process resumed after it
                // was suspended. Read again.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

fn malformed(fault: Fault) -> Error {
    Error::Malformed(fault.to_string())
}
