//! HTTP gateway that routes callers' requests by host and path, in one event loop on one thread.
//!
//! A request passes through five steps: [`caller`] reads it, [`admission`] learns from
//! `core::delegation` who handles it, finds its route and plans its call, `core::call` decides to
//! which leaves it is sent, [`pool`] and [`leaf`] exchange it with those leaves, and [`answer`] writes
//! the response. In addition, [`load_shedding`] rejects queries while leaves are overloaded, which
//! [`fair_share`] does by priority and tenant if there are tenants,
//! [`store_check`] detects that this VM is isolated from the other failure domains, and [`stop`]
//! shuts the gateway down without dropping requests. [`evacuation`] keeps requests from evacuated
//! failure domains, and [`cold_leaves`] reports leaves that become cold. [`fleet`] divides the limits of leaves between
//! the VMs. [`crashes`] finds out which requests crash leaves, [`quarantine`] withholds them, and
//! [`trials`] sends them once in a while. [`leaf_links`] detects that this VM reaches no leaf, and
//! [`delegation`] then lets other VMs serve its requests. [`key_lease`] confirms that the keys of
//! callers may still be used. [`stall`] detects that this VM was frozen.
//! [`trials`] sends them once in a while. [`quota`] keeps tenants within their quotas. [`leaf_links`] detects that this VM reaches no leaf, and
//! [`delegation`] then lets other VMs serve its requests. [`stall`] detects that this VM was frozen.
//! [`watch`] keeps the routes and the lists of leaves and of VMs up to date from the platform's
//! store on a thread of its own. [`probe`] serves readiness to the platform and metrics to
//! operators.
//!
//! The gateway runs on a single thread because a VM has only a share of one core and each handover
//! between threads would cost a wake-up. Nothing in the event loop blocks, except for a moment after
//! this VM was frozen for a second or more.
//!
//! The platform is what the users run around the gateway: the store of the routes and of the
//! leaves' registrations, and the readiness probes. A call is a caller's request in flight. An
//! attempt is one try to run one part of the request (its share for one shard) at one leaf, which
//! is a replica of the shard. A key is an index into one of the gateway's slabs; keys are reused.

mod admission;
mod answer;
mod arrival;
mod caller;
mod calls;
mod cold_leaves;
mod content;
mod crashes;
mod datagrams;
mod delegation;
mod evacuation;
mod event_loop;
mod fair_share;
mod fleet;
mod iteration;
mod key_lease;
mod leaf;
mod leaf_links;
mod load_shedding;
mod memory;
mod metrics;
mod options;
mod pool;
mod probe;
mod quarantine;
mod quota;
mod refusals;
mod registrations;
mod response_reader;
mod socket;
mod stall;
mod stop;
mod store_check;
mod timers;
mod token;
mod trials;
mod update;
mod watch;

use std::collections::VecDeque;
use std::io;
use std::time::Instant;

use log::warn;
use mio::Poll;
use mio::net::{TcpListener, TcpStream};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slab::Slab;

pub use self::options::Options;
pub use self::update::{Sender, Update};

use self::calls::CallState;
use self::datagrams::Datagrams;
use self::delegation::Delegation;
use self::fair_share::Contention;
use self::fleet::Fleet;
use self::iteration::Iteration;
use self::key_lease::KeyLease;
use self::leaf::LeafConnection;
use self::load_shedding::ShardSetShedder;
use self::memory::Closed;
use self::metrics::Metrics;
use self::pool::Pool;
use self::probe::Probe;
use self::quarantine::Sharing;
use self::quota::QuotaState;
use self::stall::StallDetector;
use self::timers::Timers;
use self::trials::Trials;
use crate::core::call::Reply;
use crate::core::delegation::Routes;
use crate::core::isolation::Isolation;
use crate::core::leaf_links::LeafLinks;
use crate::core::memory_account::{Account, Limits};
use crate::core::placement::{Placement, ReplicaKey};
use crate::core::quarantine::Quarantine;
use crate::core::request_rate::RequestRate;
use crate::core::route::Split;
use crate::prelude::*;

