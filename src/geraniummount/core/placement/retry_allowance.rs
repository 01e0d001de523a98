//! Limits the extra attempts (retries and hedges) that this VM sends to one service.
//!
//! Load pattern: the extra attempts of all VMs at a service count together against one total, and
//! no VM knows how many VMs there are. A VM that sends a service many requests may save up a few
//! extra attempts for a bad moment. If each of many VMs with few requests saved up as many, they
//! would exceed the total together. The number that a VM may save therefore follows its own recent
//! requests. VMs that restart, possibly many at once, do not get the saved attempts that VMs have
//! when the whole system first starts.

use std::time::{Duration, Instant};

use crate::core::request_rate::{self, RequestRate};
use crate::core::retry_budget::RetryBudget;

/// Extra attempts that each request earns.
const EXTRA_ATTEMPT_SHARE: f64 = 0.2;

/// Maximum number of extra attempts that a VM saves up.
const MAX_BURST: f64 = 3.0;

/// Maximum number of extra attempts that a VM with few requests saves up. It keeps several hundred
/// VMs within a total allowance of two extra attempts per VM.
const MIN_BURST: f64 = 1.7;

/// Extra attempts that a VM has after a restart.
const SAVED_AT_RESTART: f64 = 0.4;

/// Minimum number of recent requests that is assumed.
const MIN_RECENT_REQUESTS: f64 = 4.0;

/// How a VM starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// It starts together with the whole system, for the first time.
    First,
    /// It restarts or joins a running system: it may have sent requests before, or other VMs have
    /// in its place.
    Restart,
}

/// Allowance of this VM for extra attempts at one service.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    /// Extra attempts that are saved up.
    budget: RetryBudget,
    /// Recent requests of this VM to the service.
    request_rate: RequestRate,
}

impl RetryAllowance {
    /// Creates an allowance without recent requests.
    pub fn new(start: Start, now: Instant) -> RetryAllowance {
        let saved = match start {
            Start::First => MIN_BURST,
            Start::Restart => SAVED_AT_RESTART,
        };
        RetryAllowance {
            budget: RetryBudget::with_burst(EXTRA_ATTEMPT_SHARE, MIN_BURST, saved),
            request_rate: RequestRate::new(now),
        }
    }

    /// Records a new request, which earns a share of an extra attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.request_rate.record(now);
        let earned = self.request_rate.recent() * EXTRA_ATTEMPT_SHARE;
        let burst = earned.clamp(MIN_BURST, MAX_BURST);
        self.budget.set_burst(burst);
        self.budget.deposit(1);
    }

    /// Returns the typical interval between two requests of this VM to the service.
    pub fn interval(&self) -> Duration {
        request_rate::TIME_CONSTANT.div_f64(self.request_rate.recent().max(MIN_RECENT_REQUESTS))
    }

    /// Returns the requests of this VM to the service per second, without the last one.
    pub fn requests_per_second(&self, now: Instant) -> f64 {
        self.request_rate.per_second_before_last(now)
    }

    /// Returns whether the allowance contains an extra attempt.
    pub fn has_attempt(&self) -> bool {
        self.budget.has_attempt()
    }

    /// Takes one extra attempt from the allowance; returns whether there was one.
    pub fn take_attempt(&mut self) -> bool {
        self.budget.withdraw()
    }
}
