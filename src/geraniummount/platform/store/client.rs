//! One connection to the store, for one call after the other.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use socket2::{SockRef, TcpKeepalive};

use super::call::Call;
use super::{Error, Range, Watch};
use crate::prelude::*;
use crate::util::h1;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest wait for an answer to a call that does not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which the connection is probed, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is given up.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Longest time without a sign that sent bytes arrived.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Prefix of no key.
const NO_KEYS_PREFIX: &str = "none/";

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
        decode(&self.call(&target, CALL_TIMEOUT)?)
    }

    /// Returns the store's revision; it may be seconds old.
    ///
    /// # Errors
    ///
    /// The store can't be reached, refuses, or answers nonsense.
    pub fn recent_revision(&mut self) -> Result<Revision, Error> {
        let target = format!("/api/kv-range?prefix={NO_KEYS_PREFIX}&allowStale=1");
        let range: Range = decode(&self.call(&target, CALL_TIMEOUT)?)?;
        Ok(range.as_of)
    }

    /// Starts to wait for changes after a revision; the store answers without
    /// any when the time is over.
    ///
    /// # Errors
    ///
    /// The store can't be reached.
    pub fn watch(
        &mut self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watch<'_>, Error> {
        let wait_ms = wait.as_millis();
        let target = format!("/api/kv-watch?prefix={prefix}&after={after}&waitMs={wait_ms}");
        let call = self.send(&target)?;
        Ok(Watch::new(self, call, Instant::now() + wait + CALL_TIMEOUT))
    }

    fn call(&mut self, target: &str, timeout: Duration) -> Result<h1::Response, Error> {
        let deadline = Instant::now() + timeout;
        let mut call = self.send(target)?;
        let response = call
            .wait_for_answer(deadline)?
            .ok_or_else(Error::timed_out)?;
        self.finish(call, response)
    }

    fn send(&mut self, target: &str) -> Result<Call, Error> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let mut head = Vec::with_capacity(128);
        h1::write_request_line(&mut head, "GET", target);
        h1::write_field(&mut head, "Host", self.address.to_string().as_bytes());
        h1::write_head_end(&mut head);
        stream.set_write_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(&head)?;
        Ok(Call::new(stream))
    }

    /// Keeps the connection of a call that was answered.
    pub(super) fn finish(
        &mut self,
        call: Call,
        response: h1::Response,
    ) -> Result<h1::Response, Error> {
        if response.head.is_persistent {
            self.stream = Some(call.into_stream());
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
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(stream)
    }
}

pub(super) fn decode<T: DeserializeOwned>(response: &h1::Response) -> Result<T, Error> {
    if response.head.status != 200 {
        let status = response.head.status;
        return Err(Error::Malformed(format!("status {status}")));
    }
    let body = serde_json::from_slice(&response.content);
    body.map_err(|error| Error::Malformed(error.to_string()))
}
