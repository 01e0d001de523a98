//! Random faults against gateways that run as separate processes, with the
//! promises checked from what callers and leaves see.
//!
//! A [`Schedule`] is drawn from a seed: which fault strikes what, and when.
//! [`Cluster`] starts a store, leaves and gateways with a proxy in front of each
//! store link and each leaf, and plays the schedule. [`Callers`] send requests
//! meanwhile, over connections that they keep as long as the gateway does, and
//! check each answer. When all is over, [`check`] compares what callers were
//! told with what the leaves ran. A [`Report`] holds what was broken.
//!
//! Only processes started here are signalled, by their ids.

mod caller;
mod catalog;
mod check;
mod cluster;
mod disturbance;
mod exchange;
mod fault;
mod injection;
mod kind;
mod link;
mod proxied_leaf;
mod report;
mod routes;
mod schedule;
mod vm;

use std::path::PathBuf;
use std::time::Duration;

pub use self::fault::Fault;
pub use self::report::{Promise, Report, Violation};
pub use self::schedule::Schedule;
pub use self::vm::Vm;

use self::caller::Callers;
use self::cluster::Cluster;

/// Size and length of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program that is run.
    pub binary: PathBuf,
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Gateways.
    pub vms: usize,
    /// Shards, of two leaves each.
    pub shards: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// Time with faults.
    pub fault_duration: Duration,
    /// Mean time between the beginnings of two faults. Bounds of time hold only
    /// where nothing befell who has to keep them, so these are tried by long ones.
    pub mean_fault_interval: Duration,
}

/// Time before the first fault, in which all has to be well.
pub const WARM_UP_DURATION: Duration = Duration::from_secs(1);

/// Time after the last fault until all has to be well again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time at the end in which each request has to be served.
pub const FINAL_CHECK_DURATION: Duration = Duration::from_secs(1);

/// Plays one seed.
///
/// # Errors
///
/// The cluster can't be set up: a program that doesn't start, no free ports.
pub fn run(options: &Options) -> std::io::Result<Report> {
    let schedule = Schedule::draw(options);
    let mut cluster = Cluster::start(options)?;
    let callers = Callers::start(options, &cluster);
    cluster.run_schedule(&schedule);
    let history = callers.stop();
    let violations = check::stop_and_check(&mut cluster, &history);
    Ok(Report::new(
        options,
        schedule,
        &history,
        violations,
        &mut cluster,
    ))
}
