//! Checks that gateways do what leaves ask for in their answers.

use std::time::{Duration, Instant};

use super::check::Check;
use super::report::Promise;
use crate::platform::users::Run;

/// Number of answers after which a gateway has certainly received one: the first ones may have been
/// lost with the attempts that were abandoned.
const TELLING_ANSWERS: usize = 3;

/// Time for which requests may still be on their way to a leaf that says that it is leaving.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Time for which requests may still be on their way to a leaf that asked for a pause.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Time without requests that a leaf asks for, as in [`super::injection::PAUSE_SECONDS`].
const PAUSE: Duration = Duration::from_millis(1_500);

/// Maximum number of requests in a pause, after [`PAUSE_GRACE`].
const MAX_REQUESTS_IN_PAUSE: usize = 2;

impl Check<'_> {
    /// Checks all leaves that asked for something.
    pub(super) fn check_notices(&mut self) {
        for leaf in 0..self.cluster.leaves.len() {
            let proxied_leaf = &self.cluster.leaves[leaf];
            let arrivals = proxied_leaf.all_arrivals();
            let (pauses, since) = (proxied_leaf.all_pauses(), proxied_leaf.said_leaving_since);
            for vm in 0..self.cluster.vms.len() {
                let through_vm = self.through(vm, &arrivals);
                if let Some(since) = since {
                    self.check_said_leaving(leaf, vm, &through_vm, since);
                }
                let pauses = self.through(vm, &pauses);
                self.check_pauses(leaf, vm, &through_vm, &pauses);
            }
        }
    }

    /// Returns the times of the requests that came through a gateway.
    fn through(&self, vm: usize, runs: &[Run]) -> Vec<Instant> {
        let runs = runs.iter().filter(|run| self.vm_of(&run.id) == Some(vm));
        runs.map(|run| run.arrived).collect()
    }

    fn check_said_leaving(&mut self, leaf: usize, vm: usize, arrivals: &[Instant], since: Instant) {
        let told: Vec<Instant> = arrivals.iter().copied().filter(|at| *at > since).collect();
        let Some(known_at) = told.get(TELLING_ANSWERS - 1).copied() else {
            return;
        };
        let late = told.iter().find(|at| **at > known_at + LEAVING_GRACE);
        let Some(late) = late.copied() else { return };
        if self.is_sound(leaf, vm, since, late) {
            let detail = format!("a leaf got a request through vm{vm} after it told it");
            self.add_violation(Promise::NoRequestAfterNotice, late, detail);
        }
    }

    fn check_pauses(&mut self, leaf: usize, vm: usize, arrivals: &[Instant], pauses: &[Instant]) {
        for asked_at in pauses {
            let (from, to) = (*asked_at + PAUSE_GRACE, *asked_at + PAUSE);
            let in_pause = arrivals.iter().filter(|at| **at > from && **at < to);
            let count = in_pause.count();
            if count > MAX_REQUESTS_IN_PAUSE && self.is_sound(leaf, vm, *asked_at, to) {
                let detail = format!("a leaf got {count} requests through vm{vm} in its pause");
                self.add_violation(Promise::PauseObserved, to, detail);
            }
        }
    }

    /// Returns whether no fault kept a gateway from receiving a leaf's answers, or let it forget
    /// them, between two times.
    fn is_sound(&self, leaf: usize, vm: usize, from: Instant, to: Instant) -> bool {
        let disturbances = &self.cluster.disturbances;
        disturbances.is_process_undisturbed(vm, from, to)
            && disturbances.is_leaf_undisturbed(leaf, from, to)
            && self.is_running_since(vm, from, to)
    }
}
