//! Runs test cases concurrently, each with a fleet of its own, and limits how many run at once.

use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of test fleets that run at once, for a machine with ten cores.
const MAX_TESTBEDS: usize = 6;

/// Number of permits held now, one for each running test fleet.
static RUNNING_TESTBEDS: Mutex<usize> = Mutex::new(0);
static TESTBED_ENDED: Condvar = Condvar::new();

/// A permit to run one test fleet; dropping it releases it.
pub struct Permit;

impl Permit {
    /// Waits until fewer than `MAX_TESTBEDS` permits are held, then takes one.
    pub fn acquire() -> Permit {
        let running = RUNNING_TESTBEDS
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waited = TESTBED_ENDED.wait_while(running, |running| *running >= MAX_TESTBEDS);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING_TESTBEDS
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        TESTBED_ENDED.notify_one();
    }
}

/// Runs a check for each case on a thread of its own and panics with the list of failed cases.
///
/// The permit that each check acquires for its fleet limits how many make progress at once.
pub fn for_each<C: std::fmt::Debug + Sync>(cases: &[C], check: impl Fn(&C) + Sync) {
    let failed: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = cases
            .iter()
            .map(|case| (case, scope.spawn(|| check(case))))
            .collect();
        let ended = runs.into_iter().map(|(case, run)| (case, run.join()));
        let failed = ended.filter(|(_, end)| end.is_err());
        failed.map(|(case, _)| format!("{case:?}")).collect()
    });
    assert!(failed.is_empty(), "failed cases: {failed:?}");
}
