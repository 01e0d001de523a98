//! Limit on the requests that a leaf takes from all VMs together, and this VM's part of it.
//!
//! Load pattern: a leaf short of capacity names a fraction of the requests that it usually gets, for
//! some seconds. Seven to hundreds of VMs send it requests, and each knows only its own. A fixed part of
//! the limit for each VM could be less than a single request, while a VM that takes the limit for
//! its own lets the leaf get a multiple of it.
//!
//! Each VM therefore accrues an allowance at the rate of its part of the limit. A VM whose allowance
//! is below one request adds up the allowances of its attempts, from a random start, and sends the
//! attempt with which the sum reaches one. Many small parts so add up to the limit, and hardly ever
//! fall together. The part follows from this VM's share in the requests of all VMs
//! ([`Share`]). As long as the share is unknown, it is a fraction of what the VM would usually
//! send to the leaf, which adds up over the VMs whatever their number.

mod basis;
mod change;
mod cold;
mod portion;

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use super::notice::NamedLimit;
use crate::core::fleet::Share;

pub(super) use self::basis::Basis;
pub use self::change::{LimitChange, LimitedAttempts};
pub(super) use self::portion::{Need, Portion};

/// Share of the limit that the VMs use if each knows its part.
const USED_SHARE: f64 = 0.9;

/// Share of its usual requests that a VM sends to a leaf with a limit while its part is unknown. The
/// leaf must not get too much even if it limits itself to a tenth of its usual requests.
const SHARE_OF_USUAL: f64 = 0.15;

/// Maximum share of a limit that a VM uses while its part is unknown. It matters if few VMs send many
/// requests and the limit is a small fraction of them.
const MAX_SHARE_OF_LIMIT: f64 = 1.0 / 8.0;

/// Share of the first attempts that ask for a permit although another leaf can take them, while this
/// VM's part is unknown.
const ASKING_SHARE: f64 = 0.1;

/// Minimum limit that is assumed, in requests per second. Without any request, no VM would learn
/// that the limit has ended.
const MIN_PER_SECOND: f64 = 0.25;

/// Time in which the maximum allowance accrues if that is more than one request.
const ACCRUAL_TIME: Duration = Duration::from_secs(1);

/// Time in which the maximum allowance accrues if that is less than one request. It is long enough
/// for a VM with few requests.
const MAX_ACCRUAL_TIME: Duration = Duration::from_secs(4);

/// Share of the maximum allowance that first attempts leave for retries and hedges, which no other
/// leaf may be able to take.
const RESERVED_SHARE: f64 = 0.5;

/// Range of the time after which a limit that the leaf has not named again is not in force any more.
/// A VM that sends the leaf hardly any requests would otherwise never learn that the limit has
/// ended. Each VM draws its own time, as the requests of all VMs would otherwise come together.
const MAX_AGE_RANGE_SECS: Range<f64> = 60.0..180.0;

/// Maximum time that a caller is told to wait for an allowance. Other VMs have allowances of their
/// own.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A limit that a leaf named and has not ended, or that holds while it is cold.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    basis: Basis,
    /// Number of requests per second that the leaf takes from all VMs together.
    per_second: f64,
    /// When the leaf named the limit last.
    named_at: Instant,
    /// Attempts of this VM at the leaf since the limit began.
    attempts: LimitedAttempts,
    /// Number of requests that this VM may send to the leaf at `accrued_at`.
    allowance: f64,
    accrued_at: Instant,
    /// Sum of the allowances below one request that attempts have used up, from a random start;
    /// reduced by one with each attempt that it permits.
    offered: f64,
    /// Time after which the limit is not in force any more unless the leaf names it again.
    max_age: Duration,
    /// Since when attempts have asked for permits without a long pause, and when one did last.
    asked_since: Instant,
    asked_at: Instant,
}

impl Limit {
    pub(super) fn new(per_second: f64, basis: Basis, rng: &mut SmallRng, now: Instant) -> Limit {
        Limit {
            basis,
            per_second,
            named_at: now,
            attempts: LimitedAttempts::default(),
            allowance: 0.0,
            accrued_at: now,
            offered: rng.random_range(0.0..1.0),
            max_age: Duration::from_secs_f64(rng.random_range(MAX_AGE_RANGE_SECS)),
            asked_since: now,
            asked_at: now,
        }
    }

