//! The `serve` subcommand, which runs the process of an entry VM until a planned stop. An entry VM
//! is a VM of the query tier: it takes requests from callers and sends their parts, one for each
//! shard, to leaves.
//!
//! [`Server::start`] binds every listener before it returns, and a port that is in use is therefore
//! reported as a startup error. A planned stop proceeds as follows:
//!
//! 1. The stop is announced to the other VMs, and the readiness check fails.
//! 2. Requests are still served for the time that the load balancer needs to notice.
//! 3. No further requests are read, and those in flight are completed.
//! 4. The threads end.

mod changes;
mod error;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use log::{info, warn};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub use self::error::Error;

use crate::core::config::change_log::Delta;
use crate::core::gossip::Source;
use crate::edge::claims::Claims;
use crate::edge::dispatcher::{self, Dispatcher};
use crate::edge::metrics::{Load, Metrics};
use crate::edge::{caller, operator, peer};
use crate::ops::control::{self, Control, Fetch, Handle};
use crate::ops::exit::Exit;
use crate::ops::settings::Settings;
use crate::prelude::*;

/// Timeout of a request to a peer for configuration changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks for parts in flight during a planned stop.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The running process of an entry VM.
pub struct Server {
    settings: Settings,
    /// Threads that keep the membership and the configuration of this VM.
    control: Control,
    dispatcher: Dispatcher,
    callers: Arc<caller::Server>,
    operators: operator::Server,
    peers: peer::Server,
}

/// Runs the process until it receives SIGTERM or SIGINT.
pub fn run(settings: Settings) -> Result<(), Report<Exit>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context(Exit::Other)?;
    let server = Server::start(settings).change_context(Exit::Other)?;
    if let Some(signal) = signals.forever().next() {
        info!("serve: received signal {signal}; stopping");
    }
    if server.stop() {
        return Ok(());
    }
    let advice =
        "requests were still in flight after drain_ms had passed; raise drain_ms in [limits]";
    Err(Report::new(Exit::Other).attach(advice))
}

impl Server {
    /// Binds all listeners and starts all threads.
    pub fn start(settings: Settings) -> Result<Server, Report<Error>> {
        let metrics = Metrics::default();
        // Binds the UDP socket for peers; `starter` starts the threads once `changes_fetcher`
        // exists.
        let (handle, starter) =
            control::prepare(&settings, &metrics).change_context(Error::Peers)?;
        let dispatcher = start_dispatcher(&settings, &handle);
        let peer_client = dispatcher.peers().clone();
        // Claims are records in the platform's store that idempotency keys were taken.
        let claims = Claims::start(
            &starter.platform(),
            handle.view(),
            peer_client,
            metrics.clone(),
        );
        let quarantine = caller::Quarantine::start(&*settings.node.name, &starter.platform());
        let quarantine = quarantine.change_context(Error::Threads)?;
        let hooks = peer_hooks(&handle, &claims);
        let peers = peer::Server::start(settings.node.peer_listen, &dispatcher, hooks)
            .change_context(Error::Peers)?;
        let control = starter
            .start(changes_fetcher(&dispatcher))
            .change_context(Error::Threads)?;
        let callers = start_callers(
            &settings,
            &handle,
            &dispatcher,
            &metrics,
            claims,
            quarantine,
        )?;
        let operators = start_operators(&settings, &handle, &dispatcher, &metrics, &callers)?;
        let node = &settings.node;
        info!(
            "serve: VM {} of failure domain {} has started",
            node.name, node.failure_domain
        );
        Ok(Server {
            settings,
            control,
            dispatcher,
            callers,
            operators,
            peers,
        })
    }

