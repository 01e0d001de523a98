//! Reads the responses of leaves, and ends those that go on without end.

use log::{info, warn};
use mio::Interest;

use crate::core::call::Reply;
use crate::core::reply_size::SMALL_REPLY_BYTES;
use crate::edge::gateway::Gateway;
use crate::edge::gateway::socket::ReadStatus;
use crate::edge::gateway::token::EventSource;
use crate::platform::headers::{self, Answer};
use crate::util::h1::{self, Head, Parsed};

/// Maximum number of responses to other requests before the one that is awaited. An extra copy of one
/// may arrive late; a leaf in trouble may send them without end.
const MAX_MISMATCHED: u32 = 16;

impl Gateway {
    /// Reads responses; `closed` means that the event reported the end of input or an error.
    pub(in crate::edge::gateway) fn read_leaf(&mut self, connection: usize, closed: bool) {
        let Some(leaf) = self.leaf_connections.get_mut(connection) else {
            return;
        };
        if leaf.connected_at.is_none() && !closed {
            return;
        }
        let buffered = leaf.socket.input.len();
        let status = leaf.socket.read(&mut self.read_buf, closed);
        leaf.received += leaf.socket.input.len() - buffered;
        let serial = leaf.serial;
        loop {
            let leaf = self.leaf_connections.get_mut(connection);
            // The key may have passed to a new connection, for which `status` says nothing.
            let Some(leaf) = leaf.filter(|leaf| leaf.serial == serial) else {
                return;
            };
            if !leaf.is_awaiting_response {
                // The leaf closed the idle connection or sent bytes that belong to no request.
                if status != ReadStatus::Open || !leaf.socket.input.is_empty() {
                    self.close_idle_leaf(connection);
                }
                return;
            }
            let read = leaf.reader.read(&mut leaf.socket.input);
            // An interim response of a leaf says nothing. Its head is not kept.
            leaf.reader.interim = None;
            let response = match read {
                Ok(None) if status == ReadStatus::Eof => leaf.reader.read_at_eof(),
                Ok(response) => response,
                Err(_) => return self.fail_leaf(connection, Reply::Lost),
            };
            match response {
                Some(response) => self.on_response(connection, response, status),
                None if self.is_too_long(connection) => {
                    return self.fail_leaf(connection, Reply::Lost);
                }
                None if status == ReadStatus::Open => return,
                None if status == ReadStatus::Interrupted => {
                    return self.register_leaf_again(connection);
                }
                None if status == ReadStatus::TimedOut => {
                    return self.fail_unresponsive_leaf(connection);
                }
                None => return self.fail_closed_leaf(connection),
            }
        }
    }

    /// Returns whether an incomplete response has become too long, by itself or together with those
    /// on other connections.
    fn is_too_long(&self, connection: usize) -> bool {
        let leaf = &self.leaf_connections[connection];
        let size = leaf.reply_size();
        let all = self.leaf_connections.iter();
        let all_held = || all.map(|(_, leaf)| leaf.reply_size().held).sum();
        let is_too_long = size.is_too_long(self.options.max_reply_bytes, all_held)
            || (size.held > SMALL_REPLY_BYTES && self.account.is_over());
        if is_too_long {
            let (leaf, bytes) = (self.leaf_id(leaf.replica), size.received);
            info!("leaf leaf={leaf} event=reply-too-long bytes={bytes}");
        }
        is_too_long
    }

    /// Registers a connection again, so that an event reports the bytes that are available.
    fn register_leaf_again(&mut self, connection: usize) {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Leaf(connection).token();
        let stream = &mut self.leaf_connections[connection].socket.stream;
        if let Err(error) = self.poll.registry().reregister(stream, token, interest) {
            warn!("leaf event=not-registered action=close error=\"{error}\"");
            self.fail_leaf(connection, Reply::Lost);
        }
    }

    /// Handles a complete response. The connection is reused if no input or output is left on it and
    /// the response names its request. A second copy of one that does not, such as that to a health
    /// request, would be taken for the response to the next request on the connection.
    fn on_response(&mut self, connection: usize, response: h1::Response, status: ReadStatus) {
        let leaf = &mut self.leaf_connections[connection];
        leaf.has_responded = true;
        leaf.reader.must_close |= !headers::names_request(&response.head);
        let opened_at = leaf.opened_at;
        let (replica, requested_at) = (leaf.replica, leaf.requested_at);
        let change = self.leaf_links.on_response(opened_at, self.now);
        self.apply_links_change(change);
        self.confirm_crashes(requested_at);
        let notice = headers::read_notice(&response.head);
        self.apply_notice(replica, notice);
        self.apply_limit(replica, notice.limit, requested_at);
        self.apply_load(replica, headers::read_load(&response.head));
        if self.leaf_connections[connection].is_check {
            self.prove_replaced(replica, headers::read_leaf_id(&response.head));
            self.apply_warm_up(replica, headers::read_warm_up_left(&response.head));
            return self.on_check_response(connection, status);
        }
        let leaf = &mut self.leaf_connections[connection];
        let reply = match headers::read_answer(response, &leaf.request_id) {
            Answer::Matching(reply) => reply,
            Answer::Mismatched => {
                leaf.reader.must_close = true;
                leaf.mismatched += 1;
                if leaf.mismatched > MAX_MISMATCHED {
                    self.fail_leaf(connection, Reply::Lost);
                }
                return;
            }
        };
        let attempt = leaf.attempt.take();
        leaf.abandoned_at = None;
        leaf.abandoned_request = None;
        self.refute_or_prove_crashes(replica, &reply, requested_at);
        self.release_or_close(connection, status);
        if let Some(attempt) = attempt {
            self.queue_reply(attempt, reply);
        }
    }

    /// Handles the response to a check of this VM's links.
    fn on_check_response(&mut self, connection: usize, status: ReadStatus) {
        self.leaf_connections[connection].is_check = false;
        let change = self.leaf_links.on_check_passed(self.now);
        self.apply_links_change(change);
        self.release_or_close(connection, status);
    }

    /// Releases a connection after a response, or closes it if it can't be reused.
    fn release_or_close(&mut self, connection: usize, status: ReadStatus) {
        let leaf = &mut self.leaf_connections[connection];
        leaf.is_awaiting_response = false;
        let is_clean = leaf.socket.input.is_empty() && !leaf.socket.has_pending_output();
        if is_clean && !leaf.reader.must_close && status == ReadStatus::Open {
            self.release(connection);
        } else {
            self.close_leaf(connection);
        }
    }

    /// Closes an idle connection. An extra response on it is discarded, but what the leaf says
    /// there about further requests still holds.
    fn close_idle_leaf(&mut self, connection: usize) {
        let leaf = &self.leaf_connections[connection];
        let (replica, requested_at) = (leaf.replica, leaf.requested_at);
        if let Ok(Parsed::Complete(head, _)) =
            Head::parse(&leaf.socket.input, leaf.reader.is_head_request)
        {
            let notice = headers::read_notice(&head);
            self.apply_notice(replica, notice);
            self.apply_limit(replica, notice.limit, requested_at);
        }
        self.close_leaf(connection);
    }
}
