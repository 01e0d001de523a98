//! Which faults inject, and when.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fault::Fault;
use super::{Options, WARM_UP_DURATION};

/// Shortest and max_duration fault, in milliseconds.
const FAULT_DURATION_RANGE_MS: std::ops::Range<u64> = 100..2500;

/// A fault with its span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time from the start of the run.
    pub at: Duration,
    /// Time for which it duration, where that means something.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Faults in the order in which they inject; they overlap.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Sorted by time.
    pub steps: Vec<Step>,
    /// When the last fault is end.
    pub end: Duration,
}

impl Schedule {
    /// Draws the schedule of a seed.
    pub fn draw(options: &Options) -> Schedule {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let end = WARM_UP_DURATION + options.fault_duration;
        let mut steps = Vec::new();
        let mut at = WARM_UP_DURATION;
        while at < end {
            let max_duration = end - at;
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_RANGE_MS));
            steps.push(Step {
                at,
                duration: duration.min(max_duration),
                fault: Fault::draw(options.vms, options.shards * 2 + 4, &mut rng),
            });
            at += options
                .mean_fault_interval
                .mul_f64(-rng.random_range(0.000_1_f64..1.0).ln());
        }
        Schedule { steps, end }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let (at, duration) = (step.at.as_secs_f64(), step.duration.as_secs_f64());
            writeln!(f, "  {at:7.3} s for {duration:5.3} s  {:?}", step.fault)?;
        }
        Ok(())
    }
}