    /// Updates the limit of a leaf by what a response to a request that was sent at `sent_at` says.
    ///
    /// A response to a request that is older than the last naming says nothing about the end of the
    /// limit, as responses on different connections may overtake each other.
    pub(super) fn update(
        limit: &mut Option<Limit>,
        named: NamedLimit,
        sent_at: Instant,
        rng: &mut SmallRng,
        now: Instant,
    ) -> LimitChange {
        match (named, &mut *limit) {
            (NamedLimit::PerSecond(per_second), Some(known)) => {
                known.per_second = per_second;
                known.named_at = now;
                LimitChange::Unchanged
            }
            (NamedLimit::PerSecond(per_second), None) => {
                *limit = Some(Limit::new(per_second, Basis::Named, rng, now));
                LimitChange::Began(per_second)
            }
            (NamedLimit::Absent, Some(known)) if sent_at >= known.named_at => {
                let attempts = known.attempts;
                *limit = None;
                LimitChange::Ended(attempts)
            }
            (NamedLimit::Absent | NamedLimit::Unreadable, _) => LimitChange::Unchanged,
        }
    }

    /// Sets the number of requests per second that the leaf takes from all VMs together.
    pub(super) fn set_per_second(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Counts an attempt of this VM at the leaf.
    pub(super) fn count(&mut self, is_extra: bool) {
        match is_extra {
            true => self.attempts.extra += 1,
            false => self.attempts.first += 1,
        }
    }

    /// Returns whether the limit still holds, as the leaf has named it recently.
    pub(super) fn is_in_force(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.named_at) < self.max_age
    }

    /// Returns whether this VM may send an attempt to the leaf, and reduces the allowance if it
    /// does. Asking uses up an allowance below one request.
    pub(super) fn permits(
        &mut self,
        portion: Portion,
        need: Need,
        rng: &mut SmallRng,
        now: Instant,
    ) -> bool {
        self.record_asked(now);
        let rate = self.rate(portion, now);
        self.accrue(rate, now);
        let is_reserved = self.allowance < self.max_allowance(rate, now) * RESERVED_SHARE;
        if need == Need::First && (is_reserved || !may_ask_first(portion.share, rng)) {
            return false;
        }
        if self.allowance >= 1.0 {
            self.allowance -= 1.0;
            return true;
        }
        self.offered += std::mem::take(&mut self.allowance);
        let is_permitted = self.offered >= 1.0;
        if is_permitted {
            self.offered -= 1.0;
        }
        is_permitted
    }

    /// Returns the time until this VM may send a request to the leaf for sure, within bounds.
    pub(super) fn wait(&self, portion: Portion, now: Instant) -> Duration {
        let rate = self.rate(portion, now);
        let accrued = rate * now.saturating_duration_since(self.accrued_at).as_secs_f64();
        let lacking = (1.0 - self.allowance - accrued).max(0.0);
        Duration::try_from_secs_f64(lacking / rate).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }

    /// Returns this VM's part of the limit, in requests per second.
    fn rate(&self, portion: Portion, now: Instant) -> f64 {
        if self.basis == Basis::Cold {
            return self.cold_rate(portion, now);
        }
        let limit = self.per_second.max(MIN_PER_SECOND);
        let of_usual = unknown_rate(portion, limit);
        match portion.share {
            Share::Unknown => of_usual,
            Share::Known { share, .. } if portion.share.is_reliable(now) => {
                limit * share * USED_SHARE
            }
            Share::Known { share, .. } => (limit * share * USED_SHARE).min(of_usual),
        }
    }

    fn accrue(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.accrued_at);
        self.accrued_at = now;
        let accrued = self.allowance + rate * elapsed.as_secs_f64();
        self.allowance = accrued.min(self.max_allowance(rate, now));
    }

    /// Returns the maximum allowance of a VM that accrues it at a rate.
    fn max_allowance(&self, rate: f64, now: Instant) -> f64 {
        match self.basis {
            Basis::Named => max_allowance(rate),
            Basis::Cold => self.max_cold_allowance(rate, now),
        }
    }
}

/// Returns the part of a VM that does not know its share in the requests of all VMs.
fn unknown_rate(portion: Portion, limit: f64) -> f64 {
    let of_usual = portion.usual_per_second * SHARE_OF_USUAL;
    of_usual.min(limit * MAX_SHARE_OF_LIMIT)
}

/// Returns whether a first attempt that another leaf can take may ask for a permit. While the share
/// is unknown, most do not, as they only have to show whether the limit still holds.
fn may_ask_first(share: Share, rng: &mut SmallRng) -> bool {
    share != Share::Unknown || rng.random_range(0.0..1.0) < ASKING_SHARE
}

/// Returns the maximum allowance of a VM that accrues it at a rate, at a leaf that names a limit.
fn max_allowance(rate: f64) -> f64 {
    let min = rate * ACCRUAL_TIME.as_secs_f64();
    let max = rate * MAX_ACCRUAL_TIME.as_secs_f64();
    1.0_f64.clamp(min, max)
}
