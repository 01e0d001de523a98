//! `serve`: one process of an entry VM, from its start to a planned stop.
//!
//! [`Server::start`] binds every listener before it returns, so that a port
//! that is taken is an error of the start. A planned stop goes in steps: the
//! others are told and readiness fails, requests are still served for the
//! time that the balancer takes to notice, then no further one is read, those
//! in flight are finished, and the threads end.

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

use crate::core::change_log::Delta;
use crate::core::gossip::Source;
use crate::edge::claims::Claims;
use crate::edge::dispatcher::{self, Dispatcher};
use crate::edge::metrics::{Load, Metrics};
use crate::edge::{caller, operator, peer};
use crate::ops::control::{self, Control, Fetch, Handle};
use crate::ops::exit::Exit;
use crate::ops::settings::Settings;
use crate::prelude::*;

/// Longest wait for a peer's changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Step in which a stop looks whether parts are still in flight.
const STOP_STEP: Duration = Duration::from_millis(10);

/// Running process of an entry VM.
pub struct Server {
    settings: Settings,
    control: Control,
    dispatcher: Dispatcher,
    callers: Arc<caller::Server>,
    operators: operator::Server,
    peers: peer::Server,
}

/// Runs a process until it is told to stop.
pub fn run(settings: Settings) -> Result<(), Report<Exit>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context(Exit::Other)?;
    let server = Server::start(settings).change_context(Exit::Other)?;
    if let Some(signal) = signals.forever().next() {
        info!("serve: signal {signal}, stopping");
    }
    if server.stop() {
        return Ok(());
    }
    let advice = "requests were still in flight when drain_ms was over; raise it in [limits]";
    Err(Report::new(Exit::Other).attach(advice))
}

impl Server {
    /// Binds all listeners and starts all threads.
    pub fn start(settings: Settings) -> Result<Server, Report<Error>> {
        let metrics = Metrics::default();
        let (handle, starter) =
            control::prepare(&settings, &metrics).change_context(Error::Peers)?;
        let dispatcher = start_dispatcher(&settings, &handle);
        let peers = dispatcher.peers().clone();
        let claims = Claims::start(&starter.platform(), handle.view(), peers, metrics.clone());
        let hooks = hooks(&handle, &claims);
        let peers = peer::Server::start(settings.node.peer_listen, &dispatcher, hooks)
            .change_context(Error::Peers)?;
        let control = starter
            .start(fetch(&dispatcher))
            .change_context(Error::Threads)?;
        let callers = start_callers(&settings, &handle, &dispatcher, &metrics, claims)?;
        let operators = start_operators(&settings, &handle, &dispatcher, &metrics, &callers)?;
        let node = &settings.node;
        info!("serve: {} of {} is up", node.name, node.failure_domain);
        Ok(Server {
            settings,
            control,
            dispatcher,
            callers,
            operators,
            peers,
        })
    }

    /// Returns where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Stops without cutting off a request in flight, unless the settings'
    /// `drain` passes first. Returns whether all were finished.
    pub fn stop(self) -> bool {
        let limits = &self.settings.limits;
        let end = Instant::now() + limits.drain;
        self.control.handle().announce_leaving();
        thread::sleep(limits.linger.min(limits.drain));
        let answered = self.callers.stop(remaining(end));
        while self.dispatcher.in_flight() > 0 && Instant::now() < end {
            thread::sleep(STOP_STEP);
        }
        let left = self.dispatcher.in_flight();
        if left > 0 {
            warn!("serve: {left} parts are still in flight");
        }
        self.dispatcher.stop();
        self.peers.drain();
        drop(self.operators);
        self.control.stop();
        info!("serve: stopped");
        answered && left == 0
    }
}

fn remaining(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

fn start_dispatcher(settings: &Settings, handle: &Handle) -> Dispatcher {
    let options = dispatcher::Options {
        bind: settings.node.peer_listen.ip(),
        max_reply_bytes: settings.limits.max_reply_bytes,
    };
    let control = handle.clone();
    let notice = move |leaf: &LeafName, source: Source, draining: bool| {
        control.leaf_draining(leaf, source, draining);
    };
    Dispatcher::new(options, handle.view(), Box::new(notice))
}

fn hooks(handle: &Handle, claims: &Claims) -> peer::Hooks {
    let registry = handle.registry();
    let control = handle.clone();
    peer::Hooks {
        changes: Box::new(move |since| changes::write(&registry.changes_since(since))),
        status: Box::new(move || serde_json::to_vec(&control.status()).unwrap_or_default()),
        claims: claims.clone(),
    }
}

fn fetch(dispatcher: &Dispatcher) -> Fetch {
    let peers = dispatcher.peers().clone();
    Box::new(move |vm: &Vm, since: Revision| -> Option<Delta> {
        let answer = peers.changes(vm.peer_address, since, FETCH_TIMEOUT)?;
        let delta = changes::read(&answer);
        if delta.is_none() {
            warn!(
                "serve: changes of {} can't be read; run the same version",
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

fn status_source(handle: &Handle) -> operator::JsonSource {
    let control = handle.clone();
    let registry = handle.registry();
    Box::new(move || {
        let mut status = json!(control.status());
        status["undecided"] = json!(registry.undecided());
        status
    })
}

fn load_source(dispatcher: &Dispatcher) -> Box<dyn Fn() -> Vec<Load> + Send + Sync> {
    let dispatcher = dispatcher.clone();
    Box::new(move || dispatcher.dump().leaves.iter().map(Load::from).collect())
}

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
