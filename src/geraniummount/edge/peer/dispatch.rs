//! Dispatches one part to a peer and returns its outcome.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! one leaf. The peer, another VM, passes it on to the leaf. [`Pending`] is the obligation to
//! report the outcome. If the connection closes after a part was sent, the part ends with the
//! verdict `may-have-run`, because it is unknown whether the leaf has run it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::{self, FutureExt, LocalBoxFuture};

use super::client::UnsentHandler;
use super::connection::{Connection, timeout};
use super::link::{Link, RETRY_BACKOFF};
use super::wire;
use crate::edge::pending::Pending;
use crate::peer_capnp::peer;
use crate::prelude::*;

/// Extra wait for the answer after a part's deadline. The peer answers at the
/// deadline, and that answer says more than a local timeout.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// Maximum wait for the outcome of a cancelled part, in addition to the round
/// trip time, and for the answer to the cancel call.
const CANCEL_GRACE: Duration = Duration::from_millis(100);

impl Link {
    /// Registers a part, which can be cancelled from then on. The returned future sends it to the
    /// peer and reports its outcome to `pending`. If the peer is lost before the part is sent, or
    /// can't reach the leaf, the future passes the part to `on_unsent`.
    pub fn dispatch(
        self: Rc<Link>,
        part: Part,
        pending: Pending,
        on_unsent: Arc<UnsentHandler>,
    ) -> LocalBoxFuture<'static, ()> {
        self.last_used.set(Instant::now());
        let Some((registration, cancelled)) = self.in_flight.register(part.attempt) else {
            pending.fail(Failure::not_run(Reason::QueueFull).with_retry_after(RETRY_BACKOFF));
            return future::ready(()).boxed_local();
        };
        let task = async move {
            let unsent = self.dispatch_registered(part, pending, cancelled).await;
            drop(registration);
            if let Some((part, pending)) = unsent {
                on_unsent(part, pending);
            }
        };
        task.boxed_local()
    }

    /// Dispatches a registered part. Returns the part if it could not be sent because the peer is
    /// lost, or if the peer can't reach the leaf.
    async fn dispatch_registered(
        self: &Rc<Link>,
        part: Part,
        mut pending: Pending,
        mut cancelled: oneshot::Receiver<()>,
    ) -> Option<(Part, Pending)> {
        let mut timer = Timer::at(part.deadline).fuse();
        let connection = futures::select_biased! {
            connection = Box::pin(self.ready_connection()).fuse() => connection,
            _ = timer => return reject(pending, Reason::Deadline),
            _ = cancelled => return reject(pending, Reason::Cancelled),
        };
        let Some(connection) = connection else {
            return Some((part, pending));
        };
        let one_way_delay = connection.round_trip() / 2;
        let time_left = part.deadline.saturating_duration_since(Instant::now());
        let Some(remaining) = time_left.checked_sub(one_way_delay) else {
            return reject(pending, Reason::Deadline);
        };
        pending.mark_sent();
        match self
            .exchange(&connection, &part, remaining, cancelled)
            .await
        {
            Ok(outcome) if outcome.is_declined() && Instant::now() < part.deadline => {
                self.lost_peers.mark_declined(self.address());
                pending.mark_not_run();
                // The hop to this peer does not count.
                let hops_left = part.hops_left + 1;
                return Some((Part { hops_left, ..part }, pending));
            }
            Ok(outcome) => pending.answer(outcome),
            Err(reason) => pending.fail(Failure::may_have_run(reason)),
        }
        None
    }

    /// Sends a part and waits for its outcome. Returns the reason if no outcome arrives; the part
    /// may then have run.
    async fn exchange(
        &self,
        connection: &Connection,
        part: &Part,
        remaining: Duration,
        mut cancelled: oneshot::Receiver<()>,
    ) -> Result<Outcome, Reason> {
        let _guard = connection.begin_call();
        let mut request = connection.client().dispatch_request();
        wire::write_part(part, remaining, request.get().init_part());
        let mut answer = request.send().promise.fuse();
        let mut closed = connection.closed().fuse();
        let mut timer = Timer::at(part.deadline + ANSWER_GRACE).fuse();
        let mut reason = Reason::Deadline;
        loop {
            futures::select_biased! {
                answer = answer => {
                    let response = answer.map_err(|error| self.log_failed_call(&error))?;
                    connection.note_answer();
                    return self.read_outcome(part, &response);
                }
                () = closed => return Err(Reason::Unreachable),
                _ = timer => return Err(reason),
                _ = cancelled => {
                    reason = Reason::Cancelled;
                    timer = Timer::after(connection.round_trip() + CANCEL_GRACE).fuse();
                    self.send_cancel(connection, part);
                }
            }
        }
    }

    fn read_outcome(
        &self,
        part: &Part,
        response: &capnp::capability::Response<peer::dispatch_results::Owned>,
    ) -> Result<Outcome, Reason> {
        let results = response.get().and_then(|results| results.get_outcome());
        let outcome = results.and_then(wire::read_outcome);
        let outcome = outcome.map_err(|error| self.log_failed_call(&error))?;
        if outcome.attempt != part.attempt {
            log::error!(
                "peer: {} sent the outcome of a different attempt",
                self.address()
            );
            return Err(Reason::ReplyMismatch);
        }
        Ok(outcome)
    }

    /// Asks the peer to cancel a part. The result of this call is ignored.
    fn send_cancel(&self, connection: &Connection, part: &Part) {
        let mut request = connection.client().cancel_request();
        request.get().set_attempt(part.attempt);
        request.get().set_leaf(part.leaf.as_str());
        let answer = timeout(CANCEL_GRACE, request.send().promise);
        let sent = self
            .spawner
            .unbounded_send(answer.map(|_| ()).boxed_local());
        drop(sent);
    }

    /// Cancels the part of an attempt if it is in flight. Its outcome is still reported.
    pub fn cancel(&self, attempt: AttemptId) {
        self.in_flight.cancel(attempt);
    }
}

/// Reports a failure of a part that was not sent. Always returns `None`, as
/// there is no part to pass on.
fn reject<T>(pending: Pending, reason: Reason) -> Option<T> {
    pending.fail(Failure::not_run(reason));
    None
}
