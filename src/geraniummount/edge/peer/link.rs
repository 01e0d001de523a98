//! All traffic of this VM to one peer.
//!
//! A connection opens with the first call and is replaced when it closes, so
//! that calls that were not sent yet go on the new one. A part that was sent
//! on a connection that closed ends as may have run.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::{self, FutureExt, LocalBoxFuture, Shared};

use super::client::Unsent;
use super::connection::{Connection, timeout};
use super::in_flight::InFlight;
use super::lost::Lost;
use super::wire;
use crate::edge::executor::Spawner;
use crate::edge::pending::Pending;
use crate::peer_capnp::peer;
use crate::prelude::*;

/// Time between two attempts to reach a peer that could not be reached. Parts
/// are refused at once until one succeeds.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A peer that no part was meant for in so long is not tried again.
const RETRIED_IDLE: Duration = Duration::from_secs(5);

/// A peer's answer at the deadline tells more than none; it is waited for
/// so long.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

const CANCEL_GRACE: Duration = Duration::from_millis(100);

/// Pauses between two pings of a lost peer.
const FIRST_REGAIN_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_REGAIN_PAUSE: Duration = Duration::from_secs(2);

/// Time after which a lost peer is no longer pinged; by then its membership
/// has ended.
const REGAIN_LIMIT: Duration = Duration::from_secs(120);

/// Connections that are tried for a part before it is given up unsent.
const CONNECTIONS_TRIED: u32 = 2;

/// State of the traffic to one peer, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// Where the peer is.
    pub address: SocketAddr,
    /// Whether a connection is open.
    pub connected: bool,
    /// Connections opened so far.
    pub opened: u64,
    /// Parts at the peer.
    pub in_flight: usize,
    /// Usual time for a message to the peer and back in microseconds.
    pub round_trip_us: u64,
}

/// Traffic to one peer.
pub struct Link {
    from: IpAddr,
    to: SocketAddr,
    spawner: Spawner,
    state: RefCell<State>,
    opened: Cell<u64>,
    last_used: Cell<Instant>,
    lost: Lost,
    /// Whether the peer is lost and pinged until it answers.
    regaining: Cell<bool>,
    in_flight: Rc<InFlight>,
}

type Opening = Shared<LocalBoxFuture<'static, Option<Rc<Connection>>>>;

enum State {
    Closed,
    Opening(Opening),
    Open(Rc<Connection>),
    /// Could not be reached; tried again while parts want it.
    Failed,
}

impl Link {
    /// Makes a link without a connection.
    pub fn new(from: IpAddr, to: SocketAddr, lost: Lost, spawner: Spawner) -> Rc<Link> {
        Rc::new(Link {
            from,
            to,
            spawner,
            state: RefCell::new(State::Closed),
            opened: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            lost,
            regaining: Cell::new(false),
            in_flight: Rc::default(),
        })
    }

    /// Returns where the peer is.
    pub fn address(&self) -> SocketAddr {
        self.to
    }

    /// Whether nothing uses the link and nothing has for a while.
    pub fn is_unused(&self, longer_than: Duration) -> bool {
        self.in_flight.is_empty() && self.last_used.get().elapsed() > longer_than
    }

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
            pending.fail(Failure::not_run(Reason::QueueFull).retry_after(RETRY_PAUSE));
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

    fn lost(&self, error: &capnp::Error) -> Reason {
        log::debug!("peer: call to {} failed: {error}", self.to);
        Reason::Unreachable
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
            log::error!("peer: {} answered for another attempt", self.to);
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

    /// Makes another call within a time limit.
    pub async fn call<T, F>(
        self: Rc<Link>,
        limit: Duration,
        call: impl FnOnce(&peer::Client) -> F,
    ) -> Option<T>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        self.last_used.set(Instant::now());
        let whole = async {
            let connection = self.ready().await?;
            let result = call(connection.client()).await;
            connection.note_heard();
            result.map_err(|error| self.lost(&error)).ok()
        };
        timeout(limit, whole).await.flatten()
    }

    /// Returns the state for operators.
    pub fn dump(&self) -> Dump {
        let connection = match &*self.state.borrow() {
            State::Open(connection) => Some(Rc::clone(connection)),
            _ => None,
        };
        let connection = connection.filter(|connection| !connection.is_closed());
        let round_trip = connection
            .as_ref()
            .map(|connection| connection.round_trip());
        Dump {
            address: self.to,
            connected: connection.is_some(),
            opened: self.opened.get(),
            in_flight: self.in_flight.len(),
            round_trip_us: round_trip.map_or(0, |time| time.as_micros() as u64),
        }
    }

