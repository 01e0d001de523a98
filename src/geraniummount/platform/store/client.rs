//! Blocking client of the key-value store of the users' platform.
//!
//! The calls of a client run one after the other on a single connection. A revision of the store is
//! the position of a change among all changes of keys.

// All times here are constants; `message` reads the answers.
#![allow(clippy::disallowed_methods)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::DeserializeOwned;
use serde_json::json;
use socket2::{SockRef, TcpKeepalive};

use super::call::Call;
use super::target::Target;
use super::{Error, Item, Listing, Range, Watch};
use crate::core::store::cursor::{Cursor, Step};
use crate::core::store::freshness::Freshness;
use crate::prelude::*;
use crate::util::h1;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout for the answer to a call, or for its next bytes. The answer to a watch may take this
/// long in addition to the wait that the watch requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum time of a read whose bytes keep arriving. VMs that all start at the same moment share
/// the store's link; a read that was abandoned would begin anew and add to the load.
const MAX_READ_TIME: Duration = Duration::from_secs(6);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time for which sent bytes or keepalive probes may remain unacknowledged before the
/// connection is closed (`TCP_USER_TIMEOUT`). While it is set, the number of probes does not matter:
/// an idle connection is closed this long after the last bytes were received.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Header field with the era of the store: the number of times that it has come back from an older
/// copy of itself.
const ERA: &str = "Store-Era";

/// Path of the calls that write keys.
pub(super) const WRITE_PATH: &str = "/api/kv-txn";

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
        let mut target = Target::new("/api/kv-range").with("prefix", prefix);
        if let Some(key) = after {
            target = target.with("after", key);
        }
        if freshness == Freshness::Outdated {
            target = target.with("allowStale", 1);
        }
        let response = self.call("GET", &target, b"")?;
        let range = decode(&response)?;
        Ok(Range {
            era: read_era(&response),
            ..range
        })
    }

    /// Reads the keys with a prefix, page by page, as far as each page leads to the next one. Calls
    /// `on_page` with each page, which may change it, and ends with the error that it returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects a call or sends an invalid answer.
    pub fn list(
        &mut self,
        prefix: &str,
        freshness: Freshness,
        mut on_page: impl FnMut(&mut Range) -> Result<(), Error>,
    ) -> Result<Listing, Error> {
        let mut cursor = Cursor::default();
        let mut after = None;
        let mut items = Vec::new();
        let mut as_of = Revision::MAX;
        let complete_to = loop {
            let mut page = self.range(prefix, after.as_deref(), freshness)?;
            on_page(&mut page)?;
            as_of = as_of.min(page.as_of);
            items.append(&mut page.items);
            match cursor.on_page(page.truncated, page.last_key.as_deref()) {
                Step::Next(key) => after = Some(key),
                Step::Complete => break None,
                Step::Stuck(key) => break Some(key),
            }
        };
        Ok(Listing {
            items,
            as_of,
            complete_to,
        })
    }

    /// Reads all keys with a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Incomplete`] if a page does not lead to the next one, and an error if the
    /// store cannot be reached, rejects a call or sends an invalid answer.
    pub fn read_all(&mut self, prefix: &str, freshness: Freshness) -> Result<Vec<Item>, Error> {
        self.list(prefix, freshness, |_| Ok(()))?.into_items()
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

    /// Returns the revision of the store at some moment after the call was begun, and the era.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer.
    pub fn current_revision(&mut self) -> Result<(Option<Era>, Revision), Error> {
        let range = self.range(NO_KEYS_PREFIX, None, Freshness::Current)?;
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
        let target = Target::new("/api/kv-watch")
            .with("prefix", prefix)
            .with("after", after)
            .with("waitMs", wait.as_millis());
        let call = self.send("GET", &target, b"")?;
        Ok(Watch::new(self, call, Instant::now() + wait + CALL_TIMEOUT))
    }

    /// Writes a key without a lease, and removes other keys in the same step.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer; the keys may have been changed nevertheless.
    pub fn put_and_remove(
        &mut self,
        key: &str,
        value: &[u8],
        removed: &[String],
    ) -> Result<(), Error> {
        let value = STANDARD.encode(value);
        let put = json!({ "key": key, "value": value, "lease": 0 });
        let body = json!({ "precondition": [], "puts": [put], "remove": removed }).to_string();
        let response = self.call("POST", &Target::new(WRITE_PATH), body.as_bytes())?;
        match response.head.status {
            200 => Ok(()),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer.
    pub fn get(&mut self, key: &str) -> Result<Option<Item>, Error> {
        let target = Target::new("/api/kv-key").with("key", key);
        let response = self.call("GET", &target, b"")?;
        match response.head.status {
            404 => Ok(None),
            _ => decode(&response).map(Some),
        }
    }

    /// Writes a key without a lease if its last change was at `revision`; 0 means that the key does
    /// not exist. Returns whether it was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer; the key may have been written.
    pub fn put_if_unchanged(
        &mut self,
        key: &str,
        value: &[u8],
        revision: Revision,
    ) -> Result<bool, Error> {
        let value = STANDARD.encode(value);
        let condition = json!({ "key": key, "revision": revision });
        let put = json!({ "key": key, "value": value, "lease": 0 });
        let body = json!({ "precondition": [condition], "puts": [put], "remove": [] }).to_string();
        let response = self.call("POST", &Target::new(WRITE_PATH), body.as_bytes())?;
        match response.head.status {
            200 => Ok(true),
            412 => Ok(false),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    pub(super) fn call(
        &mut self,
        method: &str,
        target: &Target,
        body: &[u8],
    ) -> Result<h1::Response, Error> {
        let deadline = Instant::now() + MAX_READ_TIME;
        let mut call = self.send(method, target, body)?;
        let response = call
            .wait_while_receiving(CALL_TIMEOUT, deadline)?
            .ok_or_else(Error::timed_out)?;
        self.finish(call, response)
    }

    fn send(&mut self, method: &str, target: &Target, body: &[u8]) -> Result<Call, Error> {
        let mut stream = match self.stream.take().filter(is_quiet) {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let mut head = Vec::with_capacity(128);
        h1::write_request_line(&mut head, method, &target.to_string());
        h1::write_field(&mut head, "Host", self.address.to_string().as_bytes());
        if !body.is_empty() {
            h1::write_field(&mut head, "Content-Type", b"application/json");
        }
        if method != "GET" {
            h1::write_number_field(&mut head, "Content-Length", body.len() as u64);
        }
        h1::write_head_end(&mut head);
        head.extend_from_slice(body);
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
            self.stream = call.into_stream();
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
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(stream)
    }
}

/// Returns whether an idle connection is open and has nothing to read. What is there to read belongs
/// to no call.
fn is_quiet(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let read = (&*stream).read(&mut [0]);
    let is_quiet = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    is_quiet && stream.set_nonblocking(false).is_ok()
}

/// Decodes the JSON body of a response with status 200.
pub(super) fn decode<T: DeserializeOwned>(response: &h1::Response) -> Result<T, Error> {
    if response.head.status != 200 {
        let status = response.head.status;
        return Err(Error::Malformed(format!("status {status}")));
    }
    // A key may consist of any bytes. One that is no text must not cost the others of its page.
    let text = String::from_utf8_lossy(&response.content);
    serde_json::from_str(&text).map_err(|error| Error::Malformed(error.to_string()))
}

/// Returns the era that an answer states.
pub(super) fn read_era(response: &h1::Response) -> Option<Era> {
    let text = h1::field_text(&response.head.fields, ERA)?;
    text.trim().parse().ok()
}
