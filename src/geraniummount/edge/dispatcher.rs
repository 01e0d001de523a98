//! Carries each part to the owner of its leaf.
//!
//! A part whose leaf this VM owns goes to the leaf's task; any other goes to
//! a peer, which carries it on. The dispatcher never blocks, and each part
//! ends in exactly one outcome, at the latest shortly after its deadline.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::oneshot;

use crate::core::ownership::{self, Route};
use crate::core::service::Shard;
use crate::edge::inquiry::Inquiry;
use crate::edge::pending::{Gauge, Pending};
use crate::edge::reply_to::ReplyTo;
use crate::edge::{leaf, peer};
use crate::prelude::*;
use crate::util::published::Published;

const STOPPING_RETRY: Duration = Duration::from_millis(100);
const LOST_RETRY: Duration = Duration::from_millis(250);
const NO_OWNER_RETRY: Duration = Duration::from_millis(500);
/// How often answers for holdings are looked for.
const HOLDINGS_PERIOD: Duration = Duration::from_millis(2);

/// Limits and addresses of the dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address that connections to peers come from.
    pub bind: IpAddr,
    /// Longest reply body of a leaf in bytes.
    pub max_reply_bytes: usize,
}

/// Entry to the leaves of the whole fleet; clones share one state.
#[derive(Clone)]
pub struct Dispatcher {
    shared: Arc<Shared>,
}

struct Shared {
    view: Arc<Published<View>>,
    leaves: leaf::Pool,
    peers: peer::Client,
    gauge: Gauge,
    stopped: AtomicBool,
}

/// State of the dispatcher, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// Parts that have no outcome yet.
    pub in_flight: usize,
    /// Threads that carry requests to leaves.
    pub worker_threads: usize,
    /// Leaves that this VM holds queues of.
    pub leaves: Vec<leaf::Dump>,
    /// Peers that this VM calls.
    pub peers: Vec<peer::Dump>,
}

impl Dispatcher {
    /// Makes a dispatcher; its threads start with the first parts.
    pub fn new(
        options: Options,
        view: Arc<Published<View>>,
        draining: leaf::DrainingListener,
    ) -> Dispatcher {
        let leaves = leaf::Pool::new(Arc::clone(&view), draining, options.max_reply_bytes);
        let shared = Arc::new_cyclic(|shared: &Weak<Shared>| {
            let shared = Weak::clone(shared);
            let unsent = move |part, pending| match shared.upgrade() {
                Some(shared) => shared.carry(part, pending),
                None => drop(pending),
            };
            Shared {
                view,
                leaves,
                peers: peer::Client::new(options.bind, Box::new(unsent)),
                gauge: Gauge::default(),
                stopped: AtomicBool::new(false),
            }
        });
        Dispatcher { shared }
    }

    /// Sends a part to its leaf; the outcome goes to `reply`.
    pub fn dispatch(&self, part: Part, reply: ReplyTo) {
        let pending = Pending::new(part.attempt, reply, &self.shared.gauge);
        self.shared.carry(part, pending);
    }

    /// Gives up an attempt; its outcome still goes to its `reply`.
    pub fn cancel(&self, attempt: AttemptId, leaf: &LeafName) {
        self.shared.leaves.cancel(attempt, leaf);
        self.shared.peers.cancel(attempt);
    }

    /// Asks the owners which snapshots the leaves of a service hold. Owners
    /// that do not answer within `wait` are left out.
    pub fn holdings(&self, service: &Service, wait: Duration) -> Vec<Holding> {
        let deadline = Instant::now() + wait;
        let view = self.shared.view.get();
        let near = self.ask_owners(service, wait);
        let mut inquiry = Inquiry::start(&view, &self.shared.peers, service, near, wait);
        let mut local = self.local_holdings(service);
        loop {
            let now = Instant::now();
            let answered = inquiry.advance(now);
            if answered && (local.1 || now >= deadline) {
                break;
            }
            thread::sleep(HOLDINGS_PERIOD);
            if !local.1 {
                local = self.local_holdings(service);
            }
        }
        let mut holdings = inquiry.finish();
        holdings.extend(local.0);
        holdings.sort_unstable();
        holdings.dedup();
        holdings
    }

    /// Returns the client for calls to peers.
    pub fn peers(&self) -> &peer::Client {
        &self.shared.peers
    }

    /// Counts the parts that have no outcome yet.
    pub fn in_flight(&self) -> usize {
        self.shared.gauge.get()
    }