    /// Returns a connection that was heard from just now, or a new one.
    async fn ready(self: &Rc<Link>) -> Option<Rc<Connection>> {
        for _ in 0..CONNECTIONS_TRIED {
            let connection = self.connection().await?;
            let proven = match self.regaining.get() {
                true => connection.ping().await,
                false => connection.prove().await,
            };
            if proven {
                return Some(connection);
            }
            self.note_lost();
        }
        None
    }

    /// Lets traffic go around the peer until it answers a ping.
    fn note_lost(self: &Rc<Link>) {
        if self.regaining.replace(true) {
            return;
        }
        log::warn!("peer: {} does not answer; traffic goes around it", self.to);
        self.lost.add(self.to);
        let link = Rc::clone(self);
        let regain = async move { link.regain().await };
        drop(self.spawner.unbounded_send(regain.boxed_local()));
    }

    async fn regain(self: &Rc<Link>) {
        let given_up = Instant::now() + REGAIN_LIMIT;
        let mut pause = FIRST_REGAIN_PAUSE;
        while Instant::now() < given_up {
            Timer::after(pause).await;
            pause = (pause * 2).min(LONGEST_REGAIN_PAUSE);
            if self.answers_ping().await {
                log::info!("peer: {} answers again", self.to);
                break;
            }
        }
        self.regaining.set(false);
        self.lost.remove(self.to);
    }

    async fn connection(self: &Rc<Link>) -> Option<Rc<Connection>> {
        let opening = {
            let mut state = self.state.borrow_mut();
            match &*state {
                State::Open(connection) if !connection.is_closed() => {
                    return Some(Rc::clone(connection));
                }
                State::Failed => return None,
                State::Opening(opening) => opening.clone(),
                State::Closed | State::Open(_) => {
                    let opening = self.start_opening();
                    *state = State::Opening(opening.clone());
                    opening
                }
            }
        };
        opening.await
    }

    async fn answers_ping(self: &Rc<Link>) -> bool {
        match self.connection().await {
            Some(connection) => connection.ping().await,
            None => false,
        }
    }

    /// Opens a connection in a future of its own, whoever still waits for it.
    fn start_opening(self: &Rc<Link>) -> Opening {
        let (sender, receiver) = oneshot::channel();
        let link = Rc::clone(self);
        let open = async move {
            let connection = link.open().await;
            let state = match &connection {
                Some(connection) => State::Open(Rc::clone(connection)),
                None => State::Failed,
            };
            *link.state.borrow_mut() = state;
            drop(sender.send(connection.clone()));
            if connection.is_none() {
                link.note_lost();
                link.try_again().await;
            }
        };
        drop(self.spawner.unbounded_send(open.boxed_local()));
        let opened = receiver.map(|opened| opened.ok().flatten());
        opened.boxed_local().shared()
    }

    /// Opens a connection that the peer has answered on: one that is frozen
    /// or cut off may still be connected to.
    async fn open(self: &Rc<Link>) -> Option<Rc<Connection>> {
        let (connection, drive) = match Connection::open(self.from, self.to).await {
            Ok(opened) => opened,
            Err(error) => {
                log::debug!("peer: no connection to {}: {error}", self.to);
                return None;
            }
        };
        let (link, driven) = (Rc::clone(self), Rc::clone(&connection));
        let drive = async move {
            drive.await;
            if !driven.is_idle() {
                link.note_lost();
            }
        };
        drop(self.spawner.unbounded_send(drive.boxed_local()));
        if !connection.ping().await {
            log::debug!("peer: {} does not answer on a new connection", self.to);
            return None;
        }
        log::debug!("peer: connected to {}", self.to);
        self.opened.set(self.opened.get() + 1);
        Some(connection)
    }

    async fn try_again(self: Rc<Link>) {
        Timer::after(RETRY_PAUSE).await;
        if self.last_used.get().elapsed() < RETRIED_IDLE {
            drop(self.start_opening());
        } else {
            *self.state.borrow_mut() = State::Closed;
        }
    }
}

/// Answers a part that was not sent.
fn refuse<T>(pending: Pending, reason: Reason) -> Option<T> {
    pending.fail(Failure::not_run(reason));
    None
}
