//! Ranks the replicas of a shard in the order in which an entry VM, which took the request from the
//! caller, tries them.
//!
//! Replicas are ordered by expected response time: the network delay to the owner (the VM that
//! holds the leaf's queue), the wait in the owner's queue, the recent median of the leaf, and a
//! penalty for a link between failure domains. All of these values but the penalty come from
//! outcomes that this VM received itself and from the owners' reports on their leaves in these
//! outcomes. A part is the share of a request that goes to one shard, and an attempt is one try to
//! run a part at one leaf. A replica whose owner or leaf stops answering is suspended, that is, not
//! tried for a while. The suspension has an exponential backoff, after which single parts are sent
//! as probes.

use std::time::{Duration, Instant};

use crate::core::duration_window::DurationWindow;
use crate::core::leaf::State;
use crate::core::response_tracker::{ResponseTracker, is_leaf_response};
use crate::prelude::*;

/// Response time assumed before the first outcome.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(10);

/// Penalty for a link between failure domains.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(2);

/// First suspension of a replica that failed. Each further one is twice as
/// long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum suspension of a replica that keeps failing.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Suspension of a replica whose leaf is leaving.
const LEAVING_BACKOFF: Duration = Duration::from_secs(2);

/// Consecutive unanswered attempts after which a replica is suspended.
const MIN_UNANSWERED_TO_SUSPEND: u32 = 3;

/// Minimum time after which an unanswered part counts as a sign of an
/// unresponsive owner or leaf.
const MIN_LATE_DELAY: Duration = Duration::from_millis(10);

/// Time for which a query waits for an unreachable replica to become reachable
/// again.
const UNREACHABLE_GRACE: Duration = Duration::from_secs(3);

/// Minimum median of the time at a leaf from which the rate at which the leaf completes parts is
/// computed, in seconds.
const MIN_MEDIAN_SECS: f64 = 1e-4;

/// Quantile of the recent response times above which a part counts as late.
const LATE_QUANTILE: f64 = 0.98;

/// Upper bound of the late threshold, as a multiple of the median. If a leaf
/// often straggles, its high quantile is the response time of a straggler and
/// would be too long.
const MAX_LATE_MEDIANS: f64 = 3.0;

/// Weight of the newest sample in the moving average of the round trip time to the owner.
const DELAY_WEIGHT: f64 = 0.1;

/// Statistics of an entry VM about the replicas that it uses.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    /// Sorted by name of the leaf.
    replicas: Vec<ReplicaStats>,
    /// Tracks which owners do not answer the parts sent to them.
    unresponsive_owners: ResponseTracker,
    /// Tracks which leaves do not answer the parts sent to them.
    unresponsive_leaves: ResponseTracker,
}

/// A replica together with the values that determine its rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankedReplica {
    /// Leaf that serves the replica.
    pub leaf: LeafName,
    /// Expected response time.
    pub expected_time: Duration,
    /// Part of the expected time that is spent in the owner's queue.
    pub expected_wait: Duration,
    /// Whether the replica is suspended.
    pub is_suspended: bool,
    /// Whether the replica or its owner is unresponsive.
    pub is_unresponsive: bool,
    /// Whether the next part sent to the replica is the single probe after a
    /// suspension.
    pub is_probe: bool,
}

/// Statistics about one replica.
#[derive(Clone, Debug)]
struct ReplicaStats {
    leaf: LeafName,
    /// Last report of the owner and when it was received.
    report: Option<(Report, Instant)>,
    /// Moving average of the round trip time to the owner.
    delay: Option<Duration>,
    /// Recent times from sending a part to its outcome.
    elapsed: DurationWindow,
    /// Parts of this VM in flight.
    in_flight: u32,
    /// Parts sent since the last report was received.
    sent_since_report: u32,
    /// Consecutive attempts without an answer.
    unanswered: u32,
    /// Last suspension, also after its end; removed by a success and by the loss of the owner.
    suspension: Option<Suspension>,
    /// Since when every attempt has failed to reach the owner or the leaf.
    unreachable_since: Option<Instant>,
}

