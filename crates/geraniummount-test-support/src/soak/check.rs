//! Checks the promises against the history of the callers and the requests that leaves ran.

use std::time::{Duration, Instant};

use super::FINAL_CHECK_DURATION;
use super::caller::History;
use super::catalog::lock;
use super::cluster::Cluster;
use super::exchange::{Exchange, Outcome};
use super::fault::LostLinks;
use super::kind::Kind;
use super::report::{Promise, Violation};
use super::{crash, limit, notice, tenant_check};
use crate::platform::users::Run;

/// Time for which a leaf may still receive requests after it registered as leaving.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Time after its write within which a gateway has to apply a version.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time before a request, or before a request to stop, in which a fault may still affect it.
const FAULT_MARGIN: Duration = Duration::from_secs(1);

/// Time in which a gateway finds out that it has lost its links, after the first request that
/// fails.
const DETECTION_TIME: Duration = Duration::from_millis(500);

/// Time after which a gateway without links to leaves has its requests served by others.
const LOST_LINKS_CONTACT: Duration = Duration::from_secs(2);

/// Time without a fault after which the time bounds of the promises apply again.
const SETTLE_DELAY: Duration = Duration::from_secs(4);

/// A request that a leaf ran.
struct Execution {
    id: String,
    service: String,
    /// Index of the leaf.
    leaf: usize,
    /// When the leaf registered as leaving; `None` if it has not.
    leaving_since: Option<Instant>,
    /// When the leaf received it.
    at: Instant,
    /// The run at the leaf, which names its connection.
    run: Run,
}

/// Stops the gateways, checks all promises and returns the violations.
pub fn stop_and_check(cluster: &mut Cluster, history: &History) -> Vec<Violation> {
    let ended = Instant::now();
    cluster.stop_gateways();
    let executions = executions(cluster);
    let mut requests: Vec<&Exchange> = history.requests.iter().collect();
    requests.sort_by(|a, b| a.id.cmp(&b.id));
    let check = Check {
        cluster,
        requests,
        violations: Vec::new(),
    };
    check.run(history, &executions, ended)
}

/// Returns all requests that leaves ran, sorted by id.
fn executions(cluster: &Cluster) -> Vec<Execution> {
    let mut executions = Vec::new();
    for (leaf, proxied_leaf) in cluster.leaves.iter().enumerate() {
        executions.extend(proxied_leaf.all_runs().into_iter().map(|run| Execution {
            id: run.id.clone(),
            service: proxied_leaf.identity().service.clone(),
            leaf,
            leaving_since: proxied_leaf.leaving_since,
            at: run.arrived,
            run,
        }));
    }
    executions.sort_by(|a, b| a.id.cmp(&b.id));
    executions
}

/// A check of one run.
struct Check<'a> {
    cluster: &'a Cluster,
    /// Requests of all callers, sorted by id.
    requests: Vec<&'a Exchange>,
    violations: Vec<Violation>,
}

