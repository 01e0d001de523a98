//! Routes each part to the VM that owns its leaf.
//!
//! A part is the share of a request that goes to one shard. The owner of a leaf is the VM that
//! holds the leaf's queue. A part for a leaf that this VM owns goes to the leaf's task, the thread
//! of this process that sends requests to the leaf. Any other part goes to a peer (another VM): the
//! owner, or a VM of another failure domain that forwards the part to the owner. Sending a part
//! never blocks, and each part ends in exactly one outcome, at the latest shortly after its
//! deadline.
//!
//! The number of hops of a part limits how often it is forwarded. If the owner is unresponsive, or
//! has lost its links to the leaves, another VM takes the part over, provided that it has a
//! connection share of the leaf: a number of the leaf's connections that it may open. If no VM of
//! the leaf's failure domain can, a VM of another one stands in. A VM without links that is asked
//! to take a part over declines at once.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::oneshot;

use crate::core::ownership::{self, Route};
use crate::core::service::Shard;
use crate::edge::holdings_lookup::Lookup;
use crate::edge::pending::{Gauge, Pending};
use crate::edge::reply_to::ReplyTo;
use crate::edge::{leaf, peer};
use crate::prelude::*;
use crate::util::published::Published;

/// Delay after which a part may be retried that was rejected because this VM is stopping.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after which a part may be retried if the leaf's owner is unresponsive and no other VM can
/// take the part over.
const OWNER_LOST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after which a part may be retried if its leaf has no owner or the part has no hops left.
const NO_OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks for answers about snapshot holdings.
const HOLDINGS_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of the dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Local address that connections to peers are bound to.
    pub bind: IpAddr,
    /// Maximum length of a leaf's reply body in bytes.
    pub max_reply_bytes: usize,
}

/// Sends parts to the leaves of the whole fleet. Clones share one state.
#[derive(Clone)]
pub struct Dispatcher {
    shared: Arc<Shared>,
}

struct Shared {
    /// What this VM knows of the other VMs and the configuration.
    view: Arc<Published<View>>,
    /// The leaves' tasks.
    leaves: leaf::Pool,
    peers: peer::Client,
    /// Number of parts without an outcome.
    gauge: Gauge,
    /// Whether new parts are rejected.
    stopped: AtomicBool,
}

/// Diagnostic state of the dispatcher, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// Number of parts without an outcome.
    pub in_flight: usize,
    /// Number of threads that send requests to leaves.
    pub worker_threads: usize,
    /// Leaves for which this VM has a queue.
    pub leaves: Vec<leaf::Dump>,
    /// Peers that this VM calls.
    pub peers: Vec<peer::Dump>,
}

impl Dispatcher {
    /// Creates a dispatcher. Its threads are started on demand. `draining` is called when a leaf
    /// reports that it is draining (finishing its requests and taking no new ones), or no longer.
    pub fn new(
        options: Options,
        view: Arc<Published<View>>,
        draining: leaf::DrainingListener,
    ) -> Dispatcher {
        let leaves = leaf::Pool::new(Arc::clone(&view), draining, options.max_reply_bytes);
        let shared = Arc::new_cyclic(|shared: &Weak<Shared>| {
            let shared = Weak::clone(shared);
            let on_unsent = move |part, pending| match shared.upgrade() {
                Some(shared) => shared.dispatch(part, pending),
                None => drop(pending),
            };
            Shared {
                view,
                leaves,
                peers: peer::Client::new(options.bind, Box::new(on_unsent)),
                gauge: Gauge::default(),
                stopped: AtomicBool::new(false),
            }
        });
        Dispatcher { shared }
    }

    /// Sends a part to its leaf. Its outcome is sent to `reply`.
    pub fn dispatch(&self, part: Part, reply: ReplyTo) {
        let pending = Pending::new(part.attempt, reply, &self.shared.gauge);
        self.shared.dispatch(part, pending);
    }

    /// Cancels an attempt, which is one try to run a part. Its outcome is still sent to the `reply`
    /// given to [`Dispatcher::dispatch`].
    pub fn cancel(&self, attempt: AttemptId, leaf: &LeafName) {
        self.shared.leaves.cancel(attempt, leaf);
        self.shared.peers.cancel(attempt);
    }

    /// Asks the owners of a service's leaves which snapshots (versions of the index) the leaves
    /// hold, and blocks until all answers are in or `timeout` has passed. Owners that have not
    /// answered by then are omitted.
    pub fn holdings(&self, service: &Service, timeout: Duration) -> Vec<Holding> {
        let deadline = Instant::now() + timeout;
        let view = self.shared.view.get();
        let own_domain_answers = self.ask_owners(service, timeout);
        let mut lookup = Lookup::start(
            &view,
            &self.shared.peers,
            service,
            own_domain_answers,
            timeout,
        );
        // The holdings of this VM's own leaves, and whether all of these leaves have been asked.
        let mut local = self.local_holdings(service);
        loop {
            let now = Instant::now();
            let answered = lookup.advance(now);
            if answered && (local.1 || now >= deadline) {
                break;
            }
            thread::sleep(HOLDINGS_POLL_INTERVAL);
            if !local.1 {
                local = self.local_holdings(service);
            }
        }
        let mut holdings = lookup.into_holdings();
        holdings.extend(local.0);
        holdings.sort_unstable();
        holdings.dedup();
        holdings
    }

    /// Returns the client that calls peers.
    pub fn peers(&self) -> &peer::Client {
        &self.shared.peers
    }

    /// Returns the number of parts without an outcome.
    pub fn in_flight(&self) -> usize {
        self.shared.gauge.get()
    }

