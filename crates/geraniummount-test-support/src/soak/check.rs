//! The promises, checked against what callers saw and leaves ran.

use std::time::{Duration, Instant};

use super::CALM;
use super::caller::Seen;
use super::kind::Kind;
use super::known::lock;
use super::report::{Promise, Violation};
use super::request::{Outcome, Sent};
use super::world::World;

/// Time for which a leaf may get requests after it registered as leaving.
const LEAVING: Duration = Duration::from_secs(3);

/// Time in which a version has to be in force.
const APPLY: Duration = Duration::from_secs(3);

/// Time before a request in which a fault may still touch it.
const JUST_BEFORE: Duration = Duration::from_secs(1);

/// Time without a fault after which bounds of time hold again.
const IN_TOUCH: Duration = Duration::from_secs(4);

/// A request that a leaf ran.
struct Run {
    id: String,
    service: String,
    /// Number of its leaf.
    leaf: usize,
    /// When its leaf registered as leaving.
    leaves_at: Option<Instant>,
    at: Instant,
}

/// Stops the gateways and checks all promises.
pub fn all(world: &mut World, seen: &Seen) -> Vec<Violation> {
    let ended = Instant::now();
    world.stop();
    let runs = runs(world);
    let mut requests: Vec<&Sent> = seen.requests.iter().collect();
    requests.sort_by(|a, b| a.id.cmp(&b.id));
    let check = Check {
        world,
        requests,
        violations: Vec::new(),
    };
    check.run(seen, &runs, ended)
}

/// All requests that leaves ran, sorted by id.
fn runs(world: &World) -> Vec<Run> {
    let mut runs = Vec::new();
    for (leaf, member) in world.members.iter().enumerate() {
        runs.extend(member.all_runs().into_iter().map(|run| Run {
            id: run.id,
            service: member.identity().service.clone(),
            leaf,
            leaves_at: member.leaves_at,
            at: run.arrived,
        }));
    }
    runs.sort_by(|a, b| a.id.cmp(&b.id));
    runs
}

struct Check<'a> {
    world: &'a World,
    /// Sorted by id.
    requests: Vec<&'a Sent>,
    violations: Vec<Violation>,
}

