//! Reads the responses on a connection to a leaf or to another VM.

use std::time::Duration;

use crate::core::memory_account::Share;
use crate::util::h1::{Body, Fault, Field, Head, MAX_INTERIM_RESPONSES, Parsed, Response};

/// Reader of the responses on one connection.
#[derive(Debug)]
pub(super) struct ResponseReader {
    /// Whether the last request has the method HEAD, so that its response has no body.
    pub(super) is_head_request: bool,
    /// Whether the connection cannot be reused after the current response.
    pub(super) must_close: bool,
    /// Time after which the peer closes the connection if it is idle, as announced by the peer.
    pub(super) keep_alive: Option<Duration>,
    /// Head of the last interim response to the last request.
    pub(super) interim: Option<Head>,
    /// Number of interim responses to the last request.
    interim_count: u32,
    /// Head of the response that is being read.
    head: Option<Head>,
    /// Part of that response's body that has been received.
    content: Vec<u8>,
    /// Memory that `head` and `content` take.
    share: Share,
}

impl ResponseReader {
    /// Creates a reader whose buffer is recorded in a share.
    pub(super) fn new(share: Share) -> ResponseReader {
        ResponseReader {
            is_head_request: false,
            must_close: false,
            keep_alive: None,
            interim: None,
            interim_count: 0,
            head: None,
            content: Vec::new(),
            share,
        }
    }

    /// Prepares for the response to a request.
    pub(super) fn begin(&mut self, is_head_request: bool) {
        self.is_head_request = is_head_request;
        self.interim = None;
        self.interim_count = 0;
    }

    /// Consumes input as far as it is buffered. Returns the response once it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed, or too many interim ones precede it.
    pub(super) fn read(&mut self, input: &mut Vec<u8>) -> Result<Option<Response>, Fault> {
        loop {
            if self.head.is_none() {
                match Head::parse(input, self.is_head_request)? {
                    Parsed::Partial => return Ok(None),
                    Parsed::Complete(head, length) => {
                        input.drain(..length);
                        if head.is_interim() {
                            self.record_interim(head)?;
                            continue;
                        }
                        self.head = Some(head);
                    }
                }
            }
            let Some(head) = &mut self.head else {
                return Ok(None);
            };
            let (taken, done) = head.body.feed(input, &mut self.content)?;
            self.share
                .resize(self.content.capacity() + Field::held_bytes(&head.fields));
            input.drain(..taken);
            return Ok(if done { self.take_response() } else { None });
        }
    }

    /// Returns the response if its body is delimited by the end of the connection, which has been
    /// reached.
    pub(super) fn read_at_eof(&mut self) -> Option<Response> {
        let ends_here = self.head.as_ref().map(|head| head.body) == Some(Body::UntilClose);
        if ends_here {
            self.take_response()
        } else {
            None
        }
    }

    /// Returns the number of bytes that an incomplete response takes.
    pub(super) fn held_bytes(&self) -> usize {
        let head = self.head.as_ref();
        let fields = head.map_or(0, |head| Field::held_bytes(&head.fields));
        self.content.len() + fields
    }

    fn record_interim(&mut self, head: Head) -> Result<(), Fault> {
        self.interim = Some(head);
        self.interim_count += 1;
        match self.interim_count > MAX_INTERIM_RESPONSES {
            true => Err(Fault::Interim),
            false => Ok(()),
        }
    }

    fn take_response(&mut self) -> Option<Response> {
        let content = std::mem::take(&mut self.content);
        self.share.resize(0);
        let head = self.head.take()?;
        self.must_close |= !head.is_persistent;
        self.keep_alive = head.keep_alive().or(self.keep_alive);
        Some(Response { head, content })
    }
}
