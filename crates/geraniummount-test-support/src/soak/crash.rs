//! Sends a request that crashes each leaf that runs it, and checks that few of its repetitions reach
//! a leaf.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::caller::connect;
use super::cluster::Cluster;
use super::disturbance::Scope;
use super::follow_up::FollowUp;
use super::kind::Kind;
use super::report::{Promise, Violation};
use crate::platform::users::Run;

/// Body of the request that crashes leaves.
pub(super) const CRASH_BODY: &[u8] = b"crash";

/// Interval between two repetitions of the request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time from the crash of a leaf until another one is started in its place.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Time after the third crash from which on few repetitions may reach a leaf, and their number.
const CONTACT: Duration = Duration::from_secs(4);
const MAX_RETRIES: usize = 3;

/// Repeats the request through one gateway after the other until `end`, or until `stop` is set. The
/// id of each repetition begins with the index of the gateway, and each has the header fields
/// `fields`.
pub(super) fn repeat(gateways: &[SocketAddr], stop: &AtomicBool, end: Instant, fields: &str) {
    for number in 0.. {
        if stop.load(Ordering::Acquire) || Instant::now() >= end {
            return;
        }
        let vm = number % gateways.len();
        let id = format!("{vm}-crash-{number}");
        let request = Kind::Lookup.request(&id, CRASH_BODY);
        // Only the leaves tell what becomes of the request.
        let _ =
            connect(gateways[vm]).and_then(|mut stream| request.exchange_with(fields, &mut stream));
        std::thread::sleep(REPEAT_INTERVAL);
    }
}

impl Cluster {
    /// Stops the leaves that the request has crashed, and schedules the start of others in their
    /// place.
    pub(super) fn collect_crashes(&mut self, now: Instant) {
        for slot in 0..self.slots.len() {
            let index = self.slots[slot];
            let leaf = self.leaves[index].leaf.as_ref();
            let Some(crash) = leaf.and_then(|leaf| leaf.crashed_by()) else {
                continue;
            };
            self.disturbances
                .add(Scope::Leaf(index), crash.arrived, RESTART_DELAY);
            self.crashes.push(crash);
            self.leaves[index].stop();
            self.leaves[index].proxy.close_connections();
            let follow_up = FollowUp::ReplaceLeaf(slot, index);
            self.follow_ups.push((now + RESTART_DELAY, follow_up));
        }
    }
}

/// Returns a violation if too many repetitions reached leaves through gateways that were undisturbed
/// for long enough.
pub(super) fn repeated_crashes(cluster: &Cluster) -> Option<Violation> {
    let mut crashes: Vec<&Run> = cluster.crashes.iter().collect();
    crashes.sort_by_key(|crash| crash.arrived);
    let due = crashes.get(2)?.arrived + CONTACT;
    let is_counted = |crash: &&&Run| {
        let at = crash.arrived;
        let vm = crash.id.split('-').next().and_then(|vm| vm.parse().ok());
        let vm: usize = vm.unwrap_or_default();
        let from = at.checked_sub(CONTACT).unwrap_or(at);
        at > due
            && cluster.disturbances.is_vm_undisturbed(vm, from, at)
            && cluster.is_running_since(vm, from, at)
    };
    let late: Vec<&&Run> = crashes.iter().filter(is_counted).collect();
    let first = late.get(MAX_RETRIES)?;
    Some(Violation {
        promise: Promise::FewCrashes,
        at: first.arrived.saturating_duration_since(cluster.started_at),
        detail: format!(
            "{} leaves crashed in all, {} by late repetitions",
            crashes.len(),
            late.len()
        ),
    })
}
