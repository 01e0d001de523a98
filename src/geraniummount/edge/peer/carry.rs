//! The way of one part to a peer and of its outcome back.
//!
//! A part that was sent on a connection that closed ends as may have run.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::{self, FutureExt, LocalBoxFuture};

use super::client::Unsent;
use super::connection::{Connection, timeout};
use super::link::{Link, RETRY_PAUSE};
use super::wire;
use crate::edge::pending::Pending;
use crate::peer_capnp::peer;
use crate::prelude::*;

/// A peer's answer at the deadline tells more than none; it is waited for
/// so long.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

const CANCEL_GRACE: Duration = Duration::from_millis(100);

impl Link {
    /// Takes on a part, which can be cancelled from then on; the future
    /// carries it to the peer and its outcome back, or gives it to `unsent`.
    pub fn carry(
        self: Rc<Link>,
        part: Part,
        pending: Pending,
        unsent: Arc<Unsent>,
    ) -> LocalBoxFuture<'static, ()> {
        self.last_used.set(Instant::now());
        let Some((entry, cancelled)) = self.in_flight.enter(part.attempt) else {
            pending.fail(Failure::not_run(Reason::QueueFull).with_retry_after(RETRY_PAUSE));
            return future::ready(()).boxed_local();
        };
        let carried = async move {
            let left = self.carry_entered(part, pending, cancelled).await;
            drop(entry);
            if let Some((part, pending)) = left {
                unsent(part, pending);
            }
        };
        carried.boxed_local()
    }

    /// Returns a part that could not be sent, as the peer is lost.
    async fn carry_entered(
        self: &Rc<Link>,
        part: Part,
        mut pending: Pending,
        mut cancelled: oneshot::Receiver<()>,
    ) -> Option<(Part, Pending)> {
        let mut late = Timer::at(part.deadline).fuse();
        let connection = futures::select_biased! {
            connection = Box::pin(self.ready()).fuse() => connection,
            _ = late => return refuse(pending, Reason::Deadline),
            _ = cancelled => return refuse(pending, Reason::Cancelled),
        };
        let Some(connection) = connection else {
            return Some((part, pending));
        };
        let travel = connection.round_trip() / 2;
        let left = part.deadline.saturating_duration_since(Instant::now());
        let Some(remaining) = left.checked_sub(travel) else {
            return refuse(pending, Reason::Deadline);
        };
        pending.mark_sent();
        match self
            .exchange(&connection, &part, remaining, cancelled)
            .await
        {
            Ok(outcome) => pending.answer(outcome),
            Err(reason) => pending.fail(Failure::may_have_run(reason)),
        }
        None
    }

    /// Sends a part and waits for its outcome.
    async fn exchange(
        &self,
        connection: &Connection,
        part: &Part,
        remaining: Duration,
        mut cancelled: oneshot::Receiver<()>,
    ) -> Result<Outcome, Reason> {
        let _busy = connection.begin();
        let mut request = connection.client().dispatch_request();
        wire::write_part(part, remaining, request.get().init_part());
        let mut answer = request.send().promise.fuse();
        let mut closed = connection.closed().fuse();
        let mut late = Timer::at(part.deadline + ANSWER_GRACE).fuse();
        let mut reason = Reason::Deadline;
        loop {
            futures::select_biased! {
                answer = answer => {
                    let response = answer.map_err(|error| self.lost(&error))?;
                    connection.note_heard();
                    return self.read_outcome(part, &response);
                }
                () = closed => return Err(Reason::Unreachable),
                _ = late => return Err(reason),
                _ = cancelled => {
                    reason = Reason::Cancelled;
                    late = Timer::after(connection.round_trip() + CANCEL_GRACE).fuse();
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
        let outcome = outcome.map_err(|error| self.lost(&error))?;
        if outcome.attempt != part.attempt {
            log::error!("peer: {} answered for another attempt", self.address());
            return Err(Reason::ReplyMismatch);
        }
        Ok(outcome)
    }

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

    /// Gives up a part; its outcome still comes.
    pub fn cancel(&self, attempt: AttemptId) {
        self.in_flight.cancel(attempt);
    }
}

/// Answers a part that was not sent.
fn refuse<T>(pending: Pending, reason: Reason) -> Option<T> {
    pending.fail(Failure::not_run(reason));
    None
}
