//! What this VM does for its peers.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::join_all;

use super::{Hooks, Wanted, wire};
use crate::edge::dispatcher::Dispatcher;
use crate::edge::reply_to::ReplyTo;
use crate::peer_capnp::peer;
use crate::prelude::*;

const HOLDINGS_PERIOD: Duration = Duration::from_millis(2);
const LONGEST_HOLDINGS_WAIT: Duration = Duration::from_secs(10);

/// Implementation of the peers' interface.
pub struct Service {
    dispatcher: Dispatcher,
    hooks: Arc<Hooks>,
    calls: Arc<AtomicUsize>,
}

impl Service {
    /// Serves peers from a dispatcher; `calls` counts the parts not answered.
    pub fn new(dispatcher: Dispatcher, hooks: Arc<Hooks>, calls: Arc<AtomicUsize>) -> Service {
        Service {
            dispatcher,
            hooks,
            calls,
        }
    }

    fn begin(&self, part: &Part) -> Call {
        self.calls.fetch_add(1, Ordering::AcqRel);
        Call {
            dispatcher: self.dispatcher.clone(),
            attempt: part.attempt,
            leaf: part.leaf.clone(),
            ended: false,
            calls: Arc::clone(&self.calls),
        }
    }
}

/// Cancels a part when the peer is gone or wants it no longer: the call's
/// future is then dropped before its end.
struct Call {
    dispatcher: Dispatcher,
    attempt: AttemptId,
    leaf: LeafName,
    ended: bool,
    calls: Arc<AtomicUsize>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.calls.fetch_sub(1, Ordering::AcqRel);
        if !self.ended {
            self.dispatcher.cancel(self.attempt, &self.leaf);
        }
    }
}

impl peer::Server for Service {
    async fn dispatch(
        self: Rc<Self>,
        params: peer::DispatchParams,
        mut results: peer::DispatchResults,
    ) -> Result<(), capnp::Error> {
        let part = wire::read_part(params.get()?.get_part()?, Instant::now())?;
        let mut call = self.begin(&part);
        let (sender, receiver) = oneshot::channel();
        self.dispatcher.dispatch(part, ReplyTo::Peer(sender));
        let outcome = receiver.await;
        call.ended = true;
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
        let wait = Duration::from_micros(params.get_wait_us()).min(LONGEST_HOLDINGS_WAIT);
        let deadline = Instant::now() + wait;
        // A VM of another failure domain does not know the owners here.
        let relayed = match params.get_hops_left() {
            0 => Vec::new(),
            _ => self.dispatcher.ask_owners(&service, wait),
        };
        let mut holdings = loop {
            let (holdings, whole) = self.dispatcher.local_holdings(&service);
            if whole || Instant::now() >= deadline {
                break holdings;
            }
            Timer::after(HOLDINGS_PERIOD).await;
        };
        holdings.extend(join_all(relayed).await.into_iter().flatten().flatten());
        let mut list = results.get().init_holdings(holdings.len() as u32);
        for (place, holding) in holdings.iter().enumerate() {
            wire::write_holding(holding, list.reborrow().get(place as u32));
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
        let wanted = Wanted::read(params.get()?.get_claim()?);
        let claimed = self.hooks.claims.serve(wanted).await;
        claimed.write(results.get());
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
