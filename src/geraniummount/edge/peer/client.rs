//! Calls peers, which are the other VMs. The client can be used from any thread. A link is the
//! client's access to one peer; it opens and replaces the connection.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, OnceLock, mpsc};
use std::time::Duration;

use futures::channel::oneshot;
use futures::executor::block_on;
use futures::future::{FutureExt, LocalBoxFuture};

use super::link::{Dump, Link};
use super::lost_peers::LostPeers;
use super::{Changes, ClaimReply, ClaimRequest, wire};
use crate::core::claims::Answer;
use crate::edge::executor::{Executor, Spawner};
use crate::edge::pending::Pending;
use crate::prelude::*;

/// Number of threads that make calls. All calls to a peer use the same thread.
const THREADS: usize = 2;

/// Time after its last use for which a link is kept.
const IDLE_LINK_TTL: Duration = Duration::from_secs(120);

/// Extra time for a peer to answer a holdings call, which asks for the snapshots that leaves hold.
/// The peer itself may wait for as long as the call allows before it answers.
const HOLDINGS_ANSWER_GRACE: Duration = Duration::from_millis(50);

/// Maximum wait for the state of the links of one more client thread, which [`Client::dump`]
/// collects.
const DUMP_TIMEOUT: Duration = Duration::from_millis(100);

/// Client for calls to all peers. Clones share the connections.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

/// Callback that receives a part that was not sent because its peer is lost, or that the peer has
/// not run because it can't reach the leaf.
pub type UnsentHandler = Box<dyn Fn(Part, Pending) + Send + Sync>;

struct Shared {
    /// Source address of the connections.
    from: IpAddr,
    /// Peers that currently do not answer.
    lost_peers: LostPeers,
    on_unsent: Arc<UnsentHandler>,
    /// Client threads, each started at its first call; `None` if the start failed.
    executors: [OnceLock<Option<Executor<Links>>>; THREADS],
}

impl Drop for Shared {
    fn drop(&mut self) {
        let started = self.executors.iter().filter_map(OnceLock::get).flatten();
        started.for_each(Executor::stop);
    }
}

impl Client {
    /// Makes a client whose connections use the source address `from`. A part that
    /// could not be sent because its peer is lost is passed to `on_unsent`.
    pub fn new(from: IpAddr, on_unsent: UnsentHandler) -> Client {
        let shared = Shared {
            from,
            lost_peers: LostPeers::default(),
            on_unsent: Arc::new(on_unsent),
            executors: [const { OnceLock::new() }; THREADS],
        };
        Client {
            shared: Arc::new(shared),
        }
    }

    /// Sends a part, the share of a request that goes to one shard, to a peer. The outcome is
    /// reported to `pending`.
    pub fn dispatch(&self, to: SocketAddr, part: Part, pending: Pending) {
        let on_unsent = Arc::clone(&self.shared.on_unsent);
        self.spawn_on_link(to, move |link| link.dispatch(part, pending, on_unsent));
    }

    /// Returns whether a peer is lost, which means that it currently does not
    /// answer.
    pub fn is_lost(&self, peer: SocketAddr) -> bool {
        self.shared.lost_peers.contains(peer)
    }

    /// Returns whether a peer has just declined a part because it can't reach the leaf.
    pub fn has_declined(&self, peer: SocketAddr) -> bool {
        self.shared.lost_peers.has_declined(peer)
    }

    /// Cancels an attempt, which is one try to run a part, whichever peer it was sent to.
    pub fn cancel(&self, attempt: AttemptId) {
        for executor in self.started() {
            executor.run(move |links, _| links.cancel(attempt));
        }
    }

    /// Asks a peer which snapshots (versions of the index) the leaves of a service hold. The peer
    /// answers within `wait`. The channel closes without a value if the call fails.
    pub fn holdings(
        &self,
        to: SocketAddr,
        service: &Service,
        hops_left: u8,
        wait: Duration,
    ) -> oneshot::Receiver<Vec<Holding>> {
        let service = service.name.clone();
        self.call(to, wait + HOLDINGS_ANSWER_GRACE, move |client| {
            let mut request = client.holdings_request();
            request.get().set_service(service.as_str());
            request.get().set_hops_left(hops_left);
            request.get().set_wait_us(wait.as_micros() as u64);
            let answer = request.send().promise;
            async move {
                let response = answer.await?;
                let list = response.get()?.get_holdings()?;
                list.iter().map(wire::read_holding).collect()
            }
        })
    }

    /// Asks a peer to claim an idempotency key, that is, to record that it was taken. The channel
    /// closes without a value if the call fails or takes longer than `timeout`.
    pub fn claim(
        &self,
        to: SocketAddr,
        claim: ClaimRequest,
        timeout: Duration,
    ) -> oneshot::Receiver<ClaimReply> {
        self.call(to, timeout, move |client| claim_call(client, claim))
    }

    /// Asks a peer to release a claim. Runs `on_failure` if the peer does not
    /// confirm the release within `timeout`.
    pub fn release_claim(
        &self,
        to: SocketAddr,
        claim: ClaimRequest,
        timeout: Duration,
        on_failure: impl FnOnce() + Send + 'static,
    ) {
        self.spawn_on_link(to, move |link| {
            let release = async move {
                let reply = link.call(timeout, |client| claim_call(client, claim)).await;
                if reply.is_none_or(|reply| reply.answer != Answer::Granted) {
                    on_failure();
                }
            };
            release.boxed_local()
        });
    }