impl Check<'_> {
    fn run(
        mut self,
        history: &History,
        executions: &[Execution],
        ended: Instant,
    ) -> Vec<Violation> {
        for request in self.requests.clone() {
            let from = executions.partition_point(|execution| execution.id < request.id);
            let to = executions.partition_point(|execution| execution.id <= request.id);
            self.check_request(request, &executions[from..to]);
            self.check_recovery(request, ended);
            self.check_lost_links(request);
        }
        for execution in executions {
            self.check_execution(execution);
        }
        let ignored = notice::ignored_notices(self.cluster, &self.requests);
        self.violations.extend(ignored);
        self.violations
            .extend(crash::repeated_crashes(self.cluster));
        let exceeded = limit::exceeded_limits(self.cluster, &self.requests);
        self.violations.extend(exceeded);
        let broken = tenant_check::violations(self.cluster, &self.requests);
        self.violations.extend(broken);
        self.check_versions(history);
        self.check_exits();
        self.check_logs();
        self.violations
    }

    /// Records a violation of a promise.
    fn add_violation(&mut self, promise: Promise, at: Instant, detail: String) {
        self.violations.push(Violation {
            promise,
            at: at.saturating_duration_since(self.cluster.started_at),
            detail,
        });
    }

    /// Checks the outcome of a request against the leaves that ran it.
    fn check_request(&mut self, request: &Exchange, executions: &[Execution]) {
        let (id, count) = (&request.id, executions.len());
        if let Outcome::WrongReply(fault) = &request.outcome {
            let detail = format!("{id} ({:?}): {fault}", request.kind);
            self.add_violation(Promise::CorrectReply, request.ended_at, detail);
        }
        if request.kind == Kind::Order && count > 1 {
            let detail = format!("{id} ran {count} times");
            self.add_violation(Promise::AtMostOnce, request.sent_at, detail);
        }
        if request.outcome.is_refusal() && count > 0 {
            let detail = format!(
                "{id} ({:?}) was rejected but ran {count} times",
                request.kind
            );
            self.add_violation(Promise::RejectedNotRun, request.ended_at, detail);
        }
        if matches!(request.outcome, Outcome::ConnectionLost | Outcome::TimedOut) && count > 0 {
            self.check_lost_reply(request, executions);
        }
    }

    /// Checks that a request that a leaf ran gets a reply, also while the VM stops and while
    /// the store is unavailable. Only faults of the VM's process, of its links and of the
    /// leaf excuse a loss.
    fn check_lost_reply(&mut self, request: &Exchange, executions: &[Execution]) {
        let from = request
            .sent_at
            .checked_sub(FAULT_MARGIN)
            .unwrap_or(request.sent_at);
        let disturbances = &self.cluster.disturbances;
        let mut leaves = executions.iter().map(|execution| execution.leaf);
        let is_undisturbed =
            disturbances.is_process_undisturbed(request.vm, from, request.ended_at)
                && disturbances.has_links(request.vm, from, request.ended_at)
                && leaves
                    .all(|leaf| disturbances.is_leaf_undisturbed(leaf, from, request.ended_at));
        if is_undisturbed {
            let detail = format!("{} at vm{}: {:?}", request.id, request.vm, request.outcome);
            self.add_violation(Promise::NoLostReply, request.ended_at, detail);
        }
    }

    /// Checks that a request sent in the last [`FINAL_CHECK_DURATION`] of the run is served, unless
    /// a recent fault affected the gateway.
    fn check_recovery(&mut self, request: &Exchange, ended: Instant) {
        let is_in_final_check =
            request.sent_at + FINAL_CHECK_DURATION >= ended && request.ended_at <= ended;
        let from = request
            .sent_at
            .checked_sub(SETTLE_DELAY)
            .unwrap_or(request.sent_at);
        let is_undisturbed = self
            .cluster
            .disturbances
            .is_vm_undisturbed(request.vm, from, ended);
        let is_served = request.outcome.is_success() || self.may_refuse(request);
        if is_in_final_check && is_undisturbed && !is_served {
            let detail = format!("{} at vm{}: {:?}", request.id, request.vm, request.outcome);
            self.add_violation(Promise::Recovery, request.ended_at, detail);
        }
    }

    /// Returns whether a request may be refused also without a fault, because of its key or the
    /// quota of its tenant.
    fn may_refuse(&self, request: &Exchange) -> bool {
        let tenants = lock(&self.cluster.catalog.tenants);
        tenants.as_ref().is_some_and(|all| all.may_refuse(request))
    }

    /// Checks that a request at a gateway that has lost its links to all leaves for
    /// [`LOST_LINKS_CONTACT`] is served, unless another fault is recent.
    fn check_lost_links(&mut self, request: &Exchange) {
        if request.outcome.is_success() || self.may_refuse(request) {
            return;
        }
        let before = |time| request.sent_at.checked_sub(time).unwrap_or(request.sent_at);
        let (lost_from, settled_from) = (before(LOST_LINKS_CONTACT), before(SETTLE_DELAY));
        let disturbances = &self.cluster.disturbances;
        let Some((loss, kind)) = disturbances.lost_links(request.vm, lost_from, request.ended_at)
        else {
            return;
        };
        let is_settled = disturbances.has_only_lost_links(settled_from, request.ended_at);
        let reveals_loss = kind == LostLinks::CloseNew && self.reveals_loss(request, loss.from);
        if is_settled && !reveals_loss {
            let detail = format!("{} at vm{}: {:?}", request.id, request.vm, request.outcome);
            self.add_violation(Promise::ServedWithoutLinks, request.ended_at, detail);
        }
    }

    /// Returns whether a request that may have run shows its gateway that only new connections
    /// fail.
    ///
    /// The gateway finds that out with the first requests that need one. The connection is accepted
    /// before it is closed, so that the leaf may have run the request.
    fn reveals_loss(&self, request: &Exchange, lost_from: Instant) -> bool {
        let is_earlier = |other: &&Exchange| {
            other.vm == request.vm
                && other.outcome == Outcome::Status(502)
                && other.ended_at >= lost_from
                && other.ended_at + DETECTION_TIME < request.sent_at
        };
        let is_known = || self.requests.iter().any(is_earlier);
        request.outcome == Outcome::Status(502) && !is_known()
    }

    /// Checks that a caller sent the request that a leaf ran, and for this service.
    fn check_execution(&mut self, execution: &Execution) {
        // Requests of the start-up check and of the version prober are not in the history.
        if matches!(execution.id.as_str(), "warm-up" | "look") {
            return;
        }
        let found = self
            .requests
            .binary_search_by(|request| request.id.cmp(&execution.id));
        let Ok(index) = found else {
            let detail = format!(
                "'{}' ran at {}, but no caller sent it",
                execution.id, execution.service
            );
            return self.add_violation(Promise::OnlyRequested, execution.at, detail);
        };
        let request = self.requests[index];
        let belongs = match request.kind {
            Kind::Search => execution.service.starts_with("shard-"),
            Kind::Lookup => execution.service == "lookup",
            Kind::Order => execution.service == "orders",
        };
        if !belongs {
            let detail = format!(
                "{} ({:?}) ran at the wrong service {}",
                execution.id, request.kind, execution.service
            );
            self.add_violation(Promise::OnlyRequested, execution.at, detail);
        }
        let leaf = &self.cluster.leaves[execution.leaf];
        let sender = self.cluster.sender(leaf, &execution.run, request.vm);
        self.check_leaving(execution, sender);
    }

    /// Checks that a leaf received no request later than [`LEAVING_GRACE`] after it registered as
    /// leaving, unless a recent fault affected the gateway `vm` that sent the request. An older
    /// copy of the store is such a fault only if the gateway could not know that the leaf is
    /// leaving.
    fn check_leaving(&mut self, execution: &Execution, vm: usize) {
        let Some(leaving_since) = execution.leaving_since else {
            return;
        };
        let from = execution
            .at
            .checked_sub(SETTLE_DELAY)
            .unwrap_or(execution.at);
        let disturbances = &self.cluster.disturbances;
        let known_by = leaving_since + LEAVING_GRACE;
        let was_told = disturbances.is_vm_undisturbed(vm, leaving_since, known_by)
            && self
                .cluster
                .is_running_since(vm, leaving_since, execution.at);
        let is_excused = !was_told && disturbances.has_copy(leaving_since, execution.at);
        let is_undisturbed =
            disturbances.is_vm_undisturbed_save_copies(vm, from, execution.at) && !is_excused;
        if execution.at > known_by && is_undisturbed {
            let late = execution.at.saturating_duration_since(leaving_since);
            let detail = format!(
                "{} reached a leaf {late:?} after it registered as leaving, through vm{vm}",
                execution.id
            );
            self.add_violation(Promise::NoRequestAfterLeaving, execution.at, detail);
        }
    }

    /// Checks that each gateway applies a version in time and never returns to an older one.
    fn check_versions(&mut self, history: &History) {
        let written = lock(&self.cluster.catalog.versions).clone();
        for vm in 0..self.cluster.vms.len() {
            let mut newest: Option<(u64, Instant)> = None;
            for probe in history.probes.iter().filter(|probe| probe.vm == vm) {
                let starts = self
                    .cluster
                    .starts
                    .iter()
                    .filter(|(number, _)| *number == vm);
                let start = starts.map(|(_, at)| *at).rfind(|at| *at <= probe.at);
                // A restarted gateway may have to read the versions again. What its previous
                // process applied does not count.
                newest = newest.filter(|(_, at)| start.is_some_and(|start| start <= *at));
                match probe.found {
                    Some(true) => newest = Some((probe.version, probe.at)),
                    Some(false) if newest.is_some_and(|(version, _)| version >= probe.version) => {
                        let detail = format!("vm{vm} no longer applies version {}", probe.version);
                        self.add_violation(Promise::MonotonicVersions, probe.at, detail);
                    }
                    Some(false) => self.check_in_force(vm, probe.version, probe.at, &written),
                    None => {}
                }
            }
        }
    }

    /// Checks that a version that a gateway does not apply was written at most [`APPLY_TIMEOUT`]
    /// ago, unless a recent fault affected the gateway.
    fn check_in_force(&mut self, vm: usize, version: u64, at: Instant, written: &[(u64, Instant)]) {
        let Ok(index) = written.binary_search_by_key(&version, |(number, _)| *number) else {
            return;
        };
        let (_, since) = written[index];
        let from = at.checked_sub(SETTLE_DELAY).unwrap_or(at);
        if at > since + APPLY_TIMEOUT && self.cluster.disturbances.is_vm_undisturbed(vm, from, at) {
            let age = at.saturating_duration_since(since);
            let detail = format!("vm{vm} does not apply version {version} {age:?} after its write");
            self.add_violation(Promise::TimelyApply, at, detail);
        }
    }

    /// Checks that a gateway exits only when requested, and with success unless a fault affected
    /// it.
    fn check_exits(&mut self) {
        for exit in self.cluster.exits.clone() {
            let from = exit.stop_requested_at.unwrap_or(exit.at);
            let from = from.checked_sub(FAULT_MARGIN).unwrap_or(from);
            let is_undisturbed = self
                .cluster
                .disturbances
                .is_process_undisturbed(exit.vm, from, exit.at);
            let is_expected = exit.is_killed || exit.stop_requested_at.is_some();
            if !is_expected || (is_undisturbed && !exit.is_killed && !exit.is_success) {
                let detail = format!(
                    "vm{} exited unexpectedly or with a failure: {exit:?}",
                    exit.vm
                );
                self.add_violation(Promise::CleanExit, exit.at, detail);
            }
        }
    }

    /// Checks that no gateway logged a panic.
    fn check_logs(&mut self) {
        for number in 0..self.cluster.vms.len() {
            let log = self.cluster.vms[number].log();
            if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
                let detail = format!("vm{number}: {line}");
                self.add_violation(Promise::CleanExit, self.cluster.started_at, detail);
            }
        }
    }
}
