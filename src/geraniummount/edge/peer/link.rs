//! Manages the connection of this VM to one peer (another VM), to which it sends parts (shares of
//! requests for single shards) and other calls. A peer is lost while it is unresponsive.
//!
//! The first call opens a connection. When it closes, a new one replaces it and
//! takes the calls that were not sent yet.

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

/// Wait after a failed connection before the next one is opened. In the meantime,
/// parts for the peer are returned unsent without a wait. It is also the time
/// after which a caller may retry a part that was rejected because too many parts
/// are in flight.
pub(super) const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Time after the last call for which a new connection is opened in place of one that could not be
/// opened.
const RECONNECT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// First wait between two pings of a lost peer. It doubles after each ping.
const INITIAL_RECOVERY_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum wait between two pings of a lost peer.
const MAX_RECOVERY_BACKOFF: Duration = Duration::from_secs(2);

/// Time for which a lost peer is pinged. By its end, the peer is no longer a
/// member of the fleet if it is still unresponsive.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of connections that are tried for a call. After that, a part is
/// returned unsent.
const MAX_CONNECTION_TRIES: u32 = 2;

/// State of the link to one peer, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether a connection is open.
    pub connected: bool,
    /// Number of connections opened so far.
    pub opened: u64,
    /// Number of parts in flight at the peer.
    pub in_flight: usize,
    /// Smoothed round trip time in microseconds; 0 if not connected.
    pub round_trip_us: u64,
}

/// Link to one peer, which opens and replaces the connection.
pub struct Link {
    /// Source address of the connections.
    from: IpAddr,
    /// Address of the peer.
    to: SocketAddr,
    pub(super) spawner: Spawner,
    state: RefCell<State>,
    /// Number of connections opened so far.
    opened: Cell<u64>,
    /// Time of the last call.
    pub(super) last_used: Cell<Instant>,
    /// Lost peers of all links.
    pub(super) lost_peers: LostPeers,
    /// Whether the peer is lost and is pinged until it answers.
    is_recovering: Cell<bool>,
    /// Parts that were sent over this link and have no outcome yet.
    pub(super) in_flight: Rc<InFlight>,
}

/// Future of a connection that is being opened; `None` if this fails.
type Opening = Shared<LocalBoxFuture<'static, Option<Rc<Connection>>>>;

enum State {
    Closed,
    Opening(Opening),
    Open(Rc<Connection>),
    /// The last connection could not be opened. A new one is opened after
    /// [`RETRY_BACKOFF`] if the link was used recently.
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

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.to
    }

    /// Returns whether no part is in flight and the last use of the link was more
    /// than `longer_than` ago.
    pub fn is_unused(&self, longer_than: Duration) -> bool {
        self.in_flight.is_empty() && self.last_used.get().elapsed() > longer_than
    }

    /// Makes a call other than the dispatch of a part. Returns `None` if it fails
    /// or takes longer than `limit`.
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

    /// Logs a failed call and returns the reason to report for it.
    pub(super) fn log_failed_call(&self, error: &capnp::Error) -> Reason {
        log::debug!("peer: call to {} failed: {error}", self.to);
        Reason::Unreachable
    }

    /// Returns the state of the link for operators.
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

    /// Returns a connection on which the peer answered recently, or a new one. Returns `None` if
    /// the peer is unresponsive or the last connection could not be opened.
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

    /// Marks the peer as lost, which diverts traffic to other VMs until the peer
    /// answers a ping.
    fn mark_lost(self: &Rc<Link>) {
        if self.is_recovering.replace(true) {
            return;
        }
        log::warn!(
            "peer: {} is unresponsive; diverting traffic to other VMs",
            self.to
        );
        self.lost_peers.insert(self.to);
        let link = Rc::clone(self);
        let recover = async move { link.recover().await };
        drop(self.spawner.unbounded_send(recover.boxed_local()));
    }

    /// Pings the lost peer until it answers, at most for [`RECOVERY_TIMEOUT`], and
    /// then no longer counts it as lost.
    async fn recover(self: &Rc<Link>) {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let mut backoff = INITIAL_RECOVERY_BACKOFF;
        while Instant::now() < deadline {
            Timer::after(backoff).await;
            backoff = (backoff * 2).min(MAX_RECOVERY_BACKOFF);
            if self.answers_ping().await {
                log::info!("peer: {} responds again", self.to);
                break;
            }
        }
        self.is_recovering.set(false);
        self.lost_peers.remove(self.to);
    }

    /// Returns the open connection, or opens one. Returns `None` if this fails or the last one
    /// could not be opened.
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

    /// Returns whether the peer answers a ping, on a new connection if none is open.
    async fn answers_ping(self: &Rc<Link>) -> bool {
        match self.connection().await {
            Some(connection) => connection.ping().await,
            None => false,
        }
    }

    /// Opens a connection in a separate future, which continues even if no call waits for the
    /// connection any longer.
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

    /// Opens a connection and waits for the answer to a ping. A successful connect
    /// alone does not show that the peer is responsive, because a peer that is
    /// frozen or cut off may still accept connections.
    async fn open(self: &Rc<Link>) -> Option<Rc<Connection>> {
        let (connection, drive) = match Connection::open(self.from, self.to).await {
            Ok(opened) => opened,
            Err(error) => {
                log::debug!("peer: failed to connect to {}: {error}", self.to);
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
            log::debug!(
                "peer: {} did not answer a ping on a new connection",
                self.to
            );
            return None;
        }
        log::debug!("peer: connected to {}", self.to);
        self.opened.set(self.opened.get() + 1);
        Some(connection)
    }

    /// Opens a new connection after a wait if the link was used recently.
    async fn reconnect(self: Rc<Link>) {
        Timer::after(RETRY_BACKOFF).await;
        if self.last_used.get().elapsed() < RECONNECT_IDLE_TIMEOUT {
            drop(self.start_opening());
        } else {
            *self.state.borrow_mut() = State::Closed;
        }
    }
}
