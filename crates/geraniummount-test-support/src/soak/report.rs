//! Reports the result of a run.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use super::Options;
use super::caller::History;
use super::cluster::Cluster;
use super::exchange::{Exchange, Outcome};
use super::kind::Kind;
use super::schedule::Schedule;

/// A promise that gateways make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promise {
    /// Each caller receives the whole reply to its own request.
    CorrectReply,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A rejected request has not run and never does.
    RejectedNotRun,
    /// Leaves run only requests that callers sent, at the services that the routes name.
    OnlyRequested,
    /// A request that a leaf ran gets a reply, also during a planned stop.
    NoLostReply,
    /// A leaf receives no requests after it registered as leaving, save for a short grace period.
    NoRequestAfterLeaving,
    /// A leaf receives no requests from a gateway that it told that it is leaving.
    NoRequestAfterNotice,
    /// A leaf receives no requests from a gateway that it asked for a pause, until the pause is
    /// over.
    PauseObserved,
    /// A leaf receives no more requests from all gateways together than its limit allows.
    LimitObserved,
    /// A request that crashes the leaves that run it reaches few of them.
    FewCrashes,
    /// Leaves get no keys and no `Authorization`, and logs contain no keys.
    KeyHidden,
    /// Leaves get the name of the tenant that holds the key of a request.
    TenantNamed,
    /// No request runs with an unknown key or with one that was revoked for too long.
    KeysObserved,
    /// No more requests of a tenant run than its quota allows.
    QuotaObserved,
    /// A leaf receives no requests while its failure domain is evacuated.
    EvacuationObserved,
    /// A gateway applies a version of the routes in time.
    TimelyApply,
    /// A process never returns to an older version of the routes.
    MonotonicVersions,
    /// A process exits only when requested, and with success.
    CleanExit,
    /// A gateway that has lost its links to all leaves serves its requests through other gateways.
    ServedWithoutLinks,
    /// All requests are served after the faults have ended.
    Recovery,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The broken promise.
    pub promise: Promise,
    /// When it was broken, from the start of the run.
    pub at: Duration,
    /// What was observed.
    pub detail: String,
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    /// Requests whose status promises that they have not run and never will.
    refused: usize,
    /// Requests with another error status or a wrong reply.
    failed: usize,
    /// Requests without a whole reply.
    lost: usize,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// Broken promises; empty if all held.
    pub violations: Vec<Violation>,
    seed: u64,
    schedule: Schedule,
    counts: Vec<(Kind, Counts)>,
    /// Folder with settings and logs, which is kept only if a promise was broken.
    folder: Option<PathBuf>,
    /// Numbers of gateways, shards and callers.
    size: (usize, usize, usize),
}

impl Report {
    /// Creates a report and keeps the folder of the cluster if a promise was broken.
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
    /// Counts the outcomes of requests.
    fn of<'a>(requests: impl Iterator<Item = &'a Exchange>) -> Counts {
        let mut counts = Counts::default();
        for request in requests {
            counts.sent += 1;
            match &request.outcome {
                outcome if outcome.is_success() => counts.served += 1,
                outcome if outcome.is_refusal() => counts.refused += 1,
                Outcome::Status(_) | Outcome::WrongReply(_) => counts.failed += 1,
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
