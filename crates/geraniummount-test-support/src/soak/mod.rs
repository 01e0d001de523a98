//! Runs randomized fault-injection tests against gateway processes and checks their promises.
//!
//! A gateway is a VM that runs `geraniummount gateway`: it forwards callers' requests to leaves. It
//! reads the routes and the leaves' registrations from the users' key-value store.
//!
//! A seed determines a [`Schedule`]: the faults, their targets and their times. [`Cluster`] starts
//! a store, leaves and gateways, with a proxy on the link from each gateway to the store and in
//! front of each leaf, and injects the scheduled faults. Meanwhile [`Callers`] send requests over
//! connections that they reuse until the gateway closes them, and check each reply. After the
//! run, [`check`] compares the replies with the requests that the leaves ran. A [`Report`] lists
//! the broken promises.
//!
//! Signals are sent only to processes started here, by their process ids.

mod caller;
mod catalog;
mod check;
mod cluster;
mod crash;
mod disturbance;
mod exchange;
mod fault;
mod follow_up;
mod injection;
mod kind;
mod limit;
mod link;
mod notice;
mod operator;
mod proxied_leaf;
mod report;
mod routes;
mod schedule;
mod tenant;
mod tenant_check;
mod vm;

use std::path::PathBuf;
use std::time::Duration;

pub use self::fault::Fault;
pub use self::report::{Promise, Report, Violation};
pub use self::schedule::Schedule;
pub use self::vm::Vm;

use self::caller::Callers;
use self::cluster::Cluster;

/// The size and duration of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the geraniummount program.
    pub binary: PathBuf,
    /// Path of another build of it. Half of the gateways begin with it, and each start of a gateway
    /// runs the build that it did not run before.
    pub other_binary: Option<PathBuf>,
    /// Seed of the schedule, the callers and the proxies.
    pub seed: u64,
    /// Number of gateways.
    pub vms: usize,
    /// Number of shards of a search, each with two leaves.
    pub shards: usize,
    /// Number of callers, each with one request in flight at a time.
    pub callers: usize,
    /// Time during which faults begin.
    pub fault_duration: Duration,
    /// Mean time between the beginnings of two faults.
    ///
    /// Time bounds are checked only where no recent fault affected the gateway, hence only long
    /// intervals test them.
    pub mean_fault_interval: Duration,
    /// Whether the store also goes back to older copies of itself, and leaves say in their answers
    /// that they are leaving or want no requests for a while. The other faults of a seed are the
    /// same with and without.
    pub has_platform_faults: bool,
    /// Whether some leaves also name limits on the requests of all gateways together, from the
    /// first fault to the last. The other faults of a seed are the same with and without.
    pub has_limits: bool,
    /// Whether some gateways, at least one and not all, also lose their links to all leaves in the
    /// middle of the run. The other faults of a seed are the same with and without.
    pub has_lost_links: bool,
    /// Whether a request that crashes leaves is repeated while faults begin. The other faults of a
    /// seed are the same with and without.
    pub has_crashes: bool,
    /// Whether callers send keys of tenants with quotas, keys are revoked and added, quotas are
    /// lowered, and failure domains are evacuated. The other faults of a seed are the same with and
    /// without.
    pub has_tenants: bool,
}

/// Time before the first fault, in which nothing may fail.
pub const WARM_UP_DURATION: Duration = Duration::from_secs(1);

/// Time after the last fault within which the gateways have to recover.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time at the end of a run in which every request has to be served.
pub const FINAL_CHECK_DURATION: Duration = Duration::from_secs(1);

/// Runs the schedule of one seed and returns the report.
///
/// # Errors
///
/// Returns an error if the cluster cannot be set up, such as when the program does not start or
/// no ports are free.
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
