//! Exchanges rates of requests with the other VMs through the platform's store, while leaves limit
//! the requests of all VMs together and this VM lacks room within its part.
//!
//! A thread makes the calls on the store; it ends once its channel of rates is closed. Nothing
//! depends on it: without an answer of the store, this VM's part of each limit is a fraction of its
//! usual requests.

use std::io;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};

use super::Gateway;
use super::options::Options;
use super::timers::Timer;
use super::update::{Sender, Update};
use crate::core::fleet::{Exchange, LEASE_TTL, Share, Step};
use crate::core::store::freshness::Freshness;
use crate::platform::{self, Error, LeaseId, Store, vm_rate};

/// Interval between two checks whether the rates have to be exchanged.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without lack of room after which the exchange ends.
const END_DELAY: Duration = Duration::from_secs(20);

/// Exchange of rates with the other VMs, as the event loop knows it.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Channel to the thread; `None` while no rates are exchanged.
    rates: Option<mpsc::Sender<f64>>,
    /// When this VM lacked room last.
    lacked_at: Option<Instant>,
    /// Whether the timer of the next check is set.
    is_checking: bool,
}

/// Thread that makes the calls on the store.
struct Exchanger {
    store: Store,
    sender: Sender,
    rates: mpsc::Receiver<f64>,
    /// Key of this VM's entry.
    key: String,
    /// This VM's rate in requests per second.
    rate: f64,
    exchange: Exchange,
    /// Lease that holds the entry.
    lease: Option<LeaseId>,
    /// Whether the last call failed, so that only the first of several failures is logged as a warning.
    has_failed: bool,
}

impl Gateway {
    /// Begins to check whether the rates have to be exchanged, because a leaf has named a limit.
    pub(super) fn watch_limits(&mut self) {
        if !self.fleet.is_checking {
            self.fleet.is_checking = true;
            self.timers.add(self.now + CHECK_INTERVAL, Timer::Fleet);
        }
    }

    /// Begins, continues or ends the exchange of rates.
    pub(super) fn check_fleet(&mut self) {
        let now = self.now;
        if self.placement.lacks_room(now) {
            self.fleet.lacked_at = Some(now);
        }
        let lacked_at = self.fleet.lacked_at;
        let is_needed = lacked_at.is_some_and(|at| now.saturating_duration_since(at) < END_DELAY);
        if !is_needed {
            self.end_exchange();
        } else if let Err(error) = self.continue_exchange() {
            warn!("fleet event=not-started error={:?}", error.to_string());
        }
        self.fleet.is_checking = is_needed || self.placement.has_limits(now);
        if self.fleet.is_checking {
            self.timers.add(now + CHECK_INTERVAL, Timer::Fleet);
        }
    }

    /// Passes this VM's rate to the thread, which is started if there is none.
    fn continue_exchange(&mut self) -> io::Result<()> {
        let rate = self.request_rate.per_second(self.now);
        if let Some(rates) = &self.fleet.rates
            && rates.send(rate).is_ok()
        {
            return Ok(());
        }
        self.fleet.rates = Some(start(&self.options, &self.sender, rate)?);
        Ok(())
    }

    fn end_exchange(&mut self) {
        if self.fleet.rates.take().is_some() {
            info!("fleet event=left");
            self.placement.set_fleet_share(Share::Unknown);
        }
    }

    /// Applies this VM's share in the requests of all VMs.
    pub(super) fn apply_fleet_share(&mut self, share: Share) {
        if self.fleet.rates.is_some() {
            self.placement.set_fleet_share(share);
        }
    }
}

/// Starts the thread; returns the channel to it.
fn start(options: &Options, sender: &Sender, rate: f64) -> io::Result<mpsc::Sender<f64>> {
    let (rates, receiver) = mpsc::channel();
    let exchanger = Exchanger {
        store: Store::new(options.store),
        sender: sender.clone(),
        rates: receiver,
        key: format!("{}{}", platform::VM_RATE_PREFIX, options.name),
        rate,
        exchange: Exchange::new(Instant::now()),
        lease: None,
        has_failed: false,
    };
    let thread = thread::Builder::new().name("fleet".to_string());
    thread.spawn(move || exchanger.run())?;
    Ok(rates)
}

impl Exchanger {
    fn run(mut self) {
        loop {
            let result = match self.exchange.next(self.rate, Instant::now()) {
                Step::Wait(time) => match self.rates.recv_timeout(time) {
                    Ok(rate) => {
                        self.rate = rate;
                        continue;
                    }
                    Err(RecvTimeoutError::Timeout) => continue,
                    Err(RecvTimeoutError::Disconnected) => return self.leave(),
                },
                Step::Join(rate) => self.join(rate),
                Step::Write(rate) => self.write(rate),
                Step::Renew => self.renew(),
                Step::Read(freshness) => self.read(freshness),
            };
            self.on_result(result);
        }
    }

    fn join(&mut self, rate: f64) -> Result<(), Error> {
        self.lease = Some(self.store.grant_lease(LEASE_TTL)?);
        self.write(rate)?;
        info!("fleet event=joined requests_per_second={rate:.2}");
        Ok(())
    }

    fn write(&mut self, rate: f64) -> Result<(), Error> {
        let lease = self.lease.ok_or(Error::LeaseEnded)?;
        self.store.put(&self.key, &vm_rate::write(rate), lease)?;
        self.exchange.on_written(rate, Instant::now());
        Ok(())
    }

    fn renew(&mut self) -> Result<(), Error> {
        self.store
            .renew_lease(self.lease.ok_or(Error::LeaseEnded)?)?;
        self.exchange.on_renewed(Instant::now());
        Ok(())
    }

    /// Reads the rates of the other VMs, and passes this VM's share to the event loop.
    fn read(&mut self, freshness: Freshness) -> Result<(), Error> {
        let items = self.store.read_all(platform::VM_RATE_PREFIX, freshness)?;
        let others = items.iter().filter(|item| item.key != self.key);
        let rates: Vec<f64> = others
            .filter_map(|item| vm_rate::read(&item.value))
            .collect();
        let others = rates.iter().sum();
        let share = self.exchange.on_read(self.rate, others, Instant::now());
        log::debug!("fleet vms={} share={share:?}", rates.len() + 1);
        // The channel of rates is closed if the event loop has ended.
        let _ = self.sender.send(Update::FleetShare(share));
        Ok(())
    }

    fn on_result(&mut self, result: Result<(), Error>) {
        match result {
            Ok(()) => self.has_failed = false,
            Err(Error::LeaseEnded) => {
                info!("fleet event=lease-ended action=join");
                self.lease = None;
                self.exchange.on_lease_ended();
            }
            Err(error) => {
                if !self.has_failed {
                    warn!("fleet event=call-failed error={:?}", error.to_string());
                }
                self.has_failed = true;
                self.exchange.on_failure(Instant::now());
            }
        }
    }

    /// Removes the entry, so that the others need not wait for the end of the lease.
    fn leave(mut self) {
        if let Some(lease) = self.lease
            && let Err(error) = self.store.end_lease(lease)
        {
            info!(
                "fleet event=lease-left-to-expire error={:?}",
                error.to_string()
            );
        }
    }
}