impl Check<'_> {
    fn run(mut self, seen: &Seen, runs: &[Run], ended: Instant) -> Vec<Violation> {
        for request in self.requests.clone() {
            let from = runs.partition_point(|run| run.id < request.id);
            let to = runs.partition_point(|run| run.id <= request.id);
            self.check_request(request, &runs[from..to]);
            self.check_recovery(request, ended);
        }
        for run in runs {
            self.check_run(run);
        }
        self.check_versions(seen);
        self.check_exits();
        self.check_logs();
        self.violations
    }

    fn note(&mut self, promise: Promise, at: Instant, detail: String) {
        self.violations.push(Violation {
            promise,
            at: at.saturating_duration_since(self.world.started),
            detail,
        });
    }

    fn check_request(&mut self, request: &Sent, runs: &[Run]) {
        let (id, count) = (&request.id, runs.len());
        if let Outcome::Wrong(fault) = &request.outcome {
            let detail = format!("{id} ({:?}): {fault}", request.kind);
            self.note(Promise::OwnReply, request.ended, detail);
        }
        if request.kind == Kind::Order && count > 1 {
            let detail = format!("{id} ran {count} times");
            self.note(Promise::OnceAtMost, request.sent, detail);
        }
        if request.outcome.is_refusal() && count > 0 {
            let detail = format!(
                "{id} ({:?}) was refused and ran {count} times",
                request.kind
            );
            self.note(Promise::NotRun, request.ended, detail);
        }
        if matches!(request.outcome, Outcome::Cut | Outcome::Silence) && count > 0 {
            self.check_cut(request, runs);
        }
    }

    /// A request that a leaf ran is answered, also while its VM stops and
    /// whatever becomes of the store.
    fn check_cut(&mut self, request: &Sent, runs: &[Run]) {
        let from = request
            .sent
            .checked_sub(JUST_BEFORE)
            .unwrap_or(request.sent);
        let span = &self.world.disturbances;
        let mut leaves = runs.iter().map(|run| run.leaf);
        let is_calm = span.runs(request.vm, from, request.ended)
            && leaves.all(|leaf| span.is_leaf_calm(leaf, from, request.ended));
        if is_calm {
            let detail = format!("{} at vm{}: {:?}", request.id, request.vm, request.outcome);
            self.note(Promise::NothingCutOff, request.ended, detail);
        }
    }

    fn check_recovery(&mut self, request: &Sent, ended: Instant) {
        let is_late = request.sent + CALM >= ended && request.ended <= ended;
        let from = request.sent.checked_sub(IN_TOUCH).unwrap_or(request.sent);
        let is_calm = self.world.disturbances.is_calm(request.vm, from, ended);
        if is_late && is_calm && !request.outcome.is_success() {
            let detail = format!("{} at vm{}: {:?}", request.id, request.vm, request.outcome);
            self.note(Promise::Recovery, request.ended, detail);
        }
    }

    fn check_run(&mut self, run: &Run) {
        if matches!(run.id.as_str(), "warm-up" | "look") {
            return;
        }
        let found = self
            .requests
            .binary_search_by(|request| request.id.cmp(&run.id));
        let Ok(place) = found else {
            let detail = format!("'{}' ran at {}", run.id, run.service);
            return self.note(Promise::Asked, run.at, detail);
        };
        let request = self.requests[place];
        let belongs = match request.kind {
            Kind::Search => run.service.starts_with("shard-"),
            Kind::Lookup => run.service == "lookup",
            Kind::Order => run.service == "orders",
        };
        if !belongs {
            let detail = format!("{} ({:?}) ran at {}", run.id, request.kind, run.service);
            self.note(Promise::Asked, run.at, detail);
        }
        self.check_leaving(run, request.vm);
    }

    fn check_leaving(&mut self, run: &Run, vm: usize) {
        let Some(leaves_at) = run.leaves_at else {
            return;
        };
        let from = run.at.checked_sub(IN_TOUCH).unwrap_or(run.at);
        let is_calm = self.world.disturbances.is_calm(vm, from, run.at);
        if run.at > leaves_at + LEAVING && is_calm {
            let late = run.at.saturating_duration_since(leaves_at);
            let detail = format!(
                "{} reached a leaf {late:?} after it left, by vm{vm}",
                run.id
            );
            self.note(Promise::LeavingLeftAlone, run.at, detail);
        }
    }

    fn check_versions(&mut self, seen: &Seen) {
        let written = lock(&self.world.known.versions).clone();
        for vm in 0..self.world.vms.len() {
            let mut newest: Option<(u64, Instant)> = None;
            for look in seen.looks.iter().filter(|look| look.vm == vm) {
                let starts = self.world.starts.iter().filter(|(number, _)| *number == vm);
                let start = starts.map(|(_, at)| *at).rfind(|at| *at <= look.at);
                // Another process may answer than the one that answered before.
                newest = newest.filter(|(_, at)| start.is_some_and(|start| start <= *at));
                match look.found {
                    Some(true) => newest = Some((look.version, look.at)),
                    Some(false) if newest.is_some_and(|(version, _)| version >= look.version) => {
                        let detail = format!("vm{vm} forgot version {}", look.version);
                        self.note(Promise::NoReversion, look.at, detail);
                    }
                    Some(false) => self.check_in_force(vm, look.version, look.at, &written),
                    None => {}
                }
            }
        }
    }

    fn check_in_force(&mut self, vm: usize, version: u64, at: Instant, written: &[(u64, Instant)]) {
        let Ok(place) = written.binary_search_by_key(&version, |(number, _)| *number) else {
            return;
        };
        let (_, since) = written[place];
        let from = at.checked_sub(IN_TOUCH).unwrap_or(at);
        if at > since + APPLY && self.world.disturbances.is_calm(vm, from, at) {
            let age = at.saturating_duration_since(since);
            let detail = format!("vm{vm} does not know version {version} after {age:?}");
            self.note(Promise::InForce, at, detail);
        }
    }

    fn check_exits(&mut self) {
        for exit in self.world.exits.clone() {
            let from = exit.told.unwrap_or(exit.at);
            let from = from.checked_sub(JUST_BEFORE).unwrap_or(from);
            let is_calm = self.world.disturbances.runs(exit.vm, from, exit.at);
            let is_expected = exit.killed || exit.told.is_some();
            if !is_expected || (is_calm && !exit.killed && !exit.success) {
                let detail = format!("vm{} ended: {exit:?}", exit.vm);
                self.note(Promise::EndsWell, exit.at, detail);
            }
        }
    }

    fn check_logs(&mut self) {
        for number in 0..self.world.vms.len() {
            let log = self.world.vms[number].log();
            if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
                let detail = format!("vm{number}: {line}");
                self.note(Promise::EndsWell, self.world.started, detail);
            }
        }
    }
}