/// Period in which no parts are sent to a replica.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    until: Instant,
    /// Length of the suspension.
    backoff: Duration,
    /// Whether the single probe after the suspension is in flight.
    is_probing: bool,
}

impl Ranking {
    /// Sorts replicas: usable ones first, then unresponsive and suspended
    /// ones, each group by expected time.
    pub fn order(
        &self,
        replicas: &[LeafName],
        is_in_other_domain: impl Fn(&LeafName) -> bool,
        now: Instant,
    ) -> Vec<RankedReplica> {
        let ranked = replicas.iter().map(|leaf| {
            let stats = self.stats(leaf);
            let penalty = if is_in_other_domain(leaf) {
                CROSS_DOMAIN_PENALTY
            } else {
                Duration::ZERO
            };
            RankedReplica {
                leaf: leaf.clone(),
                expected_time: penalty
                    + stats.map_or(DEFAULT_RESPONSE_TIME, |s| s.expected_time(now)),
                expected_wait: stats.map_or(Duration::ZERO, |s| s.expected_wait(now)),
                is_suspended: stats.is_some_and(|s| s.is_suspended(now)),
                is_unresponsive: stats.is_some_and(|s| self.is_owner_or_leaf_unresponsive(s, now)),
                is_probe: stats.is_some_and(|s| self.is_probe_due(s, now)),
            }
        });
        let mut ranked: Vec<RankedReplica> = ranked.collect();
        ranked.sort_by_key(|replica| {
            (
                replica.is_suspended,
                replica.is_unresponsive,
                replica.expected_time,
            )
        });
        ranked
    }

    /// Returns whether a replica or its owner is unresponsive.
    pub fn is_unresponsive(&self, leaf: &str, now: Instant) -> bool {
        self.stats(leaf)
            .is_some_and(|s| self.is_owner_or_leaf_unresponsive(s, now))
    }

    fn is_probe_due(&self, stats: &ReplicaStats, now: Instant) -> bool {
        let owner = stats.owner();
        let owner = owner.is_some_and(|owner| self.unresponsive_owners.is_probe_due(owner, now));
        let leaf = self.unresponsive_leaves.is_probe_due(&stats.leaf, now);
        owner
            || leaf
            || stats
                .suspension
                .is_some_and(|suspension| now >= suspension.until)
    }

    fn is_owner_or_leaf_unresponsive(&self, stats: &ReplicaStats, now: Instant) -> bool {
        let owner = stats.owner();
        let owner = owner.is_some_and(|owner| self.unresponsive_owners.is_unresponsive(owner, now));
        owner || self.unresponsive_leaves.is_unresponsive(&stats.leaf, now)
    }

    /// Returns whether a replica is suspended.
    pub fn is_suspended(&self, leaf: &str, now: Instant) -> bool {
        self.stats(leaf).is_some_and(|s| s.is_suspended(now))
    }

    /// Returns whether a replica became unreachable less than
    /// [`UNREACHABLE_GRACE`] ago.
    pub fn is_recently_unreachable(&self, leaf: &str, now: Instant) -> bool {
        let since = self.stats(leaf).and_then(|s| s.unreachable_since);
        since.is_some_and(|since| now < since + UNREACHABLE_GRACE)
    }

    /// Returns the time after which a part sent to a replica counts as late.
    pub fn late_after(&self, leaf: &str) -> Option<Duration> {
        self.stats(leaf)?.late_after()
    }

    /// Records a part sent to a replica.
    pub fn on_send(&mut self, leaf: &str, now: Instant) {
        let index = self.find_or_insert(leaf);
        let stats = &mut self.replicas[index];
        let late = stats.late_after().unwrap_or(DEFAULT_RESPONSE_TIME);
        let late = now + late.max(MIN_LATE_DELAY);
        if let Some(owner) = stats.owner() {
            self.unresponsive_owners.on_send(owner, leaf, late, now);
        }
        self.unresponsive_leaves.on_send(leaf, leaf, late, now);
        stats.in_flight += 1;
        stats.sent_since_report += 1;
        if let Some(suspension) = &mut stats.suspension
            && now >= suspension.until
        {
            suspension.is_probing = true;
        }
    }

