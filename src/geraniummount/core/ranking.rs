//! Order in which an entry VM tries the replicas of a shard.
//!
//! Replicas are ranked by the time in which they are expected to answer: the
//! delay to the owner, the queue there, the leaf's recent median, and a
//! charge for a link between failure domains. All of it comes from outcomes
//! that this VM received itself. A replica whose owner or leaf stops answering
//! is suspended for a pause that grows, and then gets single probes.

use std::time::{Duration, Instant};

use crate::core::duration_window::DurationWindow;
use crate::core::leaf::State;
use crate::core::silence::{Silence, is_from_leaf};
use crate::prelude::*;

/// Time to answer that is assumed before any outcome came.
const ASSUMED_TIME: Duration = Duration::from_millis(10);

/// Charge for a link between failure domains.
const FAR_CHARGE: Duration = Duration::from_millis(2);

/// First pause of a replica that failed; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause of a replica that keeps failing.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Pause of a replica whose leaf is leaving.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);

/// Attempts without any answer in a row that suspend a replica.
const SILENT_TO_SUSPEND: u32 = 3;

/// A part is no sign of a silent owner before it is so late.
const SHORTEST_SILENCE: Duration = Duration::from_millis(10);

/// A replica that could not be reached for longer is not waited for.
const FRESH_LOSS: Duration = Duration::from_secs(3);

/// Least median with which the pace of a leaf is computed, in seconds.
const MIN_MEDIAN_SECS: f64 = 1e-4;

/// Share of recent answers after which a part counts as late.
const LATE_SHARE: f64 = 0.98;

/// A part is late beyond this many times the median, whatever the share above
/// says: when a leaf straggles often, its high quantile is a straggler's time.
const LATE_MEDIANS: f64 = 3.0;

/// Weight of the newest sample in the link delay.
const DELAY_WEIGHT: f64 = 0.1;

/// What an entry VM knows of the replicas that it uses.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    standings: Vec<Standing>,
    silent_owners: Silence,
    silent_leaves: Silence,
}

/// A replica in the order in which it is to be tried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The replica.
    pub leaf: LeafName,
    /// Time in which it is expected to answer.
    pub expected: Duration,
    /// Time of it in the owner's queue.
    pub queued: Duration,
    /// Whether it is suspended now.
    pub suspended: bool,
    /// Whether nothing comes from it or its owner any more.
    pub silent: bool,
    /// Whether a part sent to it is the single probe after a pause.
    pub probed: bool,
}

/// What is known of one replica.
#[derive(Clone, Debug)]
struct Standing {
    leaf: LeafName,
    report: Option<(Report, Instant)>,
    /// Smoothed time on the way to the owner and back.
    delay: Option<Duration>,
    /// Recent times from sending a part to its outcome.
    elapsed: DurationWindow,
    /// Parts of this VM under way.
    open: u32,
    /// Parts sent after the last report was received.
    sent_since: u32,
    silent: u32,
    pause: Option<Pause>,
    /// Since when nothing could be sent to it.
    unreached_since: Option<Instant>,
}

/// Time without parts.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    length: Duration,
    /// Whether the single probe after it is under way.
    probing: bool,
}

impl Ranking {
    /// Orders replicas: usable ones first, each group by expected time.
    pub fn order(
        &self,
        replicas: &[LeafName],
        is_far: impl Fn(&LeafName) -> bool,
        now: Instant,
    ) -> Vec<Choice> {
        let choices = replicas.iter().map(|leaf| {
            let standing = self.standing(leaf);
            let charge = if is_far(leaf) {
                FAR_CHARGE
            } else {
                Duration::ZERO
            };
            Choice {
                leaf: leaf.clone(),
                expected: charge + standing.map_or(ASSUMED_TIME, |s| s.expected(now)),
                queued: standing.map_or(Duration::ZERO, |s| s.expected_queueing(now)),
                suspended: standing.is_some_and(|s| s.is_suspended(now)),
                silent: standing.is_some_and(|s| self.is_silent(s, now)),
                probed: standing.is_some_and(|s| self.is_probe_due(s, now)),
            }
        });
        let mut choices: Vec<Choice> = choices.collect();
        choices.sort_by_key(|choice| (choice.suspended, choice.silent, choice.expected));
        choices
    }