    /// Asks a peer for the configuration changes accepted after a revision (position in the log of
    /// all accepted changes). Returns `None` if the peer does not answer in time.
    pub fn changes(&self, to: SocketAddr, since: Revision, timeout: Duration) -> Option<Changes> {
        let answer = self.call(to, timeout, move |client| {
            let mut request = client.changes_request();
            request.get().set_since(since);
            let answer = request.send().promise;
            async move { Changes::read(answer.await?.get()?) }
        });
        block_on(answer).ok()
    }

    /// Asks a peer for its own state and what it knows about other VMs, as JSON.
    /// Returns `None` if the peer does not answer in time.
    pub fn status(&self, to: SocketAddr, timeout: Duration) -> Option<Vec<u8>> {
        let answer = self.call(to, timeout, move |client| {
            let answer = client.status_request().send().promise;
            async move { Ok(answer.await?.get()?.get_status()?.to_vec()) }
        });
        block_on(answer).ok()
    }

    /// Returns the state of the link to each peer, sorted by address.
    pub fn dump(&self) -> Vec<Dump> {
        let (sender, receiver) = mpsc::channel();
        for executor in self.started() {
            let sender = sender.clone();
            executor.run(move |links, _| drop(sender.send(links.dump())));
        }
        drop(sender);
        let mut dumps = Vec::new();
        while let Ok(thread_dumps) = receiver.recv_timeout(DUMP_TIMEOUT) {
            dumps.extend(thread_dumps);
        }
        dumps.sort_by_key(|dump| dump.address);
        dumps
    }

    /// Makes a call whose result is sent to the returned channel. The channel
    /// closes without a value if the call fails or takes longer than `timeout`.
    fn call<T, F>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(&crate::peer_capnp::peer::Client) -> F + Send + 'static,
    ) -> oneshot::Receiver<T>
    where
        T: Send + 'static,
        F: Future<Output = capnp::Result<T>> + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        self.spawn_on_link(to, move |link| {
            let answer = async move {
                if let Some(result) = link.call(timeout, call).await {
                    drop(sender.send(result));
                }
            };
            answer.boxed_local()
        });
        receiver
    }

    /// Runs a future for the link to a peer, on the thread of that link.
    fn spawn_on_link(
        &self,
        to: SocketAddr,
        make_future: impl FnOnce(Rc<Link>) -> LocalBoxFuture<'static, ()> + Send + 'static,
    ) {
        let Some(executor) = self.executor(to) else {
            return;
        };
        executor.run(move |links, spawner| {
            let future = make_future(links.get(to, spawner));
            drop(spawner.unbounded_send(future));
        });
    }

    /// Returns the client threads that are running.
    fn started(&self) -> impl Iterator<Item = &Executor<Links>> {
        let executors = self.shared.executors.iter();
        executors.filter_map(OnceLock::get).flatten()
    }

    /// Returns the thread of a peer's link, and starts it if necessary. Returns `None` if it could
    /// not be started.
    fn executor(&self, to: SocketAddr) -> Option<&Executor<Links>> {
        let index = xxhash_rust::xxh3::xxh3_64(to.to_string().as_bytes()) as usize % THREADS;
        let (from, lost_peers) = (self.shared.from, self.shared.lost_peers.clone());
        let slot = &self.shared.executors[index];
        let executor = slot.get_or_init(|| {
            let started = Executor::start("peer-client", move || Links::new(from, lost_peers));
            let failed = |error: &std::io::Error| {
                log::error!("peer: failed to start a client thread: {error}")
            };
            started.inspect_err(failed).ok()
        });
        executor.as_ref()
    }
}

fn claim_call(
    client: &crate::peer_capnp::peer::Client,
    claim: ClaimRequest,
) -> impl Future<Output = capnp::Result<ClaimReply>> + use<> {
    let mut request = client.claim_request();
    claim.write(request.get().init_claim());
    let answer = request.send().promise;
    async move { ClaimReply::read(answer.await?.get()?) }
}

/// Links of one thread, sorted by the address of the peer.
struct Links {
    /// Source address of the connections.
    from: IpAddr,
    lost_peers: LostPeers,
    links: RefCell<Vec<Rc<Link>>>,
}

impl Links {
    fn new(from: IpAddr, lost_peers: LostPeers) -> Links {
        Links {
            from,
            lost_peers,
            links: RefCell::default(),
        }
    }

    /// Returns the link to a peer. If there is none yet, creates it and removes unused links.
    fn get(&self, to: SocketAddr, spawner: &Spawner) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Ok(index) = links.binary_search_by_key(&to, |link| link.address()) {
            return Rc::clone(&links[index]);
        }
        links.retain(|link| !link.is_unused(IDLE_LINK_TTL));
        let index = links.partition_point(|link| link.address() < to);
        let link = Link::new(self.from, to, self.lost_peers.clone(), spawner.clone());
        links.insert(index, Rc::clone(&link));
        link
    }

    fn cancel(&self, attempt: AttemptId) {
        for link in self.links.borrow().iter() {
            link.cancel(attempt);
        }
    }

    fn dump(&self) -> Vec<Dump> {
        self.links.borrow().iter().map(|link| link.dump()).collect()
    }
}
