//! Calls to all peers, from any thread.

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

/// Threads that carry calls; each peer stays on one of them.
const THREADS: usize = 2;

/// A link without use for so long is forgotten.
const IDLE_LINK_TTL: Duration = Duration::from_secs(120);

/// Time for a peer to answer beyond the wait that it was asked for.
const HOLDINGS_ANSWER_GRACE: Duration = Duration::from_millis(50);

const DUMP_TIMEOUT: Duration = Duration::from_millis(100);

/// Caller of all peers; clones share its connections.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

/// Takes back a part that could not be sent to a peer which is lost now.
pub type UnsentHandler = Box<dyn Fn(Part, Pending) + Send + Sync>;

struct Shared {
    from: IpAddr,
    lost_peers: LostPeers,
    on_unsent: Arc<UnsentHandler>,
    executors: [OnceLock<Option<Executor<Links>>>; THREADS],
}

impl Drop for Shared {
    fn drop(&mut self) {
        let started = self.executors.iter().filter_map(OnceLock::get).flatten();
        started.for_each(Executor::stop);
    }
}

impl Client {
    /// Makes a client whose connections come from an own address. Parts that
    /// could not be sent to a lost peer go to `unsent`.
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

    /// Sends a part to a peer.
    pub fn dispatch(&self, to: SocketAddr, part: Part, pending: Pending) {
        let on_unsent = Arc::clone(&self.shared.on_unsent);
        self.spawn_on_link(to, move |link| link.dispatch(part, pending, on_unsent));
    }

    /// Whether a peer does not answer now.
    pub fn is_lost(&self, peer: SocketAddr) -> bool {
        self.shared.lost_peers.contains(peer)
    }

    /// Gives up an attempt at whichever peer it went to.
    pub fn cancel(&self, attempt: AttemptId) {
        for executor in self.started() {
            executor.run(move |links, _| links.cancel(attempt));
        }
    }

    /// Asks a peer what the leaves of a service hold; it answers within `wait`.
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

    /// Asks a peer to claim an idempotency key.
    pub fn claim(
        &self,
        to: SocketAddr,
        claim: ClaimRequest,
        timeout: Duration,
    ) -> oneshot::Receiver<ClaimReply> {
        self.call(to, timeout, move |client| claim_call(client, claim))
    }

    /// Asks a peer to release a claim; does `on_failure` when it does not
    /// answer.
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

    /// Asks a peer for the accepted changes after a revision.
    pub fn changes(&self, to: SocketAddr, since: Revision, timeout: Duration) -> Option<Changes> {
        let answer = self.call(to, timeout, move |client| {
            let mut request = client.changes_request();
            request.get().set_since(since);
            let answer = request.send().promise;
            async move { Changes::read(answer.await?.get()?) }
        });
        block_on(answer).ok()
    }

    /// Asks a peer for its state and what it knows of others, as JSON.
    pub fn status(&self, to: SocketAddr, timeout: Duration) -> Option<Vec<u8>> {
        let answer = self.call(to, timeout, move |client| {
            let answer = client.status_request().send().promise;
            async move { Ok(answer.await?.get()?.get_status()?.to_vec()) }
        });
        block_on(answer).ok()
    }

    /// Returns the state of the traffic to each peer.
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

    /// Makes a call whose result comes over the channel; the channel closes
    /// when the peer does not answer in time.
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

    /// Starts a future on the peer's link.
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

    fn started(&self) -> impl Iterator<Item = &Executor<Links>> {
        let executors = self.shared.executors.iter();
        executors.filter_map(OnceLock::get).flatten()
    }

    fn executor(&self, to: SocketAddr) -> Option<&Executor<Links>> {
        let index = xxhash_rust::xxh3::xxh3_64(to.to_string().as_bytes()) as usize % THREADS;
        let (from, lost_peers) = (self.shared.from, self.shared.lost_peers.clone());
        let slot = &self.shared.executors[index];
        let executor = slot.get_or_init(|| {
            let started = Executor::start("peer-client", move || Links::new(from, lost_peers));
            let failed =
                |error: &std::io::Error| log::error!("peer: can't start a thread: {error}");
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

/// The links of one thread, by address.
struct Links {
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
