//! Cases that run beside each other, each with a fleet of its own.

use std::sync::{Condvar, Mutex, PoisonError};

/// Scenes that run at once on a machine of ten cores.
const MAX_TESTBEDS: usize = 6;

/// Scenes that run now.
static RUNNING_TESTBEDS: Mutex<usize> = Mutex::new(0);
static TESTBED_ENDED: Condvar = Condvar::new();

/// The right to run a scene.
pub struct Permit;

impl Permit {
    /// Waits for the right to run a scene.
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

/// Runs a check for each case, as many at once as scenes may run.
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
