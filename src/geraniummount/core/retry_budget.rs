//! Extra load that one service may put on its leaves.
//!
//! Retries and hedges draw from one budget, which grows with the parts sent
//! first. A fault that makes every part fail therefore can't multiply the
//! load.

/// Extra parts that may be saved up while none are needed.
const BURST_PARTS: f64 = 10.0;

/// Extra parts that may be kept beyond those, for parts at lost owners only.
const MAX_RESERVE_PARTS: f64 = 40.0;

/// Budget for the retries and hedges of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    deposit_ratio: f64,
    /// Most that may be saved.
    burst: f64,
    /// Most that may be reserved.
    max_reserve: f64,
    balance: f64,
    /// What was earned while the budget was full.
    reserve: f64,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub fn new(extra_percent: u8) -> RetryBudget {
        let mut budget = RetryBudget {
            deposit_ratio: 0.0,
            burst: BURST_PARTS,
            max_reserve: MAX_RESERVE_PARTS,
            balance: BURST_PARTS,
            reserve: 0.0,
        };
        budget.set_extra_percent(extra_percent);
        budget
    }

    /// Starts with a budget of which at most `burst` is saved, `saved` from the
    /// start, and nothing reserved, so that no time span sees more than the
    /// share and the burst.
    pub fn with_burst(deposit_ratio: f64, burst: f64, balance: f64) -> RetryBudget {
        RetryBudget {
            deposit_ratio,
            burst,
            max_reserve: 0.0,
            balance,
            reserve: 0.0,
        }
    }

    /// Takes over a changed bound on what is saved.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Takes over a changed share of the parts sent first.
    pub fn set_extra_percent(&mut self, extra_percent: u8) {
        self.deposit_ratio = f64::from(extra_percent) / 100.0;
        if extra_percent == 0 {
            self.balance = 0.0;
            self.reserve = 0.0;
        }
    }

    /// Notes parts that were sent first.
    pub fn deposit(&mut self, parts: usize) {
        let balance = self.balance + self.deposit_ratio * parts as f64;
        self.balance = balance.min(self.burst);
        self.reserve = (self.reserve + balance - self.balance).min(self.max_reserve);
    }

    /// Returns how full the budget is, from 0 to 1.
    pub fn fill_ratio(&self) -> f64 {
        self.balance / self.burst
    }

    /// Returns whether it has an extra part, or never gets any.
    pub fn can_hedge(&self) -> bool {
        self.balance >= 1.0 || self.deposit_ratio == 0.0
    }

    /// Takes one extra part, if the budget has it.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Takes one extra part for one that is at a lost owner.
    pub fn withdraw_for_unresponsive(&mut self) -> bool {
        if self.reserve < 1.0 {
            return self.withdraw();
        }
        self.reserve -= 1.0;
        true
    }
}
