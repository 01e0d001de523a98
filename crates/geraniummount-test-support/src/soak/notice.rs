//! Checks that gateways do what leaves ask for in their answers.

use std::time::{Duration, Instant};

use super::cluster::Cluster;
use super::exchange::Exchange;
use super::proxied_leaf::ProxiedLeaf;
use super::report::{Promise, Violation};
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

/// Returns the violations of what leaves asked for. `requests` are those of all callers, sorted by
/// id.
pub(super) fn ignored_notices(cluster: &Cluster, requests: &[&Exchange]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (leaf, proxied_leaf) in cluster.leaves.iter().enumerate() {
        let (arrivals, pauses) = (proxied_leaf.all_arrivals(), proxied_leaf.all_pauses());
        for vm in 0..cluster.vms.len() {
            let pair = Pair {
                cluster,
                leaf,
                vm,
                arrivals: through(vm, &arrivals, requests, (cluster, proxied_leaf)),
            };
            if let Some(since) = proxied_leaf.said_leaving_since {
                violations.extend(pair.check_leaving(since));
            }
            let pauses = through(vm, &pauses, requests, (cluster, proxied_leaf));
            violations.extend(pauses.iter().filter_map(|at| pair.check_pause(*at)));
        }
    }
    violations
}

/// Returns the times of the requests that a leaf got from a gateway.
fn through(
    vm: usize,
    runs: &[Run],
    requests: &[&Exchange],
    (cluster, leaf): (&Cluster, &ProxiedLeaf),
) -> Vec<Instant> {
    let is_from = |run: &&Run| {
        let addressee = vm_of(requests, &run.id);
        addressee.is_some_and(|addressee| cluster.sender(leaf, run, addressee) == vm)
    };
    let runs = runs.iter().filter(is_from);
    runs.map(|run| run.arrived).collect()
}

/// Returns the gateway that a request was sent to; `None` if no caller sent a request with this id.
pub(super) fn vm_of(requests: &[&Exchange], id: &str) -> Option<usize> {
    let found = requests.binary_search_by(|request| request.id.as_str().cmp(id));
    found.ok().map(|index| requests[index].vm)
}

/// A leaf and a gateway that sent requests to it.
struct Pair<'a> {
    cluster: &'a Cluster,
    leaf: usize,
    vm: usize,
    /// Times of the gateway's requests at the leaf.
    arrivals: Vec<Instant>,
}

impl Pair<'_> {
    /// Checks a leaf that says in its answers since `since` that it is leaving.
    fn check_leaving(&self, since: Instant) -> Option<Violation> {
        let arrivals = self.arrivals.iter().copied();
        let told: Vec<Instant> = arrivals.filter(|at| *at > since).collect();
        let known_at = *told.get(TELLING_ANSWERS - 1)?;
        let late = told.into_iter().find(|at| *at > known_at + LEAVING_GRACE)?;
        let detail = "got a request after it said that it is leaving";
        self.violation(Promise::NoRequestAfterNotice, since, late, detail)
    }

    /// Checks a pause that a leaf asked for at `asked_at`.
    fn check_pause(&self, asked_at: Instant) -> Option<Violation> {
        let (from, to) = (asked_at + PAUSE_GRACE, asked_at + PAUSE);
        let in_pause = self.arrivals.iter().filter(|at| **at > from && **at < to);
        if in_pause.count() <= MAX_REQUESTS_IN_PAUSE {
            return None;
        }
        let detail = "got more requests in its pause than may be on their way";
        self.violation(Promise::PauseObserved, asked_at, to, detail)
    }

    /// Returns the violation unless a fault kept the gateway from receiving the leaf's answers, or
    /// let it forget them, between two times.
    fn violation(
        &self,
        promise: Promise,
        from: Instant,
        to: Instant,
        detail: &str,
    ) -> Option<Violation> {
        let disturbances = &self.cluster.disturbances;
        let is_sound = disturbances.is_process_undisturbed(self.vm, from, to)
            && disturbances.has_links(self.vm, from, to)
            && disturbances.is_leaf_undisturbed(self.leaf, from, to)
            && self.cluster.is_running_since(self.vm, from, to);
        is_sound.then(|| Violation {
            promise,
            at: to.saturating_duration_since(self.cluster.started_at),
            detail: format!("leaf {} {detail}, through vm{}", self.leaf, self.vm),
        })
    }
}