/// A gateway with its listeners, connections and calls in flight.
pub struct Gateway {
    options: Options,
    poll: Poll,
    /// Updates from other threads.
    updates: update::Receiver,
    /// Sender of `updates`, for other threads.
    sender: Sender,
    /// Listener for callers; `None` once a stop has closed it.
    callers_listener: Option<TcpListener>,
    /// Listener for the platform's readiness probes.
    ready_listener: TcpListener,
    /// Listener for requests for metrics, if they are served.
    metrics_listener: Option<TcpListener>,
    caller_connections: Slab<caller::CallerConnection>,
    leaf_connections: Slab<LeafConnection>,
    /// Connections for readiness and metrics.
    probes: Slab<Probe>,
    calls: Slab<CallState>,
    /// Connection pools of the leaves, sorted by the leaf's [`ReplicaKey`].
    pools: Vec<Pool>,
    attempts: calls::Attempts,
    timers: Timers,
    /// What this VM has observed of the leaves, by which it chooses one for each attempt.
    placement: Placement,
    /// Routes in force, and who handles a request.
    routes: Routes,
    /// Whether the list of registered leaves is known.
    has_leaf_list: bool,
    /// Number of registered leaves, and how many of them are leaving.
    leaf_counts: (usize, usize),
    /// Chooses a service for requests whose route names several, each with a weight.
    split: Split,
    metrics: Metrics,
    /// Detects whether this VM is isolated from the other failure domains.
    isolation: Isolation,
    /// Detects that this VM has lost its links to the leaves.
    leaf_links: LeafLinks<ReplicaKey>,
    /// Earliest timer that is set for the links.
    links_wake_at: Option<Instant>,
    /// Delegation of requests to other VMs.
    delegation: Delegation,
    /// Socket for questions to other VMs and their answers.
    datagrams: Datagrams,
    /// Confirmation that keys may still be used; `None` if they need none.
    keys: Option<KeyLease>,
    /// Quotas of tenants, and the requests that wait for tokens.
    quota: QuotaState,
    /// Load shedders, one for each set of shards, sorted by first shard.
    shedders: Vec<ShardSetShedder>,
    /// Competition of tenants for each service and set of shards, sorted by these.
    contentions: Vec<Contention>,
    /// Connection that checks whether the store is reachable, and when it was begun.
    store_check: Option<(TcpStream, Instant)>,
    /// Detects that this VM was stalled.
    stall: StallDetector,
    /// Planned stop, once it has begun.
    stop: Option<stop::Stop>,
    /// Requests of callers that this VM received.
    request_rate: RequestRate,
    /// Exchange of rates with the other VMs.
    fleet: Fleet,
    /// Requests during which leaves crashed.
    quarantine: Quarantine,
    /// Sharing of these requests with the other VMs.
    sharing: Sharing,
    /// Trials of these requests that this VM has claimed.
    trials: Trials,
    /// What this VM holds for others.
    account: Account,
    /// Connections that were closed as memory or descriptors were short.
    closed_connections: Closed,
    /// Serial number that was allocated last.
    last_serial: u64,
    /// Replies that have not been passed to their calls yet.
    pending_replies: VecDeque<(AttemptId, Reply)>,
    /// Keys of the callers' connections whose response has been written. Their pipelined input is
    /// parsed next.
    answered_callers: Vec<usize>,
    /// Keys and serial numbers of the callers' connections whose input is parsed further in the next
    /// iteration of the event loop.
    postponed_callers: Vec<(usize, u64)>,
    /// The current iteration of the event loop.
    iteration: Iteration,
    /// Buffer for reading from any socket.
    read_buf: Vec<u8>,
    /// Time at which the current iteration of the event loop began, or at which a request was written
    /// later in that iteration.
    now: Instant,
    /// Reads the time at which a request is written.
    clock: fn() -> Instant,
}

impl Gateway {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use or does not belong to this machine, or if the event
    /// poll cannot be set up.
    pub fn bind(options: Options) -> io::Result<Gateway> {
        let poll = Poll::new()?;
        let (sender, updates) = update::channel(&poll)?;
        let mut rng = SmallRng::seed_from_u64(rand::random());
        let split = Split::new(rng.random_range(0.0..1.0));
        let metrics = options.metrics.map(TcpListener::bind).transpose()?;
        let limits = Limits::new(options.memory_bytes, options.max_descriptors);
        let mut gateway = Gateway {
            callers_listener: Some(TcpListener::bind(options.callers)?),
            ready_listener: TcpListener::bind(options.ready)?,
            metrics_listener: metrics,
            delegation: Delegation::bind(&options)?,
            datagrams: Datagrams::bind(&options)?,
            keys: KeyLease::new(&options),
            quota: QuotaState::new(&options)?,
            placement: Placement::new(options.failure_domain.clone(), options.start, rng),
            options,
            poll,
            updates,
            sender,
            caller_connections: Slab::new(),
            leaf_connections: Slab::new(),
            probes: Slab::new(),
            calls: Slab::new(),
            pools: Vec::new(),
            attempts: calls::Attempts::default(),
            timers: Timers::default(),
            routes: Routes::default(),
            has_leaf_list: false,
            leaf_counts: (0, 0),
            split,
            metrics: Metrics::default(),
            isolation: Isolation::default(),
            leaf_links: LeafLinks::default(),
            links_wake_at: None,
            shedders: Vec::new(),
            contentions: Vec::new(),
            store_check: None,
            stall: StallDetector::new(),
            stop: None,
            request_rate: RequestRate::new(Instant::now()),
            fleet: Fleet::default(),
            quarantine: Quarantine::default(),
            sharing: Sharing::default(),
            trials: Trials::default(),
            account: Account::new(limits),
            closed_connections: Closed::default(),
            last_serial: 0,
            pending_replies: VecDeque::new(),
            answered_callers: Vec::new(),
            postponed_callers: Vec::new(),
            iteration: Iteration::new(),
            read_buf: vec![0; socket::READ_BUF_BYTES],
            now: Instant::now(),
            clock: Instant::now,
        };
        let tolerance = gateway.options.cold_tolerance;
        gateway.placement.set_cold_tolerance(tolerance);
        gateway.placement.set_policy(gateway.options.placement);
        gateway.register_listeners()?;
        Ok(gateway)
    }

    /// Replaces the clock that is read when a request is written. Tests use this to bring about an
    /// iteration of the event loop that takes long.
    #[must_use]
    pub fn with_clock(self, clock: fn() -> Instant) -> Gateway {
        Gateway { clock, ..self }
    }

    /// Returns a sender of updates to the event loop.
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Returns a number that tells apart objects which reuse the same key.
    fn allocate_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Returns whether this VM can serve callers, as told to the platform's readiness probes.
    fn is_ready(&self) -> bool {
        let serves = self.routes.is_known() && self.has_leaf_list;
        serves && self.stop.is_none() && !self.isolation.is_isolated()
    }

    fn log_accept_failure(&self, what: &str, error: &io::Error) {
        warn!("accept what={what} error=\"{error}\"");
    }
}