    /// Rejects new parts and stops the threads once the parts in flight are completed.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.leaves.stop();
    }

    /// Returns the diagnostic state of leaf tasks and peer connections.
    pub fn dump(&self) -> Dump {
        Dump {
            in_flight: self.in_flight(),
            worker_threads: self.shared.leaves.worker_threads(),
            leaves: self.shared.leaves.dump(),
            peers: self.shared.peers.dump(),
        }
    }

    /// Returns a service from the configuration in force.
    pub(super) fn service(&self, name: &str) -> Option<Service> {
        let view = self.shared.view.get();
        view.catalog.service(name).map(|record| record.spec.clone())
    }

    /// Asks the peers that own a service's leaves in this VM's failure domain which snapshots the
    /// leaves hold. Each receiver yields the answer of one peer.
    pub(super) fn ask_owners(
        &self,
        service: &Service,
        timeout: Duration,
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
        let ask = |address| self.shared.peers.holdings(address, service, 0, timeout);
        owners.into_iter().map(ask).collect()
    }

    /// Returns the snapshots of a service that the leaves owned by this VM hold, and whether the
    /// result is complete, that is, whether every such leaf has already been asked.
    pub(super) fn local_holdings(&self, service: &Service) -> (Vec<Holding>, bool) {
        let view = self.shared.view.get();
        let mut holdings = Vec::new();
        let mut is_complete = true;
        for shard in &service.shards {
            for leaf in owned_replicas(&view, shard) {
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
                    None => is_complete = false,
                }
            }
        }
        (holdings, is_complete)
    }
}

impl Shared {
    /// Sends a part to its leaf's task or to a peer, and avoids unresponsive peers.
    fn dispatch(&self, part: Part, pending: Pending) {
        if self.stopped.load(Ordering::Acquire) {
            return pending
                .fail(Failure::not_run(Reason::Stopping).with_retry_after(STOPPING_RETRY_DELAY));
        }
        let view = self.view.get();
        let Some(record) = view.catalog.leaf(&part.leaf) else {
            return pending.fail(Failure::not_run(Reason::NoReplica));
        };
        let leaf = &record.spec;
        let (route, takeover) = self.select_route(&view, leaf, &part, pending.is_for_peer());
        match route {
            Route::Local if self.leaves.has_lost_links() => decline(pending),
            Route::Local => self.leaves.submit(leaf, part, pending),
            Route::Peer(vm) if part.hops_left > 0 => {
                // A VM of a domain other than the leaf's serves the part itself.
                let hops_left = match takeover && vm.failure_domain != leaf.failure_domain {
                    true => 0,
                    false => part.hops_left - 1,
                };
                let part = Part {
                    hops_left,
                    takeover,
                    ..part
                };
                self.peers.dispatch(vm.peer_address, part, pending);
            }
            // While the owner of a leaf changes, the views of two VMs may differ for a moment, and
            // the part has no hops left. Any VM that has a connection share of the leaf serves it.
            Route::Peer(_) if has_connection_share(&view, leaf) => {
                self.leaves.submit(leaf, part, pending);
            }
            Route::NoOwner if takeover => decline(pending),
            Route::Peer(_) | Route::NoOwner => {
                pending
                    .fail(Failure::not_run(Reason::NoOwner).with_retry_after(NO_OWNER_RETRY_DELAY));
            }
        }
    }

    /// Selects the route of a part, and returns whether the part takes over from an owner that is
    /// unresponsive or has lost its links.
    fn select_route<'a>(
        &self,
        view: &'a View,
        leaf: &Leaf,
        part: &Part,
        is_for_peer: bool,
    ) -> (Route<'a>, bool) {
        let is_stand_in = part.hops_left == 0 && leaf.failure_domain != view.failure_domain;
        if part.takeover && (is_stand_in || has_connection_share(view, leaf)) {
            return (Route::Local, true);
        }
        let has_lost_links = self.leaves.has_lost_links();
        let has_declined = |vm: &Vm| match vm.name == view.me {
            true => has_lost_links,
            false => self.peers.has_declined(vm.peer_address),
        };
        let is_unable = |vm: &Vm| has_declined(vm) || self.peers.is_lost(vm.peer_address);
        let stand_in = || ownership::stand_in(view, leaf, is_unable, has_declined);
        match ownership::route(view, leaf) {
            // The other VM asks the next one itself once this one has declined.
            Route::Local if has_lost_links && is_for_peer => (Route::Local, true),
            Route::Local if has_lost_links => (stand_in(), true),
            Route::Peer(vm) if is_unable(vm) => (stand_in(), true),
            route => (route, part.takeover),
        }
    }
}

/// Fails a part that has not run because this VM knows no way to the leaf.
fn decline(pending: Pending) {
    let failure = Failure::not_run(Reason::ConnectFailed);
    pending.fail(failure.with_retry_after(OWNER_LOST_RETRY_DELAY));
}

fn has_connection_share(view: &View, leaf: &Leaf) -> bool {
    let rank = ownership::rank(view, leaf);
    rank.is_some_and(|rank| ownership::connection_share(&leaf.contract, rank) > 0)
}

fn replicas<'a>(catalog: &'a Catalog, service: &'a Service) -> impl Iterator<Item = &'a Leaf> {
    let names = service.shards.iter().flat_map(|shard| &shard.replicas);
    names.filter_map(|name| catalog.leaf(name).map(|record| &record.spec))
}

fn owned_replicas<'a>(view: &'a View, shard: &'a Shard) -> impl Iterator<Item = &'a Leaf> {
    let records = shard
        .replicas
        .iter()
        .filter_map(|name| view.catalog.leaf(name));
    let leaves = records.map(|record| &record.spec);
    leaves.filter(|leaf| ownership::route(view, leaf) == Route::Local)
}