    /// Records the outcome of a part that was sent `elapsed` ago. `is_counted`
    /// states whether the part still counts as in flight.
    pub fn on_outcome(
        &mut self,
        leaf: &str,
        outcome: &Outcome,
        elapsed: Duration,
        is_counted: bool,
        now: Instant,
    ) {
        let index = self.find_or_insert(leaf);
        let stats = &mut self.replicas[index];
        if outcome.is_owner_lost() || is_leaf_response(&outcome.result) {
            self.unresponsive_leaves.on_answer(leaf);
            let owner = stats.owner();
            owner.inspect(|owner| self.unresponsive_owners.on_answer(owner));
        }
        stats.note_reachability(&outcome.result, now);
        if is_counted {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
        if let Some(report) = &outcome.report {
            stats.on_report(report, elapsed, now);
        }
        if outcome.is_owner_lost() {
            stats.clear_failures();
            return;
        }
        match &outcome.result {
            Ok(_) => {
                stats.elapsed.record(elapsed);
                stats.suspension = None;
            }
            Err(failure) => stats.note_failure(failure, now),
        }
    }

    /// Records that this VM stopped waiting for a part after `elapsed` without
    /// an outcome.
    pub fn on_abandon(&mut self, leaf: &str, elapsed: Duration, now: Instant) {
        let index = self.find_or_insert(leaf);
        let stats = &mut self.replicas[index];
        stats.in_flight = stats.in_flight.saturating_sub(1);
        let late = stats.late_after().unwrap_or(DEFAULT_RESPONSE_TIME);
        if elapsed <= late {
            stats.end_probe();
            self.unresponsive_leaves.forget(leaf, leaf);
            let owner = stats.owner();
            owner.inspect(|owner| self.unresponsive_owners.forget(owner, leaf));
            return;
        }
        stats.elapsed.record(elapsed);
        stats.unanswered += 1;
        if stats.unanswered >= MIN_UNANSWERED_TO_SUSPEND || stats.suspension.is_some() {
            stats.suspend(now);
        }
    }

    fn stats(&self, leaf: &str) -> Option<&ReplicaStats> {
        let index = self.find(leaf).ok()?;
        Some(&self.replicas[index])
    }

    fn find_or_insert(&mut self, leaf: &str) -> usize {
        self.find(leaf).unwrap_or_else(|index| {
            self.replicas.insert(index, ReplicaStats::new(leaf));
            index
        })
    }

    fn find(&self, leaf: &str) -> Result<usize, usize> {
        self.replicas
            .binary_search_by(|s| s.leaf.as_str().cmp(leaf))
    }
}

impl ReplicaStats {
    fn new(leaf: &str) -> ReplicaStats {
        ReplicaStats {
            leaf: leaf.to_owned(),
            report: None,
            delay: None,
            elapsed: DurationWindow::default(),
            in_flight: 0,
            sent_since_report: 0,
            unanswered: 0,
            suspension: None,
            unreachable_since: None,
        }
    }

    /// Returns the VM that owned the leaf at the time of the last report.
    fn owner(&self) -> Option<&str> {
        let (report, _) = self.report.as_ref()?;
        (!report.owner.is_empty()).then_some(report.owner.as_str())
    }

    /// Returns the time after which a part counts as late; `None` before the first reply.
    fn late_after(&self) -> Option<Duration> {
        let median = self.elapsed.median()?;
        let high = self.elapsed.quantile(LATE_QUANTILE)?;
        Some(high.min(median.mul_f64(MAX_LATE_MEDIANS)))
    }

    /// Returns the expected response time without the penalty for a link between failure domains.
    fn expected_time(&self, now: Instant) -> Duration {
        let Some((report, _)) = &self.report else {
            let typical = self.elapsed.median().unwrap_or(DEFAULT_RESPONSE_TIME);
            return typical + typical.mul_f64(f64::from(self.in_flight));
        };
        self.delay.unwrap_or_default() + report.median + self.expected_wait(now)
    }

