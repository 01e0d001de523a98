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
const SHARE: f64 = 0.2;

/// Most attempts that a VM saves up.
const MOST_SAVED: f64 = 3.0;

/// Most attempts that a VM with few requests saves up. Some hundred VMs stay
/// within an allowance of two attempts for each.
const LEAST_SAVED: f64 = 1.7;

/// Attempts that a VM has when it starts again.
const SAVED_AT_RESTART: f64 = 0.4;

/// Time in which all but a third of the earlier requests are forgotten.
const MEMORY: Duration = Duration::from_secs(10);

/// Recent requests that are assumed at least.
const FEWEST_RECENT: f64 = 4.0;

/// Whether a VM starts together with the whole system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// The whole system starts for the first time.
    First,
    /// It may have sent requests before, or others have in its place.
    Again,
}

/// Requests to one service that this VM may send once more.
#[derive(Clone, Debug)]
pub struct Allowance {
    budget: RetryBudget,
    /// Requests sent lately, older ones counting less.
    recent: f64,
    updated: Instant,
}

impl Allowance {
    /// Starts without any request.
    pub fn new(start: Start, now: Instant) -> Allowance {
        let saved = match start {
            Start::First => LEAST_SAVED,
            Start::Again => SAVED_AT_RESTART,
        };
        Allowance {
            budget: RetryBudget::with_burst(SHARE, LEAST_SAVED, saved),
            recent: 0.0,
            updated: now,
        }
    }

    /// Notes a request that is sent for the first time.
    pub fn earn(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.recent *= (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.recent += 1.0;
        let most = (self.recent * SHARE).clamp(LEAST_SAVED, MOST_SAVED);
        self.budget.set_burst(most);
        self.budget.deposit(1);
    }

    /// Returns the usual time between two requests of this VM to the service.
    pub fn interval(&self) -> Duration {
        MEMORY.div_f64(self.recent.max(FEWEST_RECENT))
    }

    /// Takes the right to send a request once more, if there is one.
    pub fn take(&mut self) -> bool {
        self.budget.withdraw()
    }
}
