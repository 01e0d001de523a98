//! Extra load that one service may put on its leaves.
//!
//! Retries and hedges draw from one budget, which grows with the parts sent
//! first. A fault that makes every part fail therefore can't multiply the
//! load.

/// Extra parts that may be saved up while none are needed.
const BURST: f64 = 10.0;

/// Budget for the retries and hedges of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub fn new(extra_percent: u8) -> RetryBudget {
        let mut budget = RetryBudget {
            share: 0.0,
            saved: BURST,
        };
        budget.configure(extra_percent);
        budget
    }

    /// Takes over a changed share of the parts sent first.
    pub fn configure(&mut self, extra_percent: u8) {
        self.share = f64::from(extra_percent) / 100.0;
        if extra_percent == 0 {
            self.saved = 0.0;
        }
    }

    /// Notes parts that were sent first.
    pub fn earn(&mut self, parts: usize) {
        self.saved = (self.saved + self.share * parts as f64).min(BURST);
    }

    /// Returns how full the budget is, from 0 to 1.
    pub fn fill(&self) -> f64 {
        self.saved / BURST
    }

    /// Takes one extra part, if the budget has it.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
