//! Determines from a seed which faults are injected, and when.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fault::{Fault, LeafFault, LinkFault, LostLinks};
use super::operator::Action;
use super::{Options, WARM_UP_DURATION};

/// Range of the duration of a fault.
const FAULT_DURATION_RANGE_MS: std::ops::Range<u64> = 100..2500;

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When the fault begins, from the start of the run.
    pub at: Duration,
    /// How long the fault lasts; without effect for faults that happen at one moment.
    pub duration: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// The faults of a run in the order in which they begin; they may overlap.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Faults, sorted by time.
    pub steps: Vec<Step>,
    /// When the last fault has ended, from the start of the run.
    pub end: Duration,
}

/// Differs between the two series of faults of a seed.
const PLATFORM_SERIES: u64 = 0x706c_6174_666f_726d;

/// Differs between the leaves that name limits and the other faults of a seed.
const LIMIT_SERIES: u64 = 0x0000_006c_696d_6974;

/// Differs between the gateways that lose their links and the other faults of a seed.
const LOST_LINKS_SERIES: u64 = 0x006c_6f73_745f_6c6b;

/// Differs between the actions of the operator and the other faults of a seed.
const OPERATOR_SERIES: u64 = 0x6f70_6572_6174_6f72;

/// Mean time between two actions of the operator.
const ACTION_INTERVAL: Duration = Duration::from_millis(900);

/// Time from the cut of a gateway's link to the store until a key is revoked that it does not hear
/// of.
const CUT_LEAD: Duration = Duration::from_millis(100);

/// Number of draws of a leaf that names a limit; the same leaf may be drawn again.
const LIMITED_LEAVES: usize = 3;

/// Mean time between the beginnings of two faults that are added to the schedule of a seed.
const PLATFORM_FAULT_INTERVAL: Duration = Duration::from_millis(1_800);

impl Schedule {
    /// Draws the schedule of the seed in `options`.
    pub fn draw(options: &Options) -> Schedule {
        // Each shard and the services `lookup` and `orders` have two leaf slots.
        let leaves = options.shards * 2 + 4;
        let interval = options.mean_fault_interval;
        let mut schedule = Schedule::draw_series(options, options.seed, interval, |rng| {
            Fault::draw(options.vms, leaves, rng)
        });
        if options.has_platform_faults {
            let seed = options.seed ^ PLATFORM_SERIES;
            let interval = PLATFORM_FAULT_INTERVAL;
            let added = Schedule::draw_series(options, seed, interval, |rng| {
                Fault::draw_platform(leaves, rng)
            });
            schedule.steps.extend(added.steps);
        }
        if options.has_limits {
            schedule.steps.extend(limits(options, leaves));
        }
        if options.has_lost_links {
            schedule.steps.extend(lost_links(options));
        }
        if options.has_tenants {
            schedule.steps.extend(actions(options));
        }
        schedule.steps.sort_by_key(|step| step.at);
        schedule
    }

    /// Draws a series of faults.
    fn draw_series(
        options: &Options,
        seed: u64,
        mean_interval: Duration,
        draw_fault: impl Fn(&mut StdRng) -> Fault,
    ) -> Schedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let end = WARM_UP_DURATION + options.fault_duration;
        let mut steps = Vec::new();
        let mut at = WARM_UP_DURATION;
        while at < end {
            // The fault ends no later than the schedule.
            let max_duration = end - at;
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_RANGE_MS));
            steps.push(Step {
                at,
                duration: duration.min(max_duration),
                fault: draw_fault(&mut rng),
            });
            // The times between faults are distributed exponentially.
            at += mean_interval.mul_f64(-rng.random_range(0.000_1_f64..1.0).ln());
        }
        Schedule { steps, end }
    }
}

/// Draws the actions of the operator, all the while in which faults are injected. Some keys are
/// revoked while a gateway has lost its link to the store.
fn actions(options: &Options) -> Vec<Step> {
    let seed = options.seed ^ OPERATOR_SERIES;
    let drawn = Schedule::draw_series(options, seed, ACTION_INTERVAL, |rng| {
        Fault::Operator(Action::draw(rng))
    });
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for mut step in drawn.steps {
        // Evacuations and cut links end no later than the schedule, too.
        step.duration = Action::draw_duration(&mut rng).min(drawn.end - step.at);
        let (vm, is_cut) = (rng.random_range(0..options.vms), rng.random_bool(0.5));
        if is_cut && matches!(step.fault, Fault::Operator(Action::RevokeKey(_))) {
            let fault = Fault::StoreLink(vm, LinkFault::Cut);
            steps.push(Step { fault, ..step });
            step.at += CUT_LEAD;
        }
        steps.push(step);
    }
    steps
}

/// Draws the leaves that name limits, all the while in which faults are injected.
fn limits(options: &Options, leaves: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(options.seed ^ LIMIT_SERIES);
    let slots = (0..LIMITED_LEAVES).map(|_| rng.random_range(0..leaves));
    let step = |slot| Step {
        at: WARM_UP_DURATION,
        duration: options.fault_duration,
        fault: Fault::Leaf(slot, LeafFault::NameLimit),
    };
    slots.map(step).collect()
}

/// Draws the gateways that lose their links to all leaves, in the middle half of the faults.
fn lost_links(options: &Options) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(options.seed ^ LOST_LINKS_SERIES);
    let max_count = options.vms.saturating_sub(1);
    let count = rng.random_range(0..max_count.max(1)) + max_count.min(1);
    let first = rng.random_range(0..options.vms);
    let gateways = (0..count).map(|number| (first + number) % options.vms);
    let duration = options.fault_duration / 2;
    let at = WARM_UP_DURATION + duration / 2;
    let step = |vm| Step {
        at,
        duration,
        fault: Fault::AllLinks(vm, LostLinks::draw(&mut rng)),
    };
    gateways.map(step).collect()
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
