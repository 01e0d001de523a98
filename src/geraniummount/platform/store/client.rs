//! Blocking client of the key-value store of the users' platform.
//!
//! The calls of a client run one after the other on a single connection. A revision of the store is
//! the position of a change among all changes of keys.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use socket2::{SockRef, TcpKeepalive};

use super::call::Call;
use super::{Error, Range, Watch};
use crate::core::freshness::Freshness;
use crate::prelude::*;
use crate::util::h1;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout for the answer to a call, or for its next bytes. The answer to a watch may take this long
/// in addition to the wait that the watch requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum time of a read whose bytes keep arriving. VMs that all start at the same moment share the
/// store's link; a read that was abandoned would begin anew and add to the load.
const MAX_READ_TIME: Duration = Duration::from_secs(6);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered TCP keepalive probes after which the connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Maximum time for which sent bytes may remain unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Header field with the era of the store: the number of times that it has come back from an older
/// copy of itself.
const ERA: &str = "Store-Era";

/// Query parameter that permits an outdated answer.
const ALLOW_STALE: &str = "&allowStale=1";

/// Prefix that matches no key. A range with this prefix returns only the store's revision.
const NO_KEYS_PREFIX: &str = "none/";

/// Client of the platform's key-value store. Calls block the thread, at most until their timeout.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    /// Open connection without a call in flight, if there is one.
    stream: Option<TcpStream>,
}

impl Store {
    /// Creates a client, which connects on the first call.
    pub fn new(address: SocketAddr) -> Store {
        Store {
            address,
            stream: None,
        }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads one page of the keys with a prefix, starting after the key `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer.
    pub fn range(
        &mut self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Range, Error> {
        let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
        let stale = match freshness {
            Freshness::Current => "",
            Freshness::Outdated => ALLOW_STALE,
        };
        let target = format!("/api/kv-range?prefix={prefix}{after}{stale}");
        let response = self.call(&target)?;
        let range = decode(&response)?;
        Ok(Range {
            era: read_era(&response),
            ..range
        })
    }

    /// Returns a recent revision of the store, which may be seconds old, and the era.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer.
    pub fn recent_revision(&mut self) -> Result<(Option<Era>, Revision), Error> {
        let range = self.range(NO_KEYS_PREFIX, None, Freshness::Outdated)?;
        Ok((range.era, range.as_of))
    }

    /// Starts a watch for changes after a revision to the keys with a prefix. The store answers
    /// without changes if there are none within `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached.
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

    fn call(&mut self, target: &str) -> Result<h1::Response, Error> {
        let deadline = Instant::now() + MAX_READ_TIME;
        let mut call = self.send(target)?;
        let response = call
            .wait_while_receiving(CALL_TIMEOUT, deadline)?
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

    /// Completes a call that was answered: keeps its connection if it is persistent, and returns an
    /// error if the status reports that the call failed.
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

/// Decodes the JSON body of a response with status 200.
pub(super) fn decode<T: DeserializeOwned>(response: &h1::Response) -> Result<T, Error> {
    if response.head.status != 200 {
        let status = response.head.status;
        return Err(Error::Malformed(format!("status {status}")));
    }
    let body = serde_json::from_slice(&response.content);
    body.map_err(|error| Error::Malformed(error.to_string()))
}

/// Returns the era that an answer states.
pub(super) fn read_era(response: &h1::Response) -> Option<Era> {
    let text = h1::field_text(&response.head.fields, ERA)?;
    text.trim().parse().ok()
}
