//! Checks whether the platform's store is reachable when this VM suspects that it is isolated from
//! the other failure domains. The platform, which the users run, keeps the routes and the leaves'
//! registrations in the store. An attempt is one try to run a part of a request at one leaf.

use std::time::Duration;

use log::warn;
use mio::Interest;
use mio::net::TcpStream;

use super::Gateway;
use super::calls::CallState;
use super::timers::Timer;
use super::token::EventSource;

/// Maximum time to connect to the store, after which it counts as unreachable.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks while the store is unreachable.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Gateway {
    /// Starts a check of the store if isolation is suspected and no check is running.
    pub(super) fn check_store_if_suspected(&mut self) {
        if self.store_check.is_some() || !self.isolation.begin_check_if_due(self.now) {
            return;
        }
        let opened = TcpStream::connect(self.options.store).and_then(|mut stream| {
            let token = EventSource::StoreCheck.token();
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll
                .registry()
                .register(&mut stream, token, interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                self.store_check = Some((stream, self.now));
                self.timers.add(self.now + CHECK_TIMEOUT, Timer::StoreCheck);
            }
            Err(_) => self.finish_check(false),
        }
    }

    /// Records the unanswered attempts at leaves in other failure domains for a query that lacks
    /// the results of too many shards when its answer is due.
    pub(super) fn record_unanswered(&mut self, index: usize) {
        let state = &mut self.calls[index];
        if !state.call.lacks_parts() {
            return;
        }
        state.unserved_when_due = true;
        let placement = &self.placement;
        let unanswered = state.call.unanswered_attempts();
        let unresponsive =
            unanswered.filter(|(service, key)| placement.is_in_other_domain(service, *key));
        let unresponsive = u32::try_from(unresponsive.count()).unwrap_or(u32::MAX);
        self.isolation.on_overdue(unresponsive);
        self.check_store_if_suspected();
    }

    /// Records at the end of a request whether it was served, that is, answered with a status below
    /// 500. A request that was already counted as
    /// unserved when its answer was due is not counted again.
    pub(super) fn record_served(&mut self, state: &CallState, served: bool) {
        if served || !state.unserved_when_due {
            self.isolation.on_request(served);
        }
        self.check_store_if_suspected();
    }

    /// Handles an event of the check's connection, which is established or has failed.
    pub(super) fn on_check_event(&mut self) {
        let Some((stream, _)) = &self.store_check else {
            return;
        };
        let failed = stream.take_error().map_or(true, |error| error.is_some());
        if failed {
            self.finish_check(false);
        } else if stream.peer_addr().is_ok() {
            self.finish_check(true);
        }
    }

    /// Ends a check that timed out, or starts the next one.
    pub(super) fn on_check_timer(&mut self) {
        let overdue = |since| self.now.saturating_duration_since(since) >= CHECK_TIMEOUT;
        match self.store_check {
            Some((_, since)) if overdue(since) => self.finish_check(false),
            Some(_) => {}
            None => self.check_store_if_suspected(),
        }
    }

    /// Records the result of a check, and schedules the next one while the store is unreachable.
    fn finish_check(&mut self, reached: bool) {
        self.store_check = None;
        if self.isolation.on_check(reached) {
            warn!("isolation isolated={} store_reached={reached}", !reached);
        }
        if !reached {
            self.timers
                .add(self.now + CHECK_INTERVAL, Timer::StoreCheck);
        }
    }
}
