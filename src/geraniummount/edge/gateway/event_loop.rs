//! The event loop: waits for events, timers and updates, and passes each to its handler.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use mio::event::Event;
use mio::{Events, Interest};

use super::caller::Origin;
use super::timers::Timer;
use super::token::EventSource;
use super::{Gateway, Update, stall, watch};

/// Maximum number of events that are handled per iteration of the event loop.
const MAX_EVENTS: usize = 256;

/// Maximum time for which the event loop waits for events. A stall during a longer wait would not be
/// noticed.
const MAX_WAIT: Duration = Duration::from_secs(1);

impl Gateway {
    /// Runs until a stop was requested and all requests are answered, or until the drain time is
    /// over. Returns whether all requests were answered.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread that watches the store cannot be started or polling for
    /// events fails.
    pub fn run(mut self) -> io::Result<bool> {
        self.start_key_reader()?;
        watch::start(&self.options, &self.sender, &self.metrics.gauges.is_behind)?;
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            self.iteration.end();
            let wait = match self.postponed_callers.is_empty() {
                true => self.timers.time_until_next(Instant::now()),
                false => Some(Duration::ZERO),
            };
            let wait = wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT));
            self.wait_for_events(&mut events, wait)?;
            self.now = Instant::now();
            self.iteration
                .begin(self.now, events.iter().count() >= MAX_EVENTS);
            if self.stall.on_iteration(wait, self.now) {
                self.receive_late_updates();
            }
            for event in &events {
                self.on_event(event);
            }
            self.process_pending();
            self.advance_postponed();
            self.fire_timers();
            if let Some(finished) = self.stop_result() {
                return Ok(finished);
            }
        }
    }

    /// Waits for events. A wait that a signal interrupts, such as that which ends a freeze of the process,
    /// reports none, although some may have come; they are fetched then.
    fn wait_for_events(&mut self, events: &mut Events, mut wait: Duration) -> io::Result<()> {
        loop {
            match self.poll.poll(events, Some(wait)) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => wait = Duration::ZERO,
                polled => return polled,
            }
        }
    }

    /// Lets the thread that watches the store receive what was written while this VM was stalled.
    /// Requests that have arrived meanwhile would otherwise be sent to leaves that have been
    /// evacuated for longer than the bound permits.
    fn receive_late_updates(&mut self) {
        thread::sleep(stall::SETTLING_TIME);
        self.receive_updates();
        self.now = Instant::now();
    }

    pub(super) fn register_listeners(&mut self) -> io::Result<()> {
        let registry = self.poll.registry();
        if let Some(listener) = &mut self.callers_listener {
            registry.register(
                listener,
                EventSource::CallersListener.token(),
                Interest::READABLE,
            )?;
        }
        let ready = &mut self.ready_listener;
        registry.register(
            ready,
            EventSource::ReadyListener.token(),
            Interest::READABLE,
        )?;
        if let Some(listener) = &mut self.metrics_listener {
            registry.register(
                listener,
                EventSource::MetricsListener.token(),
                Interest::READABLE,
            )?;
        }
        if let Some(listener) = &mut self.delegation.listener {
            registry.register(
                listener,
                EventSource::PeersListener.token(),
                Interest::READABLE,
            )?;
        }
        self.datagrams.register(self.poll.registry())
    }

    fn on_event(&mut self, event: &Event) {
        let closed = event.is_read_closed() || event.is_error();
        match EventSource::from_token(event.token()) {
            EventSource::Updates => self.receive_updates(),
            EventSource::CallersListener => self.accept(Origin::Caller),
            EventSource::PeersListener => self.accept(Origin::Peer),
            EventSource::Datagrams => self.receive_datagrams(),
            EventSource::ReadyListener | EventSource::MetricsListener => self.accept_probes(),
            EventSource::Caller(key) => {
                if event.is_writable() {
                    self.flush_caller(key);
                }
                if event.is_readable() || closed {
                    self.read_caller(key, closed);
                }
            }
            EventSource::Leaf(key) => {
                if event.is_writable() {
                    self.flush_leaf(key);
                }
                if event.is_readable() || closed {
                    self.read_leaf(key, closed);
                }
                self.settle_leaf(key);
            }
            EventSource::Peer(key) => {
                if event.is_writable() {
                    self.flush_peer(key);
                }
                if event.is_readable() || closed {
                    self.read_peer(key, closed);
                }
                self.settle_peer(key);
            }
            EventSource::Probe(key) => self.serve_probe(key),
            EventSource::StoreCheck => self.on_check_event(),
        }
    }

    /// Handles the timers that were due when the events of this iteration were fetched. What was on its
    /// way before a timer was due has been read then: a timer that becomes due later in the iteration,
    /// however long that takes, is left for the next one. What one handler reads is processed before
    /// the next timer.
    fn fire_timers(&mut self) {
        if !self.iteration.has_fetched_all() {
            return;
        }
        while let Some(timer) = self.timers.pop(self.iteration.began_at()) {
            self.on_timer(timer);
            self.process_pending();
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Call(key, serial) => self.on_call_timer(key, serial),
            Timer::Caller(key, serial) => self.on_caller_timer(key, serial),
            Timer::Leaf(key, serial) => self.on_leaf_timer(key, serial),
            Timer::Delegated(key, serial) => self.on_delegated_timer(key, serial),
            Timer::Peer(key, serial) => self.on_peer_timer(key, serial),
            Timer::HeldRequests => self.admit_held(),
            Timer::Unregistered => self.remove_unregistered(),
            Timer::Fleet => self.check_fleet(),
            Timer::Quarantine => self.check_quarantine(),
            Timer::Quota => self.on_quota_timer(),
            Timer::Trials => self.end_overdue_trials(),
            Timer::Keys => self.on_keys_timer(),
            Timer::LeafLinks => self.on_links_timer(),
            Timer::StoreCheck => self.on_check_timer(),
            Timer::Stop => self.on_stop_timer(),
        }
    }

    /// Brings the cached time up to date before a request is written. What is decided after that in
    /// the same iteration of the event loop uses the same time.
    pub(super) fn read_clock(&mut self) {
        self.now = self.now.max((self.clock)());
    }

    fn receive_updates(&mut self) {
        while let Some(update) = self.updates.next() {
            match update {
                Update::Table(table) => self.apply_routes(table),
                Update::KeysRequired => self.routes.require_keys(),
                Update::Leaves(instances, era) => self.apply_leaves(&instances, era),
                Update::Evacuated(domains) => self.apply_evacuations(domains),
                Update::FleetShare(share) => self.apply_fleet_share(share),
                Update::Peers(peers) => self.apply_peers(peers),
                Update::Quarantine(records) => self.merge_quarantine(records),
                Update::Trial(fingerprint, is_granted) => self.on_trial(fingerprint, is_granted),
                Update::Keys(event) => self.on_keys_event(event),
                Update::Stop => self.begin_stop(),
            }
        }
    }
}