    /// Returns the address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Stops the process after all requests in flight are completed or the settings' `drain` time
    /// has passed. Returns whether all were completed.
    pub fn stop(self) -> bool {
        let limits = &self.settings.limits;
        let deadline = Instant::now() + limits.drain;
        self.control.handle().announce_leaving();
        // The load balancer needs this time to notice that the readiness check fails.
        thread::sleep(limits.linger.min(limits.drain));
        let answered = self.callers.stop(remaining(deadline));
        while self.dispatcher.in_flight() > 0 && Instant::now() < deadline {
            thread::sleep(IN_FLIGHT_POLL_INTERVAL);
        }
        let in_flight = self.dispatcher.in_flight();
        if in_flight > 0 {
            warn!(
                "serve: {in_flight} requests to leaves are still in flight after drain_ms; stopping"
            );
        }
        self.dispatcher.stop();
        self.peers.drain();
        drop(self.operators);
        self.control.stop();
        info!("serve: stopped");
        answered && in_flight == 0
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn start_dispatcher(settings: &Settings, handle: &Handle) -> Dispatcher {
    let options = dispatcher::Options {
        // Calls to peers come from the address on which this VM listens for peers.
        bind: settings.node.peer_listen.ip(),
        max_reply_bytes: settings.limits.max_reply_bytes,
    };
    let control = handle.clone();
    let notice = move |leaf: &LeafName, source: Source, draining: bool| {
        control.report_leaf_draining(leaf, source, draining);
    };
    Dispatcher::new(options, handle.view(), Box::new(notice))
}

/// Returns the handlers for calls of peers other than parts.
fn peer_hooks(handle: &Handle, claims: &Claims) -> peer::Hooks {
    let registry = handle.registry();
    let control = handle.clone();
    peer::Hooks {
        changes: Box::new(move |since| changes::encode(&registry.changes_since(since))),
        status: Box::new(move || serde_json::to_vec(&control.status()).unwrap_or_default()),
        claims: claims.clone(),
    }
}

/// Returns the function that requests configuration changes from a peer.
fn changes_fetcher(dispatcher: &Dispatcher) -> Fetch {
    let peers = dispatcher.peers().clone();
    Box::new(move |vm: &Vm, since: Revision| -> Option<Delta> {
        let answer = peers.changes(vm.peer_address, since, FETCH_TIMEOUT)?;
        let delta = changes::decode(&answer);
        if delta.is_none() {
            warn!(
                "serve: failed to parse configuration changes of {}; run one version on both VMs",
                vm.name
            );
        }
        delta
    })
}

fn start_callers(
    settings: &Settings,
    handle: &Handle,
    dispatcher: &Dispatcher,
    metrics: &Metrics,
    claims: Claims,
    quarantine: caller::Quarantine,
) -> Result<Arc<caller::Server>, Report<Error>> {
    let options = caller::Options {
        listen: settings.caller.listen,
        spare_connections: settings.caller.spare_connections,
        max_queries: settings.limits.queries,
        max_body_bytes: settings.limits.max_body_bytes,
        body_timeout: settings.limits.body_read_timeout,
    };
    let control = handle.clone();
    let dependencies = caller::Dependencies {
        view: handle.view(),
        dispatcher: dispatcher.clone(),
        metrics: metrics.clone(),
        claims,
        quarantine,
        ready: Box::new(move || control.is_ready()),
    };
    let server = caller::Server::start(options, dependencies).change_context(Error::Callers)?;
    Ok(Arc::new(server))
}

fn start_operators(
    settings: &Settings,
    handle: &Handle,
    dispatcher: &Dispatcher,
    metrics: &Metrics,
    callers: &Arc<caller::Server>,
) -> Result<operator::Server, Report<Error>> {
    let view = handle.view();
    let process = operator::Process {
        registry: handle.registry(),
        metrics: metrics.clone(),
        status: status_source(handle),
        state: state_source(handle, dispatcher, callers),
        loads: load_source(dispatcher),
        is_stopping: Box::new(move || view.get().stopping),
    };
    operator::Server::start(settings.operator.listen, process).map_err(|cause| {
        let cause = format!("{}: {cause}", settings.operator.listen);
        Report::new(Error::Operators).attach(cause)
    })
}

/// Returns the source of `/v1/status`: what this VM knows of the fleet, and the latest changes
/// whose writes the platform did not answer (undecided).
fn status_source(handle: &Handle) -> operator::JsonSource {
    let control = handle.clone();
    let registry = handle.registry();
    Box::new(move || {
        let mut status = json!(control.status());
        status["undecided"] = json!(registry.undecided());
        status
    })
}

/// Returns the source of the leaves' gauges in `/metrics`.
fn load_source(dispatcher: &Dispatcher) -> Box<dyn Fn() -> Vec<Load> + Send + Sync> {
    let dispatcher = dispatcher.clone();
    Box::new(move || dispatcher.dump().leaves.iter().map(Load::from).collect())
}

/// Returns the source of `/v1/state`: the state of this process.
fn state_source(
    handle: &Handle,
    dispatcher: &Dispatcher,
    callers: &Arc<caller::Server>,
) -> operator::JsonSource {
    let view = handle.view();
    let dispatcher = dispatcher.clone();
    let callers = Arc::clone(callers);
    Box::new(move || {
        let view = view.get();
        json!({
            "vm": view.me,
            "failure_domain": view.failure_domain,
            "stopping": view.stopping,
            "revision": view.catalog.revision,
            "vms": view.vms,
            "draining": view.draining,
            "traffic": dispatcher.dump(),
            "callers": callers.dump(),
        })
    })
}
