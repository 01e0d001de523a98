//! Decides when a VM tells the other VMs its rate of requests, and when it reads theirs.
//!
//! Load pattern: leaves name limits for all VMs together, and VMs that lack room within their parts
//! begin to exchange their rates within the same seconds, up to hundreds of them. Others join or
//! restart later. Every call on the platform's store has a price, and the rates change slowly. A VM
//! therefore writes its rate once, and again only after a large change; it reads often at first,
//! while others join, and at the lower price of outdated data later. Its entry is held by a lease,
//! so that a VM that is gone or paused is soon not counted any more.
//!
//! All entries may vanish at once, when the store was away or has come back from an older copy, and
//! return only with each VM's next renewal. The largest sum that was read within the time to live of
//! a lease therefore counts.

use std::time::{Duration, Instant};

use super::{Share, Step};
use crate::core::store::freshness::Freshness;

/// Time to live of the lease that holds the entry of a VM.
pub const LEASE_TTL: Duration = Duration::from_secs(12);

/// Time for which a larger sum of the rates of the other VMs counts after a smaller one was read.
const MEMORY: Duration = LEASE_TTL;

/// Interval between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Time from the first read until the others that began at the same time have joined.
const JOINING_TIME: Duration = Duration::from_secs(2);

/// Time from the first read for which data must be current. Outdated data may lack the entries of
/// those who joined at the same time.
const CURRENT_READS_TIME: Duration = Duration::from_secs(8);

/// Interval between two reads while others join.
const JOINING_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between two reads later.
const READ_INTERVAL: Duration = Duration::from_secs(4);

/// The rate is written again once it differs by more than this factor from the one last written.
const MAX_RATE_RATIO: f64 = 1.5;

/// Minimum rate of a VM in requests per second. A VM that has just started has hardly any.
const MIN_RATE: f64 = 0.05;

/// Delay after a failed call.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// State of the exchange.
#[derive(Debug)]
pub struct Exchange {
    /// Rate that was written last; `None` without an entry.
    written: Option<f64>,
    joined_at: Option<Instant>,
    renew_at: Instant,
    read_at: Instant,
    /// Sums of the rates of the other VMs that were read within [`MEMORY`].
    sums: Vec<(Instant, f64)>,
    /// Until when no call is made, after a failure.
    paused_until: Instant,
}

impl Exchange {
    /// Creates the state of a VM without an entry.
    pub fn new(now: Instant) -> Exchange {
        Exchange {
            written: None,
            joined_at: None,
            renew_at: now,
            read_at: now,
            sums: Vec::new(),
            paused_until: now,
        }
    }

    /// Returns what to do next; `rate` is this VM's rate in requests per second.
    pub fn next(&self, rate: f64, now: Instant) -> Step {
        let rate = rate.max(MIN_RATE);
        if now < self.paused_until {
            return Step::Wait(self.paused_until - now);
        }
        let Some(written) = self.written else {
            return Step::Join(rate);
        };
        if now >= self.renew_at {
            return Step::Renew;
        }
        if now >= self.read_at {
            return Step::Read(self.freshness(now));
        }
        let ratio = rate / written;
        if !(1.0 / MAX_RATE_RATIO..=MAX_RATE_RATIO).contains(&ratio) {
            return Step::Write(rate);
        }
        Step::Wait(self.renew_at.min(self.read_at) - now)
    }

    /// Records that the entry was written with a rate. The lease is new if the VM had no entry.
    pub fn on_written(&mut self, rate: f64, now: Instant) {
        if self.written.is_none() {
            self.renew_at = now + RENEWAL_INTERVAL;
            self.read_at = now;
            self.joined_at.get_or_insert(now);
        }
        self.written = Some(rate);
    }

    /// Records that the lease was renewed.
    pub fn on_renewed(&mut self, now: Instant) {
        self.renew_at = now + RENEWAL_INTERVAL;
    }

    /// Records that the lease has ended, and the entry with it.
    pub fn on_lease_ended(&mut self) {
        self.written = None;
    }

    /// Records that the entries of the other VMs were read, and returns this VM's share of all
    /// requests. `others` is the sum of the rates of the other VMs.
    pub fn on_read(&mut self, rate: f64, others: f64, now: Instant) -> Share {
        let interval = match self.is_joining(now) {
            true => JOINING_READ_INTERVAL,
            false => READ_INTERVAL,
        };
        self.read_at = now + interval;
        self.sums.push((now, others));
        self.sums
            .retain(|(read_at, _)| now.saturating_duration_since(*read_at) <= MEMORY);
        let others = self.sums.iter().map(|(_, sum)| *sum).fold(0.0, f64::max);
        let rate = rate.max(MIN_RATE);
        Share::Known {
            share: rate / (rate + others),
            as_of: now,
            is_settled: !self.is_joining(now),
        }
    }

    /// Records a failed call, after which no call is made for a while.
    pub fn on_failure(&mut self, now: Instant) {
        self.paused_until = now + FAILURE_DELAY;
    }

    fn freshness(&self, now: Instant) -> Freshness {
        match self.time_since_joining(now) < CURRENT_READS_TIME {
            true => Freshness::Current,
            false => Freshness::Outdated,
        }
    }

    fn is_joining(&self, now: Instant) -> bool {
        self.time_since_joining(now) < JOINING_TIME
    }

    fn time_since_joining(&self, now: Instant) -> Duration {
        let joined_at = self.joined_at.unwrap_or(now);
        now.saturating_duration_since(joined_at)
    }
}
