//! One connection to the store, for one call after the other.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use socket2::{SockRef, TcpKeepalive};

use super::{Error, Events, Range};
use crate::prelude::*;
use crate::util::h1::{self, Head, Parsed};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest wait for an answer to a call that does not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which the connection is probed, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time without a sign that sent bytes arrived.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

const READ_BYTES: usize = 64 * 1024;

/// Client of the platform's store. Blocks; a call ends by its time limit.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Store {
    /// Prepares a client; connects with the first call.
    pub fn new(address: SocketAddr) -> Store {
        Store {
            address,
            stream: None,
        }
    }

    /// Returns where the store is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the keys with a prefix that follow `after`, one page.
    ///
    /// # Errors
    ///
    /// The store can't be reached, refuses, or answers nonsense.
    pub fn range(&mut self, prefix: &str, after: Option<&str>) -> Result<Range, Error> {
        let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
        let target = format!("/api/kv-range?prefix={prefix}{after}");
        read(&self.call(&target, CALL_TIMEOUT)?)
    }

    /// Waits for changes after a revision; none where the time passes.
    ///
    /// # Errors
    ///
    /// The history is gone, or the store can't be reached, refuses, or answers
    /// nonsense.
    pub fn watch(
        &mut self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Events, Error> {
        let wait_ms = wait.as_millis();
        let target = format!("/api/kv-watch?prefix={prefix}&after={after}&waitMs={wait_ms}");
        read(&self.call(&target, wait + CALL_TIMEOUT)?)
    }

    fn call(&mut self, target: &str, limit: Duration) -> Result<h1::Response, Error> {
        let end = Instant::now() + limit;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let mut head = Vec::with_capacity(128);
        h1::request_line(&mut head, "GET", target);
        h1::field(&mut head, "Host", self.address.to_string().as_bytes());
        h1::end_head(&mut head);
        stream.set_write_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(&head)?;
        let response = receive(&mut stream, end)?;
        if response.head.kept {
            self.stream = Some(stream);
        }
        match response.head.status {
            410 => Err(Error::Compacted),
            status @ (429 | 500..) => Err(Error::Refused(status)),
            _ => Ok(response),
        }
    }

    fn connect(&self) -> Result<TcpStream, Error> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(stream)
    }
}

fn receive(stream: &mut TcpStream, end: Instant) -> Result<h1::Response, Error> {
    let malformed = |fault: h1::Fault| Error::Malformed(fault.to_string());
    let mut buffer = Vec::new();
    let mut head: Option<Head> = None;
    let mut content = Vec::new();
    loop {
        if head.is_none()
            && let Parsed::Whole(parsed, length) = Head::parse(&buffer, false).map_err(malformed)?
        {
            buffer.drain(..length);
            head = Some(parsed);
        }
        if let Some(parsed) = &mut head {
            let (taken, done) = parsed.body.feed(&buffer, &mut content).map_err(malformed)?;
            buffer.drain(..taken);
            if done && let Some(head) = head.take() {
                return Ok(h1::Response { head, content });
            }
        }
        if !fill(stream, &mut buffer, end)? {
            return Err(Error::Unreachable(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

/// Reads once; returns whether the connection goes on.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: Instant) -> Result<bool, Error> {
    let mut chunk = vec![0; READ_BYTES];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Error::Unreachable(io::ErrorKind::TimedOut.into()));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut chunk) {
            Ok(count) => {
                buffer.extend_from_slice(&chunk[..count]);
                return Ok(count > 0);
            }
            // A process that stood still and goes on gets this.
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn read<T: DeserializeOwned>(response: &h1::Response) -> Result<T, Error> {
    if response.head.status != 200 {
        let status = response.head.status;
        return Err(Error::Malformed(format!("status {status}")));
    }
    let body = serde_json::from_slice(&response.content);
    body.map_err(|error| Error::Malformed(error.to_string()))
}
