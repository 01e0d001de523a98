//! Checks that all gateways together keep to the limits that leaves name.

use std::time::{Duration, Instant};

use super::cluster::Cluster;
use super::exchange::Exchange;
use super::injection::LIMIT;
use super::notice::vm_of;
use super::report::{Promise, Violation};
use crate::platform::users::Run;

/// Time from the first naming of a limit until the gateways have to keep to it.
const CONTACT: Duration = Duration::from_secs(4);

/// Time from a gateway's first answer with the limit until its requests count.
const TOLD_GRACE: Duration = Duration::from_millis(500);

/// A window in which a leaf may get [`MAX_RATIO`] times its limit and [`MAX_MORE`] requests.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_RATIO: f64 = 1.5;
const MAX_MORE: f64 = 5.0;

/// Returns the limits that were exceeded. `requests` are those of all callers, sorted by id.
pub(super) fn exceeded_limits(cluster: &Cluster, requests: &[&Exchange]) -> Vec<Violation> {
    let allowed = LIMIT.1 * WINDOW.as_secs_f64() * MAX_RATIO + MAX_MORE;
    let mut violations = Vec::new();
    for (leaf, proxied_leaf) in cluster.leaves.iter().enumerate() {
        let (from, until) = (proxied_leaf.limited_from, proxied_leaf.limited_until);
        let Some((from, until)) = from.zip(until) else {
            continue;
        };
        let arrivals = proxied_leaf.all_arrivals();
        let senders = arrivals.iter().map(|run| {
            let addressee = vm_of(requests, &run.id)?;
            Some(cluster.sender(proxied_leaf, run, addressee))
        });
        let senders: Vec<_> = senders.collect();
        let times = counted(cluster, &senders, &arrivals, from, until);
        for (index, end) in times.iter().enumerate() {
            let first = times.partition_point(|at| *at + WINDOW < *end);
            let count = index + 1 - first;
            if count as f64 > allowed {
                violations.push(Violation {
                    promise: Promise::LimitObserved,
                    at: end.saturating_duration_since(cluster.started_at),
                    detail: format!("leaf {leaf} got {count} requests, {allowed} allowed"),
                });
                break;
            }
        }
    }
    violations
}

/// Returns the times of the requests that count: those through gateways that a leaf has told of its
/// limit and that no fault has disturbed since.
fn counted(
    cluster: &Cluster,
    senders: &[Option<usize>],
    arrivals: &[Run],
    from: Instant,
    until: Instant,
) -> Vec<Instant> {
    let mut told: Vec<Option<Instant>> = vec![None; cluster.vms.len()];
    let mut times = Vec::new();
    let received = arrivals.iter().zip(senders);
    for (run, sender) in received.filter(|(run, _)| run.arrived >= from) {
        let Some(vm) = *sender else {
            continue;
        };
        let told_at = *told[vm].get_or_insert(run.arrived);
        let disturbances = &cluster.disturbances;
        let is_sound = disturbances.is_process_undisturbed(vm, from, run.arrived)
            && disturbances.has_links(vm, run.arrived, run.arrived)
            && cluster.is_running_since(vm, from, run.arrived);
        let is_due = run.arrived >= from + CONTACT && run.arrived <= until;
        if is_sound && is_due && run.arrived >= told_at + TOLD_GRACE {
            times.push(run.arrived);
        }
    }
    times.sort_unstable();
    times
}