    /// Returns the expected wait in the owner's queue; zero before the first report.
    fn expected_wait(&self, now: Instant) -> Duration {
        let Some((report, _)) = &self.report else {
            return Duration::ZERO;
        };
        let rounds = self.expected_load(now) / f64::from(report.slots.max(1));
        report.median.mul_f64(rounds)
    }

    /// Returns the estimated number of parts that wait or run at the owner:
    /// those in the last report plus those sent since, minus those that
    /// completed since at the usual rate. The estimate decreases while nothing
    /// is sent, even if no report arrives. A part that is rejected because of
    /// a long queue returns no report.
    fn expected_load(&self, now: Instant) -> f64 {
        let Some((report, at)) = &self.report else {
            return f64::from(self.in_flight);
        };
        let reported = f64::from(report.queued) + f64::from(report.busy);
        let age = now.saturating_duration_since(*at).as_secs_f64();
        let pace = f64::from(report.slots) / report.median.as_secs_f64().max(MIN_MEDIAN_SECS);
        let left = reported + f64::from(self.sent_since_report) - age * pace;
        left.max(f64::from(self.in_flight))
    }

    fn is_suspended(&self, now: Instant) -> bool {
        self.suspension
            .is_some_and(|suspension| suspension.is_probing || now < suspension.until)
    }

    fn on_report(&mut self, report: &Report, elapsed: Duration, now: Instant) {
        let sample = elapsed.saturating_sub(report.queue_time + report.service_time);
        let delay = self.delay.map_or(sample, |delay| {
            delay.mul_f64(1.0 - DELAY_WEIGHT) + sample.mul_f64(DELAY_WEIGHT)
        });
        self.delay = Some(delay);
        self.unanswered = 0;
        self.sent_since_report = 0;
        self.report = Some((report.clone(), now));
        if report.state == State::Draining {
            self.suspend_for(LEAVING_BACKOFF, now);
        }
    }

    fn note_reachability(&mut self, result: &Result<Reply, Failure>, now: Instant) {
        match result {
            Err(failure) if failure.is_unreachable() => {
                self.unreachable_since.get_or_insert(now);
            }
            result if is_leaf_response(result) => self.unreachable_since = None,
            _ => {}
        }
    }

    fn note_failure(&mut self, failure: &Failure, now: Instant) {
        match failure.reason {
            Reason::ConnectFailed
            | Reason::NoOwner
            | Reason::Stopping
            | Reason::Unreachable
            | Reason::ConnectionLost => self.suspend(now),
            Reason::Leaving => self.suspend_for(LEAVING_BACKOFF, now),
            Reason::Deadline => {
                self.unanswered += 1;
                if self.unanswered >= MIN_UNANSWERED_TO_SUSPEND || self.suspension.is_some() {
                    self.suspend(now);
                }
            }
            _ => self.end_probe(),
        }
    }

    fn suspend(&mut self, now: Instant) {
        let last = self.suspension.filter(|suspension| now >= suspension.until);
        if self.suspension.is_some() && last.is_none() {
            return;
        }
        let backoff = last.map_or(INITIAL_BACKOFF, |suspension| {
            (suspension.backoff * 2).min(MAX_BACKOFF)
        });
        self.suspend_for(backoff, now);
    }

    fn suspend_for(&mut self, backoff: Duration, now: Instant) {
        self.suspension = Some(Suspension {
            until: now + backoff,
            backoff,
            is_probing: false,
        });
    }

    /// Clears the unanswered attempts and the suspension, because the owner
    /// was at fault and not the leaf.
    fn clear_failures(&mut self) {
        self.unanswered = 0;
        self.suspension = None;
    }

    fn end_probe(&mut self) {
        if let Some(suspension) = &mut self.suspension {
            suspension.is_probing = false;
        }
    }
}
