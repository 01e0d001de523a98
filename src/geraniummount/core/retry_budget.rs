//! Extra load that one service may put on its leaves.
//!
//! Retries and hedges draw from one budget, which grows with the parts sent
//! first. A fault that makes every part fail therefore can't multiply the
//! load.

/// Extra parts that may be saved up while none are needed.
const BURST: f64 = 10.0;

/// Extra parts that may be kept beyond those, for parts at lost owners only.
const MOST_RESERVED: f64 = 40.0;

/// Budget for the retries and hedges of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    /// Most that may be saved.
    burst: f64,
    /// Most that may be reserved.
    most_reserved: f64,
    saved: f64,
    /// What was earned while the budget was full.
    reserved: f64,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub fn new(extra_percent: u8) -> RetryBudget {
        let mut budget = RetryBudget {
            share: 0.0,
            burst: BURST,
            most_reserved: MOST_RESERVED,
            saved: BURST,
            reserved: 0.0,
        };
        budget.configure(extra_percent);
        budget
    }

    /// Starts with a budget of which at most `burst` is saved, `saved` from the
    /// start, and nothing reserved, so that no time span sees more than the
    /// share and the burst.
    pub fn with_burst(share: f64, burst: f64, saved: f64) -> RetryBudget {
        RetryBudget {
            share,
            burst,
            most_reserved: 0.0,
            saved,
            reserved: 0.0,
        }
    }

    /// Takes over a changed bound on what is saved.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.saved = self.saved.min(burst);
    }

    /// Takes over a changed share of the parts sent first.
    pub fn configure(&mut self, extra_percent: u8) {
        self.share = f64::from(extra_percent) / 100.0;
        if extra_percent == 0 {
            self.saved = 0.0;
            self.reserved = 0.0;
        }
    }

    /// Notes parts that were sent first.
    pub fn earn(&mut self, parts: usize) {
        let saved = self.saved + self.share * parts as f64;
        self.saved = saved.min(self.burst);
        self.reserved = (self.reserved + saved - self.saved).min(self.most_reserved);
    }

    /// Returns how full the budget is, from 0 to 1.
    pub fn fill(&self) -> f64 {
        self.saved / self.burst
    }

    /// Returns whether it has an extra part, or never gets any.
    pub fn can_hedge(&self) -> bool {
        self.saved >= 1.0 || self.share == 0.0
    }

    /// Takes one extra part, if the budget has it.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Takes one extra part for one that is at a lost owner.
    pub fn take_for_lost(&mut self) -> bool {
        if self.reserved < 1.0 {
            return self.take();
        }
        self.reserved -= 1.0;
        true
    }
}
