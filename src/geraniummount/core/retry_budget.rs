//! Budget for the extra load that one service may put on its leaves.
//!
//! A part is the share of a request that goes to one shard, and an attempt is one try to run it at
//! one leaf. Retries (attempts after a failed one) and hedges (attempts in addition to a late one)
//! draw from one budget, which is refilled in proportion to the first attempts sent. A fault that
//! makes every part fail therefore can't multiply the load.

/// Maximum number of extra attempts that are saved up while none are needed.
const BURST_ATTEMPTS: f64 = 10.0;

/// Maximum number of further extra attempts that are reserved for parts at unresponsive replicas.
const MAX_RESERVE_ATTEMPTS: f64 = 40.0;

/// Token bucket for the retries and hedges of one service, in attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Extra attempts that each first attempt adds to the budget.
    deposit_ratio: f64,
    /// Maximum balance.
    burst: f64,
    /// Maximum reserve.
    max_reserve: f64,
    /// Extra attempts that may be sent now.
    balance: f64,
    /// Deposits that exceeded the maximum balance, for parts at unresponsive replicas.
    reserve: f64,
}

impl RetryBudget {
    /// Creates a budget with a full balance.
    pub fn new(extra_percent: u8) -> RetryBudget {
        let mut budget = RetryBudget {
            deposit_ratio: 0.0,
            burst: BURST_ATTEMPTS,
            max_reserve: MAX_RESERVE_ATTEMPTS,
            balance: BURST_ATTEMPTS,
            reserve: 0.0,
        };
        budget.set_extra_percent(extra_percent);
        budget
    }

    /// Creates a budget with the given maximum balance and initial balance, and no reserve. In any
    /// time span it allows at most the burst and the given ratio of the first attempts.
    pub fn with_burst(deposit_ratio: f64, burst: f64, balance: f64) -> RetryBudget {
        RetryBudget {
            deposit_ratio,
            burst,
            max_reserve: 0.0,
            balance,
            reserve: 0.0,
        }
    }

    /// Changes the maximum balance and lowers the balance to it if necessary.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Changes the ratio of extra attempts to first attempts. A ratio of 0 empties the budget.
    pub fn set_extra_percent(&mut self, extra_percent: u8) {
        self.deposit_ratio = f64::from(extra_percent) / 100.0;
        if extra_percent == 0 {
            self.balance = 0.0;
            self.reserve = 0.0;
        }
    }

    /// Deposits the extra attempts that the first attempts of `parts` parts add to the budget.
    pub fn deposit(&mut self, parts: usize) {
        let balance = self.balance + self.deposit_ratio * parts as f64;
        self.balance = balance.min(self.burst);
        self.reserve = (self.reserve + balance - self.balance).min(self.max_reserve);
    }

    /// Returns the balance as a share of the maximum balance, from 0 to 1.
    pub fn fill_ratio(&self) -> f64 {
        self.balance / self.burst
    }

    /// Returns whether the balance covers an extra attempt. Returns `true` also if the budget gets
    /// no deposits.
    pub fn can_hedge(&self) -> bool {
        self.has_attempt() || self.deposit_ratio == 0.0
    }

    /// Returns whether the balance covers an extra attempt.
    pub fn has_attempt(&self) -> bool {
        self.balance >= 1.0
    }

    /// Withdraws one extra attempt. Returns whether the balance covered it.
    pub fn withdraw(&mut self) -> bool {
        let has_attempt = self.has_attempt();
        if has_attempt {
            self.balance -= 1.0;
        }
        has_attempt
    }

    /// Withdraws one extra attempt for a part at an unresponsive replica, from the reserve if the
    /// reserve covers the attempt. Returns whether the reserve or the balance covered it.
    pub fn withdraw_for_unresponsive(&mut self) -> bool {
        if self.reserve < 1.0 {
            return self.withdraw();
        }
        self.reserve -= 1.0;
        true
    }
}
