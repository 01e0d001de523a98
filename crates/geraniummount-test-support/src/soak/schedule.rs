//! Which faults strike, and when.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fault::Fault;
use super::{LEAD, Options};

/// Shortest and longest fault, in milliseconds.
const LENGTHS_MS: std::ops::Range<u64> = 100..2500;

/// A fault with its span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time from the start of the run.
    pub at: Duration,
    /// Time for which it lasts, where that means something.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Faults in the order in which they strike; they overlap.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Sorted by time.
    pub steps: Vec<Step>,
    /// When the last fault is over.
    pub over: Duration,
}

impl Schedule {
    /// Draws the schedule of a seed.
    pub fn draw(options: &Options) -> Schedule {
        let mut random = StdRng::seed_from_u64(options.seed);
        let over = LEAD + options.faulty;
        let mut steps = Vec::new();
        let mut at = LEAD;
        while at < over {
            let longest = over - at;
            let lasts = Duration::from_millis(random.random_range(LENGTHS_MS));
            steps.push(Step {
                at,
                lasts: lasts.min(longest),
                fault: Fault::draw(options.vms, options.shards * 2 + 4, &mut random),
            });
            at += options
                .gap
                .mul_f64(-random.random_range(0.000_1_f64..1.0).ln());
        }
        Schedule { steps, over }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let (at, lasts) = (step.at.as_secs_f64(), step.lasts.as_secs_f64());
            writeln!(f, "  {at:7.3} s for {lasts:5.3} s  {:?}", step.fault)?;
        }
        Ok(())
    }
}
