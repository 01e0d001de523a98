//! Implements the RPC interface that this VM provides to its peers (the other VMs).
//!
//! A holding states which snapshots (versions of the index) a leaf holds of one shard. The owner of
//! a leaf is the VM that holds the leaf's queue and knows its holdings.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::join_all;

use super::{ClaimRequest, Hooks, wire};
use crate::edge::dispatcher::Dispatcher;
use crate::edge::reply_to::ReplyTo;
use crate::peer_capnp::peer;
use crate::prelude::*;

/// Interval of the check whether all leaves that this VM owns have reported their holdings.
const HOLDINGS_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum wait for holdings, whatever time the peer allows.
const MAX_HOLDINGS_WAIT: Duration = Duration::from_secs(10);

/// RPC service for peers.
pub struct PeerService {
    dispatcher: Dispatcher,
    hooks: Arc<Hooks>,
    /// Number of parts that are not answered yet.
    in_flight: Arc<AtomicUsize>,
}

impl PeerService {
    /// Makes a service that passes parts to a dispatcher. `in_flight` counts the
    /// parts that are not answered yet.
    pub fn new(
        dispatcher: Dispatcher,
        hooks: Arc<Hooks>,
        in_flight: Arc<AtomicUsize>,
    ) -> PeerService {
        PeerService {
            dispatcher,
            hooks,
            in_flight,
        }
    }

    /// Counts a part as in flight until the returned guard is dropped.
    fn track(&self, part: &Part) -> PartGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        PartGuard {
            dispatcher: self.dispatcher.clone(),
            attempt: part.attempt,
            leaf: part.leaf.clone(),
            is_answered: false,
            in_flight: Arc::clone(&self.in_flight),
        }
    }
}

/// Cancels a part if its peer disconnects or drops the call. In that case, the
/// future of the call is dropped before the outcome is received.
struct PartGuard {
    dispatcher: Dispatcher,
    attempt: AttemptId,
    leaf: LeafName,
    /// Whether the outcome was received.
    is_answered: bool,
    /// Number of parts that are not answered yet, of which this is one.
    in_flight: Arc<AtomicUsize>,
}

impl Drop for PartGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        if !self.is_answered {
            self.dispatcher.cancel(self.attempt, &self.leaf);
        }
    }
}

impl peer::Server for PeerService {
    async fn dispatch(
        self: Rc<Self>,
        params: peer::DispatchParams,
        mut results: peer::DispatchResults,
    ) -> Result<(), capnp::Error> {
        let part = wire::read_part(params.get()?.get_part()?, Instant::now())?;
        let mut guard = self.track(&part);
        let (sender, receiver) = oneshot::channel();
        self.dispatcher.dispatch(part, ReplyTo::Peer(sender));
        let outcome = receiver.await;
        guard.is_answered = true;
        let outcome = outcome.map_err(|_| capnp::Error::failed("no outcome".to_owned()))?;
        wire::write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: peer::CancelParams,
        _results: peer::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let leaf = params.get_leaf()?.to_string()?;
        self.dispatcher.cancel(params.get_attempt(), &leaf);
        Ok(())
    }

    async fn holdings(
        self: Rc<Self>,
        params: peer::HoldingsParams,
        mut results: peer::HoldingsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let name = params.get_service()?.to_str()?;
        let Some(service) = self.dispatcher.service(name) else {
            return Ok(());
        };
        let wait = Duration::from_micros(params.get_wait_us()).min(MAX_HOLDINGS_WAIT);
        let deadline = Instant::now() + wait;
        // A peer in another failure domain does not know the owners in this one,
        // and allows a hop that lets this VM ask them.
        let relayed = match params.get_hops_left() {
            0 => Vec::new(),
            _ => self.dispatcher.ask_owners(&service, wait),
        };
        let mut holdings = loop {
            let (holdings, is_complete) = self.dispatcher.local_holdings(&service);
            if is_complete || Instant::now() >= deadline {
                break holdings;
            }
            Timer::after(HOLDINGS_POLL_INTERVAL).await;
        };
        holdings.extend(join_all(relayed).await.into_iter().flatten().flatten());
        let mut list = results.get().init_holdings(holdings.len() as u32);
        for (index, holding) in holdings.iter().enumerate() {
            wire::write_holding(holding, list.reborrow().get(index as u32));
        }
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: peer::ChangesParams,
        mut results: peer::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let changes = (self.hooks.changes)(params.get()?.get_since());
        changes.write(results.get());
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: peer::StatusParams,
        mut results: peer::StatusResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_status(&(self.hooks.status)());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let request = ClaimRequest::read(params.get()?.get_claim()?);
        let reply = self.hooks.claims.serve(request).await;
        reply.write(results.get());
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}