    /// Returns whether nothing comes from a replica or its owner any more.
    pub fn is_lost(&self, leaf: &str, now: Instant) -> bool {
        self.standing(leaf).is_some_and(|s| self.is_silent(s, now))
    }

    fn is_probe_due(&self, standing: &Standing, now: Instant) -> bool {
        let owner = standing.owner();
        let owner = owner.is_some_and(|owner| self.silent_owners.is_probe_due(owner, now));
        let leaf = self.silent_leaves.is_probe_due(&standing.leaf, now);
        owner || leaf || standing.pause.is_some_and(|pause| now >= pause.until)
    }

    fn is_silent(&self, standing: &Standing, now: Instant) -> bool {
        let owner = standing.owner();
        let owner = owner.is_some_and(|owner| self.silent_owners.is_silent(owner, now));
        owner || self.silent_leaves.is_silent(&standing.leaf, now)
    }

    /// Returns whether a replica is suspended.
    pub fn is_suspended(&self, leaf: &str, now: Instant) -> bool {
        self.standing(leaf).is_some_and(|s| s.is_suspended(now))
    }

    /// Returns whether a replica can't be reached, and could a moment ago.
    pub fn is_fresh_loss(&self, leaf: &str, now: Instant) -> bool {
        let since = self.standing(leaf).and_then(|s| s.unreached_since);
        since.is_some_and(|since| now < since + FRESH_LOSS)
    }

    /// Returns the time after which a part sent to a replica counts as late.
    pub fn late_after(&self, leaf: &str) -> Option<Duration> {
        self.standing(leaf)?.late_after()
    }

    /// Notes a part sent to a replica.
    pub fn on_send(&mut self, leaf: &str, now: Instant) {
        let place = self.place(leaf);
        let standing = &mut self.standings[place];
        let late = standing.late_after().unwrap_or(ASSUMED_TIME);
        let late = now + late.max(SHORTEST_SILENCE);
        if let Some(owner) = standing.owner() {
            self.silent_owners.on_send(owner, leaf, late, now);
        }
        self.silent_leaves.on_send(leaf, leaf, late, now);
        standing.open += 1;
        standing.sent_since += 1;
        if let Some(pause) = &mut standing.pause
            && now >= pause.until
        {
            pause.probing = true;
        }
    }

    /// Notes the outcome of a part that was sent some time ago. `counted`
    /// tells whether the part still counts as under way.
    pub fn on_outcome(
        &mut self,
        leaf: &str,
        outcome: &Outcome,
        elapsed: Duration,
        counted: bool,
        now: Instant,
    ) {
        let place = self.place(leaf);
        let standing = &mut self.standings[place];
        if outcome.lost_owner() || is_from_leaf(&outcome.result) {
            self.silent_leaves.on_answer(leaf);
            let owner = standing.owner();
            owner.inspect(|owner| self.silent_owners.on_answer(owner));
        }
        standing.note_reach(&outcome.result, now);
        if counted {
            standing.open = standing.open.saturating_sub(1);
        }
        if let Some(report) = &outcome.report {
            standing.hear(report, elapsed, now);
        }
        if outcome.lost_owner() {
            standing.forget_silence();
            return;
        }
        match &outcome.result {
            Ok(_) => {
                standing.elapsed.record(elapsed);
                standing.pause = None;
            }
            Err(failure) => standing.note_failure(failure, now),
        }
    }

    /// Notes a part that this VM gave up after some time without an outcome.
    pub fn on_abandon(&mut self, leaf: &str, elapsed: Duration, now: Instant) {
        let place = self.place(leaf);
        let standing = &mut self.standings[place];
        standing.open = standing.open.saturating_sub(1);
        let late = standing.late_after().unwrap_or(ASSUMED_TIME);
        if elapsed <= late {
            standing.end_probe();
            self.silent_leaves.forget(leaf, leaf);
            let owner = standing.owner();
            owner.inspect(|owner| self.silent_owners.forget(owner, leaf));
            return;
        }
        standing.elapsed.record(elapsed);
        standing.silent += 1;
        if standing.silent >= SILENT_TO_SUSPEND || standing.pause.is_some() {
            standing.suspend(now);
        }
    }

