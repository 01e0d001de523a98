//! Requests to one service that this VM may send once more.
//!
//! Load pattern: all VMs draw on one allowance for each service, and none
//! knows how many they are. A VM that sends a service many requests may save
//! up a few attempts for a bad moment. If each of many VMs, with few requests
//! each, saved up as many, they would exceed the allowance together. What a VM
//! may save therefore follows its own recent requests. VMs that start again,
//! maybe many at once, don't bring the allowance with them that the whole
//! system had at its first start.

use std::time::{Duration, Instant};

use crate::core::retry_budget::RetryBudget;

/// Share of a service's requests that may be sent once more.
const EXTRA_ATTEMPT_SHARE: f64 = 0.2;

/// Most attempts that a VM saves up.
const MAX_BURST: f64 = 3.0;

/// Most attempts that a VM with few requests saves up. Some hundred VMs stay
/// within an allowance of two attempts for each.
const MIN_BURST: f64 = 1.7;

/// Attempts that a VM has when it starts again.
const SAVED_AT_RESTART: f64 = 0.4;

/// Time in which all but a third of the earlier requests are forgotten.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Recent requests that are assumed at least.
const MIN_RECENT_REQUESTS: f64 = 4.0;

/// Whether a VM starts together with the whole system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// The whole system starts for the first time.
    First,
    /// It may have sent requests before, or others have in its index.
    Restart,
}

/// Requests to one service that this VM may send once more.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    budget: RetryBudget,
    /// Requests sent lately, older ones counting less.
    recent_requests: f64,
    updated_at: Instant,
}

impl RetryAllowance {
    /// Starts without any request.
    pub fn new(start: Start, now: Instant) -> RetryAllowance {
        let saved = match start {
            Start::First => MIN_BURST,
            Start::Restart => SAVED_AT_RESTART,
        };
        RetryAllowance {
            budget: RetryBudget::with_burst(EXTRA_ATTEMPT_SHARE, MIN_BURST, saved),
            recent_requests: 0.0,
            updated_at: now,
        }
    }

    /// Notes a request that is sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.recent_requests *= (-age.as_secs_f64() / RECENT_TIME_CONSTANT.as_secs_f64()).exp();
        self.recent_requests += 1.0;
        let burst = (self.recent_requests * EXTRA_ATTEMPT_SHARE).clamp(MIN_BURST, MAX_BURST);
        self.budget.set_burst(burst);
        self.budget.deposit(1);
    }

    /// Returns the usual time between two requests of this VM to the service.
    pub fn interval(&self) -> Duration {
        RECENT_TIME_CONSTANT.div_f64(self.recent_requests.max(MIN_RECENT_REQUESTS))
    }

    /// Takes the right to send a request once more, if there is one.
    pub fn take_attempt(&mut self) -> bool {
        self.budget.withdraw()
    }
}