    /// Refuses new parts and ends the threads once those in flight are done.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.leaves.stop();
    }

    /// Returns the state of leaf tasks and peer connections.
    pub fn dump(&self) -> Dump {
        Dump {
            in_flight: self.in_flight(),
            worker_threads: self.shared.leaves.worker_threads(),
            leaves: self.shared.leaves.dump(),
            peers: self.shared.peers.dump(),
        }
    }

    /// Returns a service of the configuration in force.
    pub(super) fn service(&self, name: &str) -> Option<Service> {
        let view = self.shared.view.get();
        view.catalog.service(name).map(|record| record.spec.clone())
    }

    /// Asks the owners of a service's leaves in the own failure domain.
    pub(super) fn ask_owners(
        &self,
        service: &Service,
        wait: Duration,
    ) -> Vec<oneshot::Receiver<Vec<Holding>>> {
        let view = self.shared.view.get();
        let mut owners = Vec::new();
        for leaf in replicas(&view.catalog, service) {
            if leaf.failure_domain != view.failure_domain {
                continue;
            }
            if let Route::Peer(vm) = ownership::route(&view, leaf) {
                owners.push(vm.peer_address);
            }
        }
        owners.sort_unstable();
        owners.dedup();
        let ask = |address| self.shared.peers.holdings(address, service, 0, wait);
        owners.into_iter().map(ask).collect()
    }

    /// Returns what the leaves owned here hold of a service, and whether all
    /// of them have been asked.
    pub(super) fn local_holdings(&self, service: &Service) -> (Vec<Holding>, bool) {
        let view = self.shared.view.get();
        let mut holdings = Vec::new();
        let mut whole = true;
        for shard in &service.shards {
            for leaf in owned(&view, shard) {
                match self
                    .shared
                    .leaves
                    .held_snapshots(leaf, &service.name, &shard.name)
                {
                    Some(snapshots) => holdings.push(Holding {
                        service: service.name.clone(),
                        shard: shard.name.clone(),
                        leaf: leaf.name.clone(),
                        snapshots,
                    }),
                    None => whole = false,
                }
            }
        }
        (holdings, whole)
    }
}

impl Shared {
    /// Sends a part on its way, around peers that are lost.
    fn carry(&self, part: Part, pending: Pending) {
        if self.stopped.load(Ordering::Acquire) {
            return pending
                .fail(Failure::not_run(Reason::Stopping).with_retry_after(STOPPING_RETRY));
        }
        let view = self.view.get();
        let Some(record) = view.catalog.leaf(&part.leaf) else {
            return pending.fail(Failure::not_run(Reason::NoReplica));
        };
        let leaf = &record.spec;
        let (route, takeover) = self.route(&view, leaf, part.takeover);
        match route {
            Route::Local => self.leaves.submit(leaf, part, pending),
            Route::Peer(vm) if part.hops_left > 0 => {
                let part = Part {
                    hops_left: part.hops_left - 1,
                    takeover,
                    ..part
                };
                self.peers.dispatch(vm.peer_address, part, pending);
            }
            // Views differ for a moment while an owner changes; whoever may
            // hold connections to the leaf serves the part.
            Route::Peer(_) if has_share(&view, leaf) => {
                self.leaves.submit(leaf, part, pending);
            }
            Route::NoOwner if takeover => {
                pending.fail(Failure::not_run(Reason::ConnectFailed).with_retry_after(LOST_RETRY));
            }
            Route::Peer(_) | Route::NoOwner => {
                pending.fail(Failure::not_run(Reason::NoOwner).with_retry_after(NO_OWNER_RETRY));
            }
        }
    }

    /// Finds the way of a part, and whether it is one around a lost owner.
    fn route<'a>(&self, view: &'a View, leaf: &Leaf, takeover: bool) -> (Route<'a>, bool) {
        if takeover && has_share(view, leaf) {
            return (Route::Local, true);
        }
        let is_lost = |vm: &Vm| self.peers.is_lost(vm.peer_address);
        match ownership::route(view, leaf) {
            Route::Peer(vm) if is_lost(vm) => {
                (ownership::route_excluding(view, leaf, is_lost), true)
            }
            route => (route, takeover),
        }
    }
}

fn has_share(view: &View, leaf: &Leaf) -> bool {
    let rank = ownership::rank(view, leaf);
    rank.is_some_and(|rank| ownership::connection_share(&leaf.contract, rank) > 0)
}

fn replicas<'a>(catalog: &'a Catalog, service: &'a Service) -> impl Iterator<Item = &'a Leaf> {
    let names = service.shards.iter().flat_map(|shard| &shard.replicas);
    names.filter_map(|name| catalog.leaf(name).map(|record| &record.spec))
}

fn owned<'a>(view: &'a View, shard: &'a Shard) -> impl Iterator<Item = &'a Leaf> {
    let records = shard
        .replicas
        .iter()
        .filter_map(|name| view.catalog.leaf(name));
    let leaves = records.map(|record| &record.spec);
    leaves.filter(|leaf| ownership::route(view, leaf) == Route::Local)
}
