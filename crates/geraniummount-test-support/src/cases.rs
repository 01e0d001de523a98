//! Cases that run beside each other, each with a fleet of its own.

use std::sync::{Condvar, Mutex, PoisonError};

/// Scenes that run at once on a machine of ten cores.
const MOST_SCENES: usize = 6;

/// Scenes that run now.
static SCENES: Mutex<usize> = Mutex::new(0);
static SCENE_ENDED: Condvar = Condvar::new();

/// The right to run a scene.
pub struct Permit;

impl Permit {
    /// Waits for the right to run a scene.
    pub fn take() -> Permit {
        let scenes = SCENES.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = SCENE_ENDED.wait_while(scenes, |scenes| *scenes >= MOST_SCENES);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *SCENES.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        SCENE_ENDED.notify_one();
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
