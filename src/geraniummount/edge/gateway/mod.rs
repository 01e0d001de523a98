//! Callers' requests by host and path: one thread with one event loop.
//!
//! A request goes through here in five steps, each in a module of its own:
//! [`caller`] reads it, [`admit`] finds its route and plans it, `core::call`
//! decides where it goes, [`pool`] and [`leaf`] carry it to leaves and back,
//! and [`answer`] writes the answer. Beside that way, [`load`] turns queries away
//! while leaves can't keep up, [`reach`] notices that this VM is cut off, and
//! [`stop`] ends it without cutting a request off. [`watch`] keeps routes and leaves up to
//! date from the platform's store on threads of its own; [`probe`] tells the
//! platform whether this process takes connections, and serves metrics.
//!
//! One thread, as a VM has a share of one core only, and as each hand-over
//! between threads would cost a wake-up. Nothing in the loop blocks.

mod admit;
mod answer;
mod caller;
mod calls;
mod counts;
mod leaf;
mod load;
mod options;
mod pool;
mod probe;
mod reach;
mod socket;
mod stop;
mod timers;
mod token;
mod update;
mod watch;

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, mpsc};
use std::time::Instant;

use log::warn;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slab::Slab;

pub use self::options::Options;
pub use self::update::{Sender, Update};

use self::calls::CallState;
use self::counts::Counts;
use self::leaf::Leaf;
use self::load::Load;
use self::pool::Pool;
use self::probe::Probe;
use self::timers::{Timer, Timers};
use self::token::Owner;
use crate::core::call::Reply;
use crate::core::isolation::Isolation;
use crate::core::placement::Placement;
use crate::core::route::{Split, Table};
use crate::prelude::*;

/// Events that one turn of the loop takes at most.
const EVENTS: usize = 256;

/// Running gateway.
pub struct Gateway {
    options: Options,
    poll: Poll,
    updates: mpsc::Receiver<Update>,
    sender: Sender,
    callers_listener: Option<TcpListener>,
    ready_listener: TcpListener,
    metrics_listener: Option<TcpListener>,
    callers: Slab<caller::Caller>,
    leaves: Slab<Leaf>,
    probes: Slab<Probe>,
    calls: Slab<CallState>,
    /// Sorted by key.
    pools: Vec<Pool>,
    attempts: calls::Attempts,
    timers: Timers,
    placement: Placement,
    table: Option<Arc<Table>>,
    leaves_known: bool,
    /// Leaves that are registered, and those of them that leave.
    registered: (usize, usize),
    split: Split,
    counts: Counts,
    isolation: Isolation,
    /// Sorted by the first shard.
    loads: Vec<Load>,
    /// Connection to the store by which this VM sees whether it is cut off.
    check: Option<(TcpStream, Instant)>,
    stop: Option<stop::Stop>,
    next_serial: u64,
    /// Ends of attempts that their requests have not heard of.
    delivered: VecDeque<(AttemptId, Reply)>,
    /// Callers whose answer has been written; what they sent ahead is due.
    answered: Vec<usize>,
    scratch: Vec<u8>,
    now: Instant,
}

impl Gateway {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// An address is taken or is not one of this machine.
    pub fn bind(options: Options) -> io::Result<Gateway> {
        let poll = Poll::new()?;
        let (sender, updates) = update::channel(&poll)?;
        let mut rng = SmallRng::seed_from_u64(rand::random());
        let split = Split::new(rng.random_range(0.0..1.0));
        let metrics = options.metrics.map(TcpListener::bind).transpose()?;
        let mut gateway = Gateway {
            callers_listener: Some(TcpListener::bind(options.callers)?),
            ready_listener: TcpListener::bind(options.ready)?,
            metrics_listener: metrics,
            placement: Placement::new(options.domain.clone(), options.start, rng),
            options,
            poll,
            updates,
            sender,
            callers: Slab::new(),
            leaves: Slab::new(),
            probes: Slab::new(),
            calls: Slab::new(),
            pools: Vec::new(),
            attempts: calls::Attempts::default(),
            timers: Timers::default(),
            table: None,
            leaves_known: false,
            registered: (0, 0),
            split,
            counts: Counts::default(),
            isolation: Isolation::default(),
            loads: Vec::new(),
            check: None,
            stop: None,
            next_serial: 0,
            delivered: VecDeque::new(),
            answered: Vec::new(),
            scratch: vec![0; socket::READ_BYTES],
            now: Instant::now(),
        };
        gateway.register_listeners()?;
        Ok(gateway)
    }

    /// Returns where updates can be sent.
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Runs until it was told to stop and all requests are answered, or the
    /// time for that is over. Returns whether all were answered.
    ///
    /// # Errors
    ///
    /// The operating system refuses to wait for events.
    pub fn run(mut self) -> io::Result<bool> {
        watch::start(&self.options, &self.sender)?;
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let wait = self.timers.wait(Instant::now());
            match self.poll.poll(&mut events, wait) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => self.now = Instant::now(),
            }
            for event in &events {
                self.on_event(event);
            }
            self.settle();
            self.fire_timers();
            self.settle();
            if let Some(finished) = self.finished() {
                return Ok(finished);
            }
        }
    }

    fn register_listeners(&mut self) -> io::Result<()> {
        let registry = self.poll.registry();
        if let Some(listener) = &mut self.callers_listener {
            registry.register(listener, Owner::Callers.token(), Interest::READABLE)?;
        }
        let ready = &mut self.ready_listener;
        registry.register(ready, Owner::Ready.token(), Interest::READABLE)?;
        if let Some(listener) = &mut self.metrics_listener {
            registry.register(listener, Owner::Metrics.token(), Interest::READABLE)?;
        }
        Ok(())
    }

    fn on_event(&mut self, event: &Event) {
        let closed = event.is_read_closed() || event.is_error();
        match Owner::of(event.token()) {
            Owner::Updates => self.take_updates(),
            Owner::Callers => self.accept_callers(),
            Owner::Ready | Owner::Metrics => self.accept_probes(),
            Owner::Caller(key) => {
                if event.is_writable() {
                    self.flush_caller(key);
                }
                if event.is_readable() || closed {
                    self.read_caller(key, closed);
                }
            }
            Owner::Leaf(key) => {
                if event.is_writable() {
                    self.flush_leaf(key);
                }
                if event.is_readable() || closed {
                    self.read_leaf(key, closed);
                }
            }
            Owner::Probe(key) => self.serve_probe(key),
            Owner::Check => self.on_check_event(),
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::Call(key, serial) => self.tick_call(key, serial),
                Timer::Caller(key, serial) => self.tick_caller(key, serial),
                Timer::Leaf(key, serial) => self.tick_leaf(key, serial),
                Timer::Lapse => self.drop_lapsed(),
                Timer::Check => self.tick_check(),
                Timer::Stop => self.tick_stop(),
            }
        }
    }

    fn serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.next_serial
    }

    fn take_updates(&mut self) {
        while let Ok(update) = self.updates.try_recv() {
            match update {
                Update::Table(table) => self.take_table(table),
                Update::Leaves(instances) => self.take_leaves(&instances),
                Update::Stop => self.begin_stop(),
            }
        }
    }

    fn is_ready(&self) -> bool {
        let serves = self.table.is_some() && self.leaves_known;
        serves && self.stop.is_none() && !self.isolation.is_isolated()
    }

    fn accept_failed(&self, what: &str, error: &io::Error) {
        warn!("accept what={what} error=\"{error}\"");
    }
}
