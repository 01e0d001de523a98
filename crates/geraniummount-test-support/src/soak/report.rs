//! What a run came to.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use super::Options;
use super::caller::History;
use super::cluster::Cluster;
use super::exchange::{Exchange, Outcome};
use super::kind::Kind;
use super::schedule::Schedule;

/// What a gateway promises.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promise {
    /// Each caller gets the whole answer to its own request.
    CorrectReply,
    /// A request that is not idempotent runs once at most.
    AtMostOnce,
    /// What is refused has not run and never does.
    RejectedNotRun,
    /// Leaves run only what callers asked for, where the routes say.
    OnlyRequested,
    /// Nothing is lost off, also by a planned stop.
    NoLostResponse,
    /// A leaf that leaves gets nothing any more.
    NoRequestAfterLeaving,
    /// A version comes into force in time.
    TimelyApply,
    /// A process never goes back to an older version.
    MonotonicVersions,
    /// A process ends only when told, and well.
    CleanExit,
    /// All requests are served once the faults are over.
    Recovery,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When, from the start of the run.
    pub at: Duration,
    /// What was history.
    pub detail: String,
}

/// What came of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    refused: usize,
    failed: usize,
    lost: usize,
}

/// What a run came to.
#[derive(Debug)]
pub struct Report {
    /// What was broken; empty where all promises held.
    pub violations: Vec<Violation>,
    seed: u64,
    schedule: Schedule,
    counts: Vec<(Kind, Counts)>,
    /// Folder with settings and logs, where it was kept.
    folder: Option<PathBuf>,
    size: (usize, usize, usize),
}

impl Report {
    pub(super) fn new(
        options: &Options,
        schedule: Schedule,
        history: &History,
        violations: Vec<Violation>,
        cluster: &mut Cluster,
    ) -> Report {
        let counts = Kind::ALL.map(|kind| {
            let requests = history
                .requests
                .iter()
                .filter(|request| request.kind == kind);
            (kind, Counts::of(requests))
        });
        let folder = (!violations.is_empty()).then(|| {
            cluster.keep_folder();
            cluster.folder().to_path_buf()
        });
        Report {
            violations,
            seed: options.seed,
            schedule,
            counts: counts.to_vec(),
            folder,
            size: (options.vms, options.shards, options.callers),
        }
    }
}

impl Counts {
    fn of<'a>(requests: impl Iterator<Item = &'a Exchange>) -> Counts {
        let mut counts = Counts::default();
        for request in requests {
            counts.sent += 1;
            match &request.outcome {
                outcome if outcome.is_success() => counts.served += 1,
                outcome if outcome.is_refusal() => counts.refused += 1,
                Outcome::Status(_) | Outcome::WrongResponse(_) => counts.failed += 1,
                Outcome::NoConnection | Outcome::ConnectionLost | Outcome::TimedOut => {
                    counts.lost += 1
                }
            }
        }
        counts
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (vms, shards, callers) = self.size;
        let faults = self.schedule.steps.len();
        let broken = self.violations.len();
        writeln!(
            f,
            "seed {}: {vms} gateways, {shards} shards, {callers} callers, {faults} faults, \
             {broken} violations",
            self.seed
        )?;
        for (kind, counts) in &self.counts {
            let Counts {
                sent,
                served,
                refused,
                failed,
                lost,
            } = counts;
            writeln!(
                f,
                "  {kind:<8?} sent {sent:5}  served {served:5}  refused {refused:4}  \
                 failed {failed:4}  lost {lost:4}"
            )?;
        }
        if broken == 0 {
            return Ok(());
        }
        for violation in &self.violations {
            let (promise, at) = (violation.promise, violation.at.as_secs_f64());
            writeln!(f, "  {at:7.3} s  {promise:?}: {}", violation.detail)?;
        }
        if let Some(folder) = &self.folder {
            writeln!(f, "  logs: {}", folder.display())?;
        }
        writeln!(f, "  faults:\n{}", self.schedule)
    }
}
