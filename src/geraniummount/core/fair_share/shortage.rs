//! Measures by the outcomes of requests to one service how many of them its leaves cannot take.
//!
//! Load pattern: a service has lost leaves, or gets a burst, for seconds. Its leaves reject requests
//! or answer them late, and a caller waits until its deadline for a request that could not be
//! served from the start. Callers lose nothing by an answer within the target latency and all by one
//! after the deadline, so a late answer counts by where it lies between the two. A single leaf that
//! pauses makes a few answers late, which does not reach the threshold.

use std::time::{Duration, Instant};

/// Mean severity at which the shed share stays constant. Below it, a part of the requests is late or
/// has been retried, which callers bear; without any, nothing would show the end of the shortage.
const TARGET_SEVERITY: f64 = 0.05;

/// Change of the shed share per outcome and unit of deviation from the target.
const GAIN: f64 = 0.04;

/// Minimum share at which requests are shed, which takes four rejections in a row. Fewer are seen
/// when a single leaf restarts.
const MIN_SHED_SHARE: f64 = 0.15;

/// Maximum shed share. The requests that are still admitted show the end of the shortage.
const MAX_SHED_SHARE: f64 = 0.7;

/// Time in which the shed share halves without outcomes.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Number of outcomes in time, one after the other, and time without any other, after which each
/// further one lowers the share by [`RECOVERY_FACTOR`]. While leaves are short of capacity, their
/// queues delay answers in nearly every second. Without this rule, requests were still shed for
/// 8.6 s, at ten outcomes a second, after all leaves had been away and were back.
const RECOVERY_STREAK: u32 = 8;
const RECOVERY_DELAY: Duration = Duration::from_millis(1500);

/// Factor on the shed share for each further outcome in time.
const RECOVERY_FACTOR: f64 = 0.95;

/// Outcome of a request to one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All leaves that were tried rejected it.
    Rejected,
    /// It ended at a time, with the time until which an answer has its full value and the time after
    /// which it has none.
    Ended {
        /// When the request ended.
        at: Instant,
        /// When the answer was due.
        due: Instant,
        /// Deadline of the request.
        deadline: Instant,
    },
}

impl Outcome {
    /// Returns how much of the answer's value the caller lost, from 0 to 1.
    fn severity(self) -> f64 {
        match self {
            Outcome::Rejected => 1.0,
            Outcome::Ended { at, due, deadline } => {
                let late = at.saturating_duration_since(due).as_secs_f64();
                let span = deadline.saturating_duration_since(due).as_secs_f64();
                if late <= 0.0 {
                    return 0.0;
                }
                (late / span.max(1e-3)).min(1.0)
            }
        }
    }
}

/// Share of the requests to one service that its leaves cannot take.
#[derive(Clone, Debug)]
pub struct Shortage {
    shed_share: f64,
    updated_at: Instant,
    /// Number of outcomes in time since the last other one.
    in_time: u32,
    /// When an outcome was last not in time.
    late_at: Instant,
}

impl Shortage {
    /// Starts to measure.
    pub fn new(now: Instant) -> Shortage {
        Shortage {
            shed_share: 0.0,
            updated_at: now,
            in_time: 0,
            late_at: now,
        }
    }

    /// Records the outcome of an admitted request.
    pub fn record(&mut self, outcome: Outcome, now: Instant) {
        let severity = outcome.severity();
        if severity > 0.0 {
            self.in_time = 0;
            self.late_at = now;
        } else {
            self.in_time = self.in_time.saturating_add(1);
        }
        let calm = now.saturating_duration_since(self.late_at);
        let factor = match self.in_time > RECOVERY_STREAK && calm > RECOVERY_DELAY {
            true => RECOVERY_FACTOR,
            false => 1.0,
        };
        let change = (severity - TARGET_SEVERITY) * GAIN;
        let share = self.decayed(now) * factor + change;
        self.shed_share = share.clamp(0.0, MAX_SHED_SHARE);
        self.updated_at = now;
    }

    /// Returns the share of the requests to shed, from 0 to 1.
    pub fn shed_share(&self, now: Instant) -> f64 {
        let share = self.decayed(now);
        if share < MIN_SHED_SHARE { 0.0 } else { share }
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.shed_share * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
