//! Order in which an entry VM tries the replicas of a shard.
//!
//! Replicas are ranked by the time in which they are expected to answer: the
//! delay to the owner, the queue there, the leaf's recent median, and a
//! charge for a link between failure domains. All of it comes from outcomes
//! that this VM received itself. A replica whose owner or leaf stops answering
//! is suspended for a suspension that grows, and then gets single probes.

use std::time::{Duration, Instant};

use crate::core::leaf::State;
use crate::core::quantile::Quantile;
use crate::core::silence::{Silence, is_from_leaf};
use crate::prelude::*;

/// Time to answer that is assumed before any outcome came.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(10);

/// Charge for a link between failure domains.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(2);

/// First suspension of a replica that failed; each further one is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest suspension of a replica that keeps failing.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Suspension of a replica whose leaf is leaving.
const LEAVING_BACKOFF: Duration = Duration::from_secs(2);

/// Attempts without any answer in a row that suspend a replica.
const MIN_UNANSWERED_TO_SUSPEND: u32 = 3;

/// A part is no sign of a silent owner before it is so late.
const MIN_LATE_DELAY: Duration = Duration::from_millis(10);

/// A replica that could not be reached for longer is not waited for.
const UNREACHABLE_GRACE: Duration = Duration::from_secs(3);

/// Least median with which the pace of a leaf is computed, in seconds.
const MIN_MEDIAN_SECS: f64 = 1e-4;

/// Share of recent answers after which a part counts as late.
const LATE_QUANTILE: f64 = 0.98;

/// A part is late beyond this many times the median, whatever the share above
/// says: when a leaf straggles often, its high quantile is a straggler's time.
const MAX_LATE_MEDIANS: f64 = 3.0;

/// Weight of the newest sample in the link delay.
const DELAY_WEIGHT: f64 = 0.1;

/// What an entry VM knows of the replicas that it uses.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    replicas: Vec<ReplicaStats>,
    unresponsive_owners: Silence,
    unresponsive_leaves: Silence,
}

/// A replica in the order in which it is to be tried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankedReplica {
    /// The replica.
    pub leaf: LeafName,
    /// Time in which it is expected to answer.
    pub expected_time: Duration,
    /// Time of it in the owner's queue.
    pub expected_wait: Duration,
    /// Whether it is suspended now.
    pub is_suspended: bool,
    /// Whether nothing comes from it or its owner any more.
    pub is_unresponsive: bool,
    /// Whether a part sent to it is the single probe after a suspension.
    pub is_probe: bool,
}

/// What is known of one replica.
#[derive(Clone, Debug)]
struct ReplicaStats {
    leaf: LeafName,
    report: Option<(Report, Instant)>,
    /// Smoothed time on the way to the owner and back.
    delay: Option<Duration>,
    /// Recent times from sending a part to its outcome.
    elapsed: Quantile,
    /// Parts of this VM under way.
    in_flight: u32,
    /// Parts sent after the last report was received.
    sent_since_report: u32,
    unanswered: u32,
    suspension: Option<Suspension>,
    /// Since when nothing could be sent to it.
    unreachable_since: Option<Instant>,
}

/// Time without parts.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    until: Instant,
    backoff: Duration,
    /// Whether the single probe after it is under way.
    is_probing: bool,
}

impl Ranking {
    /// Orders replicas: usable ones first, each group by expected time.
    pub fn order(
        &self,
        replicas: &[LeafName],
        is_far: impl Fn(&LeafName) -> bool,
        now: Instant,
    ) -> Vec<RankedReplica> {
        let ranked = replicas.iter().map(|leaf| {
            let stats = self.stats(leaf);
            let penalty = if is_far(leaf) {
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

    /// Returns whether nothing comes from a replica or its owner any more.
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
        let owner = owner.is_some_and(|owner| self.unresponsive_owners.is_silent(owner, now));
        owner || self.unresponsive_leaves.is_silent(&stats.leaf, now)
    }

    /// Returns whether a replica is suspended.
    pub fn is_suspended(&self, leaf: &str, now: Instant) -> bool {
        self.stats(leaf).is_some_and(|s| s.is_suspended(now))
    }

    /// Returns whether a replica can't be reached, and could a moment ago.
    pub fn is_recently_unreachable(&self, leaf: &str, now: Instant) -> bool {
        let since = self.stats(leaf).and_then(|s| s.unreachable_since);
        since.is_some_and(|since| now < since + UNREACHABLE_GRACE)
    }

    /// Returns the time after which a part sent to a replica counts as late.
    pub fn late_after(&self, leaf: &str) -> Option<Duration> {
        self.stats(leaf)?.late_after()
    }

    /// Notes a part sent to a replica.
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

    /// Notes the outcome of a part that was sent some time ago. `is_counted`
    /// tells whether the part still counts as under way.
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
        if outcome.lost_owner() || is_from_leaf(&outcome.result) {
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
        if outcome.lost_owner() {
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

    /// Notes a part that this VM gave up after some time without an outcome.
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
            elapsed: Quantile::default(),
            in_flight: 0,
            sent_since_report: 0,
            unanswered: 0,
            suspension: None,
            unreachable_since: None,
        }
    }

    /// VM that owned the leaf when it last told.
    fn owner(&self) -> Option<&str> {
        let (report, _) = self.report.as_ref()?;
        (!report.owner.is_empty()).then_some(report.owner.as_str())
    }

    fn late_after(&self) -> Option<Duration> {
        let median = self.elapsed.median()?;
        let high = self.elapsed.at(LATE_QUANTILE)?;
        Some(high.min(median.mul_f64(MAX_LATE_MEDIANS)))
    }

    fn expected_time(&self, now: Instant) -> Duration {
        let Some((report, _)) = &self.report else {
            let typical = self.elapsed.median().unwrap_or(DEFAULT_RESPONSE_TIME);
            return typical + typical.mul_f64(f64::from(self.in_flight));
        };
        self.delay.unwrap_or_default() + report.median + self.expected_wait(now)
    }

    fn expected_wait(&self, now: Instant) -> Duration {
        let Some((report, _)) = &self.report else {
            return Duration::ZERO;
        };
        let rounds = self.expected_load(now) / f64::from(report.slots.max(1));
        report.median.mul_f64(rounds)
    }

    /// Parts that wait or run at the owner now: those last reported and those
    /// sent since, less those that ended since at the usual pace. It shrinks
    /// while nothing is sent, also when no report comes: what is refused for a
    /// long queue brings none.
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
        let sample = elapsed.saturating_sub(report.waited + report.served);
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
            Err(failure) if failure.is_unreached() => {
                self.unreachable_since.get_or_insert(now);
            }
            result if is_from_leaf(result) => self.unreachable_since = None,
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

    /// Takes back what the owner's silence was held against the leaf for.
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