    fn standing(&self, leaf: &str) -> Option<&Standing> {
        let place = self.find(leaf).ok()?;
        Some(&self.standings[place])
    }

    fn place(&mut self, leaf: &str) -> usize {
        self.find(leaf).unwrap_or_else(|place| {
            self.standings.insert(place, Standing::new(leaf));
            place
        })
    }

    fn find(&self, leaf: &str) -> Result<usize, usize> {
        self.standings
            .binary_search_by(|s| s.leaf.as_str().cmp(leaf))
    }
}

impl Standing {
    fn new(leaf: &str) -> Standing {
        Standing {
            leaf: leaf.to_owned(),
            report: None,
            delay: None,
            elapsed: DurationWindow::default(),
            open: 0,
            sent_since: 0,
            silent: 0,
            pause: None,
            unreached_since: None,
        }
    }

    /// VM that owned the leaf when it last told.
    fn owner(&self) -> Option<&str> {
        let (report, _) = self.report.as_ref()?;
        (!report.owner.is_empty()).then_some(report.owner.as_str())
    }

    fn late_after(&self) -> Option<Duration> {
        let median = self.elapsed.median()?;
        let high = self.elapsed.quantile(LATE_SHARE)?;
        Some(high.min(median.mul_f64(LATE_MEDIANS)))
    }

    fn expected(&self, now: Instant) -> Duration {
        let Some((report, _)) = &self.report else {
            let typical = self.elapsed.median().unwrap_or(ASSUMED_TIME);
            return typical + typical.mul_f64(f64::from(self.open));
        };
        self.delay.unwrap_or_default() + report.median + self.expected_queueing(now)
    }

    fn expected_queueing(&self, now: Instant) -> Duration {
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
            return f64::from(self.open);
        };
        let reported = f64::from(report.queued) + f64::from(report.busy);
        let age = now.saturating_duration_since(*at).as_secs_f64();
        let pace = f64::from(report.slots) / report.median.as_secs_f64().max(MIN_MEDIAN_SECS);
        let left = reported + f64::from(self.sent_since) - age * pace;
        left.max(f64::from(self.open))
    }

    fn is_suspended(&self, now: Instant) -> bool {
        self.pause
            .is_some_and(|pause| pause.probing || now < pause.until)
    }

    fn hear(&mut self, report: &Report, elapsed: Duration, now: Instant) {
        let sample = elapsed.saturating_sub(report.waited + report.served);
        let delay = self.delay.map_or(sample, |delay| {
            delay.mul_f64(1.0 - DELAY_WEIGHT) + sample.mul_f64(DELAY_WEIGHT)
        });
        self.delay = Some(delay);
        self.silent = 0;
        self.sent_since = 0;
        self.report = Some((report.clone(), now));
        if report.state == State::Draining {
            self.pause_for(LEAVING_PAUSE, now);
        }
    }

    fn note_reach(&mut self, result: &Result<Reply, Failure>, now: Instant) {
        match result {
            Err(failure) if failure.is_unreached() => {
                self.unreached_since.get_or_insert(now);
            }
            result if is_from_leaf(result) => self.unreached_since = None,
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
            Reason::Leaving => self.pause_for(LEAVING_PAUSE, now),
            Reason::Deadline => {
                self.silent += 1;
                if self.silent >= SILENT_TO_SUSPEND || self.pause.is_some() {
                    self.suspend(now);
                }
            }
            _ => self.end_probe(),
        }
    }

    fn suspend(&mut self, now: Instant) {
        let last = self.pause.filter(|pause| now >= pause.until);
        if self.pause.is_some() && last.is_none() {
            return;
        }
        let length = last.map_or(FIRST_PAUSE, |pause| (pause.length * 2).min(LONGEST_PAUSE));
        self.pause_for(length, now);
    }

    fn pause_for(&mut self, length: Duration, now: Instant) {
        self.pause = Some(Pause {
            until: now + length,
            length,
            probing: false,
        });
    }

    /// Takes back what the owner's silence was held against the leaf for.
    fn forget_silence(&mut self) {
        self.silent = 0;
        self.pause = None;
    }

    fn end_probe(&mut self) {
        if let Some(pause) = &mut self.pause {
            pause.probing = false;
        }
    }
}
