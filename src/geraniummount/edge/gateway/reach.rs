//! Checks whether the platform's store can be reached, where this VM suspects
//! that it is cut off.

use std::time::Duration;

use log::warn;
use mio::Interest;
use mio::net::TcpStream;

use super::Gateway;
use super::calls::CallState;
use super::timers::Timer;
use super::token::Owner;

/// Longest wait for a connection; then the store counts as out of reach.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause until the next look, while cut off.
const NEXT_LOOK: Duration = Duration::from_millis(250);

impl Gateway {
    /// Starts a check if one is wanted.
    pub(super) fn look_around(&mut self) {
        if self.check.is_some() || !self.isolation.begin_check_if_due(self.now) {
            return;
        }
        let opened = TcpStream::connect(self.options.store).and_then(|mut stream| {
            let token = Owner::Check.token();
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll
                .registry()
                .register(&mut stream, token, interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                self.check = Some((stream, self.now));
                self.timers.add(self.now + CHECK_TIMEOUT, Timer::Check);
            }
            Err(_) => self.end_check(false),
        }
    }

    /// Notes the attempts in other domains that have no answer though a query's
    /// answer is due, where too little of it is in.
    pub(super) fn note_unanswered(&mut self, index: usize) {
        let state = &mut self.calls[index];
        if !state.call.lacks_parts() {
            return;
        }
        state.unserved_when_due = true;
        let placement = &self.placement;
        let unanswered = state.call.unanswered_attempts();
        let silent =
            unanswered.filter(|(service, key)| placement.is_in_other_domain(service, *key));
        let silent = u32::try_from(silent.count()).unwrap_or(u32::MAX);
        self.isolation.on_overdue(silent);
        self.look_around();
    }

    /// Notes whether a request was served, at its end; one that was not counts
    /// once.
    pub(super) fn note_served(&mut self, state: &CallState, served: bool) {
        if served || !state.unserved_when_due {
            self.isolation.on_request(served);
        }
        self.look_around();
    }

    /// The check's connection has opened or failed.
    pub(super) fn on_check_event(&mut self) {
        let Some((stream, _)) = &self.check else {
            return;
        };
        let failed = stream.take_error().map_or(true, |error| error.is_some());
        if failed {
            self.end_check(false);
        } else if stream.peer_addr().is_ok() {
            self.end_check(true);
        }
    }

    pub(super) fn tick_check(&mut self) {
        let overdue = |since| self.now.saturating_duration_since(since) >= CHECK_TIMEOUT;
        match self.check {
            Some((_, since)) if overdue(since) => self.end_check(false),
            Some(_) => {}
            None => self.look_around(),
        }
    }

    fn end_check(&mut self, reached: bool) {
        self.check = None;
        if self.isolation.on_check(reached) {
            warn!("isolation isolated={} store_reached={reached}", !reached);
        }
        if !reached {
            self.timers.add(self.now + NEXT_LOOK, Timer::Check);
        }
    }
}
