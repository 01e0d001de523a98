//! All traffic of this VM to one peer.
//!
//! A connection opens with the first call and is replaced when it closes, so
//! that calls that were not sent yet go on the new one.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::{FutureExt, LocalBoxFuture, Shared};

use super::connection::{Connection, timeout};
use super::in_flight::InFlight;
use super::lost_peers::LostPeers;
use crate::edge::executor::Spawner;
use crate::peer_capnp::peer;
use crate::prelude::*;

/// Time between two attempts to reach a peer that could not be reached. Parts
/// are refused at once until one succeeds.
pub(super) const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// A peer that no part was meant for in so long is not tried again.
const RECONNECT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pauses between two pings of a lost peer.
const INITIAL_RECOVERY_BACKOFF: Duration = Duration::from_millis(250);
const MAX_RECOVERY_BACKOFF: Duration = Duration::from_secs(2);

/// Time after which a lost peer is no longer pinged; by then its membership
/// has ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(120);

/// Connections that are tried for a part before it is given up unsent.
const MAX_CONNECTION_TRIES: u32 = 2;

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
    pub(super) spawner: Spawner,
    state: RefCell<State>,
    opened: Cell<u64>,
    pub(super) last_used: Cell<Instant>,
    lost_peers: LostPeers,
    /// Whether the peer is lost and pinged until it answers.
    is_recovering: Cell<bool>,
    pub(super) in_flight: Rc<InFlight>,
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
    pub fn new(from: IpAddr, to: SocketAddr, lost_peers: LostPeers, spawner: Spawner) -> Rc<Link> {
        Rc::new(Link {
            from,
            to,
            spawner,
            state: RefCell::new(State::Closed),
            opened: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            lost_peers,
            is_recovering: Cell::new(false),
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
        let answer = async {
            let connection = self.ready_connection().await?;
            let result = call(connection.client()).await;
            connection.note_answer();
            result.map_err(|error| self.log_failed_call(&error)).ok()
        };
        timeout(limit, answer).await.flatten()
    }

    /// Notes a call that failed.
    pub(super) fn log_failed_call(&self, error: &capnp::Error) -> Reason {
        log::debug!("peer: call to {} failed: {error}", self.to);
        Reason::Unreachable
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
    pub(super) async fn ready_connection(self: &Rc<Link>) -> Option<Rc<Connection>> {
        for _ in 0..MAX_CONNECTION_TRIES {
            let connection = self.connection().await?;
            let is_alive = match self.is_recovering.get() {
                true => connection.ping().await,
                false => connection.verify().await,
            };
            if is_alive {
                return Some(connection);
            }
            self.mark_lost();
        }
        None
    }

    /// Lets traffic go around the peer until it answers a ping.
    fn mark_lost(self: &Rc<Link>) {
        if self.is_recovering.replace(true) {
            return;
        }
        log::warn!("peer: {} does not answer; traffic goes around it", self.to);
        self.lost_peers.insert(self.to);
        let link = Rc::clone(self);
        let recover = async move { link.recover().await };
        drop(self.spawner.unbounded_send(recover.boxed_local()));
    }

    async fn recover(self: &Rc<Link>) {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let mut backoff = INITIAL_RECOVERY_BACKOFF;
        while Instant::now() < deadline {
            Timer::after(backoff).await;
            backoff = (backoff * 2).min(MAX_RECOVERY_BACKOFF);
            if self.answers_ping().await {
                log::info!("peer: {} answers again", self.to);
                break;
            }
        }
        self.is_recovering.set(false);
        self.lost_peers.remove(self.to);
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
                link.mark_lost();
                link.reconnect().await;
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
                link.mark_lost();
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

    async fn reconnect(self: Rc<Link>) {
        Timer::after(RETRY_BACKOFF).await;
        if self.last_used.get().elapsed() < RECONNECT_IDLE_TIMEOUT {
            drop(self.start_opening());
        } else {
            *self.state.borrow_mut() = State::Closed;
        }
    }
}
