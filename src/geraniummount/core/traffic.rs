//! State shared by the queries of one VM: observations of leaves and snapshots (versions of the
//! index), and the budgets for extra load: retries (attempts after a failed one) and hedges
//! (attempts in addition to a late one).

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::core::holdings::Holdings;
use crate::core::ranking::Ranking;
use crate::core::retry_budget::RetryBudget;
use crate::prelude::*;

/// Observations and budgets that outlive a query.
#[derive(Debug)]
pub struct Traffic {
    /// Snapshots that each replica holds.
    pub holdings: Holdings,
    /// Ranking of the replicas by their past answers.
    pub ranking: Ranking,
    /// Retry budgets, sorted by name of the service.
    budgets: Vec<(ServiceName, RetryBudget)>,
    /// Generator of the attempt ids.
    rng: StdRng,
}

impl Traffic {
    /// Creates a state without observations; `seed` determines the attempt ids.
    pub fn new(seed: u64) -> Traffic {
        Traffic {
            holdings: Holdings::default(),
            ranking: Ranking::default(),
            budgets: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns a random id for a new attempt.
    pub fn draw_attempt(&mut self) -> AttemptId {
        self.rng.next_u64()
    }

    /// Returns whether the budget of the service allows a hedge. Returns `true` also if extra load
    /// is disabled for the service or the service has no budget yet.
    pub fn can_hedge(&self, service: &str) -> bool {
        let mut budgets = self.budgets.iter();
        let found = budgets.find(|(name, _)| name == service);
        found.is_none_or(|(_, budget)| budget.can_hedge())
    }

    /// Returns the retry budget of a service, created if missing, with `extra_percent` applied.
    pub fn budget(&mut self, service: &str, extra_percent: u8) -> &mut RetryBudget {
        let found = self
            .budgets
            .binary_search_by(|budget| budget.0.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            let budget = (service.to_owned(), RetryBudget::new(extra_percent));
            self.budgets.insert(index, budget);
            index
        });
        let budget = &mut self.budgets[index].1;
        budget.set_extra_percent(extra_percent);
        budget
    }
}
