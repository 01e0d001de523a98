//! This VM's part of the limit of a cold leaf, which holds in any second.
//!
//! Requests of many VMs reach a leaf at random moments, so a second may contain more of them than
//! the mean. The mean is therefore so low that a Poisson count exceeds the bound about once in
//! 100,000 seconds. Allowances are stored for a short time only: all VMs may turn to cold leaves
//! within the same second, for example when the last warm leaf of a service leaves.
//!
//! Each VM has an equal part, as the number of VMs is known from the store without a call. VMs that
//! have told each other their rates use half of the limit by these instead. The parts then add up to
//! the mean once all VMs have joined, and to one and a half of it while only some have.

use std::time::{Duration, Instant};

use super::{Limit, Portion, unknown_rate};

/// Distance between the mean and the bound, in standard deviations of a Poisson count.
const DEVIATIONS: f64 = 4.5;

/// Divisor of the mean for what VMs have stored when more requests come, and for the time in which
/// only some VMs have told their rates.
const STORED_DIVISOR: f64 = 1.5;

/// Maximum share of the limit that is used if the bound is far above it.
const MAX_USED_SHARE: f64 = 0.9;

/// Time in which the maximum allowance accrues for a VM that has just begun to ask.
const MIN_ACCRUAL_TIME: Duration = Duration::from_millis(250);

/// Time in which the maximum allowance accrues for a VM that has asked for a while.
const MAX_ACCRUAL_TIME: Duration = Duration::from_secs(3);

/// A VM that has not asked for this time counts as one that has just begun to ask.
const MAX_ASK_GAP: Duration = Duration::from_secs(8);

impl Limit {
    /// Records that an attempt asks for a permit.
    pub(super) fn record_asked(&mut self, now: Instant) {
        if now.saturating_duration_since(self.asked_at) > MAX_ASK_GAP {
            self.asked_since = now;
        }
        self.asked_at = now;
    }

    /// Returns this VM's part of the limit of a cold leaf, in requests per second.
    pub(super) fn cold_rate(&self, portion: Portion, now: Instant) -> f64 {
        let tolerance = portion.tolerance;
        let bound = self.per_second * (1.0 + tolerance.share) + tolerance.requests;
        let root = ((DEVIATIONS.powi(2) + 4.0 * bound).sqrt() - DEVIATIONS) / 2.0;
        let mean = (root.powi(2) / STORED_DIVISOR).min(self.per_second * MAX_USED_SHARE);
        let Some(equal) = portion.equal_share else {
            return unknown_rate(portion, mean);
        };
        match portion.reliable_share(now) {
            Some(share) => mean * f64::midpoint(share, equal),
            None if portion.is_fleet_settled => mean * equal,
            None => (mean * equal).min(unknown_rate(portion, mean)),
        }
    }

    /// Returns the maximum allowance of a VM at a cold leaf.
    pub(super) fn max_cold_allowance(&self, rate: f64, now: Instant) -> f64 {
        let asked_for = now.saturating_duration_since(self.asked_since);
        let time = asked_for.clamp(MIN_ACCRUAL_TIME, MAX_ACCRUAL_TIME);
        let min = rate * MIN_ACCRUAL_TIME.as_secs_f64();
        1.0_f64.clamp(min, rate * time.as_secs_f64())
    }
}
