//! Checks whether the platform's store can be reached, where this VM suspects
//! that it is cut off.

use std::time::Duration;

use log::warn;
use mio::Interest;
use mio::net::TcpStream;

use super::Gateway;
use super::calls::CallState;
use super::timers::Timer;
use super::token::EventSource;

/// Longest wait for a connection; then the store counts as out of reach.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause until the next look, while cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Gateway {
    /// Starts a check if one is wanted.
    pub(super) fn check_store_if_suspected(&mut self) {
        if self.store_check.is_some() || !self.isolation.wants_check(self.now) {
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

    /// Notes the attempts in other domains that have no answer though a query's
    /// answer is due, where too little of it is in.
    pub(super) fn record_unanswered(&mut self, index: usize) {
        let state = &mut self.calls[index];
        if !state.call.lacks_parts() {
            return;
        }
        state.unserved_when_due = true;
        let placement = &self.placement;
        let unanswered = state.call.unanswered();
        let unresponsive = unanswered.filter(|(service, key)| placement.is_far(service, *key));
        let unresponsive = u32::try_from(unresponsive.count()).unwrap_or(u32::MAX);
        self.isolation.on_overdue(unresponsive);
        self.check_store_if_suspected();
    }

    /// Notes whether a request was served, at its end; one that was not counts
    /// once.
    pub(super) fn record_served(&mut self, state: &CallState, served: bool) {
        if served || !state.unserved_when_due {
            self.isolation.on_request(served);
        }
        self.check_store_if_suspected();
    }

    /// The check's connection has opened or failed.
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

    pub(super) fn on_check_timer(&mut self) {
        let overdue = |since| self.now.saturating_duration_since(since) >= CHECK_TIMEOUT;
        match self.store_check {
            Some((_, since)) if overdue(since) => self.finish_check(false),
            Some(_) => {}
            None => self.check_store_if_suspected(),
        }
    }

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
