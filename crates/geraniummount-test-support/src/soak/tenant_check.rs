//! Checks keys, quotas and evacuations by what callers and leaves saw.

use std::time::{Duration, Instant};

use super::catalog::lock;
use super::cluster::Cluster;
use super::exchange::{Exchange, Outcome};
use super::notice::vm_of;
use super::report::{Promise, Violation};
use super::tenant::{self, Directory, Quota, Tenant};

/// Time after which a lowered quota binds, if all gateways are in touch with the store.
const APPLY: Duration = Duration::from_secs(5);

/// Time before a request that reached an evacuated leaf, in which no fault may have disturbed its
/// gateway or the leaf.
const SETTLE_DELAY: Duration = Duration::from_secs(4);

/// Interval at which the time is searched from which a lowered quota binds.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the broken promises of a run with tenants. `requests` are those of all callers, sorted
/// by id.
pub(super) fn violations(cluster: &Cluster, requests: &[&Exchange]) -> Vec<Violation> {
    let Some(directory) = lock(&cluster.catalog.tenants).clone() else {
        return Vec::new();
    };
    let mut check = Check {
        cluster,
        requests,
        directory,
        violations: Vec::new(),
    };
    check.check_heads();
    check.check_logs();
    let ran = check.requests_that_ran();
    ran.iter().for_each(|request| check.check_key(request));
    for index in 0..check.directory.quotas.len() {
        check.check_quota(check.directory.quotas[index], &ran);
    }
    check.check_evacuations();
    check.violations
}

struct Check<'a> {
    cluster: &'a Cluster,
    requests: &'a [&'a Exchange],
    directory: Directory,
    violations: Vec<Violation>,
}

impl<'a> Check<'a> {
    fn add(&mut self, promise: Promise, at: Instant, detail: String) {
        self.violations.push(Violation {
            promise,
            at: at.saturating_duration_since(self.cluster.started_at),
            detail,
        });
    }

    /// Returns the request of a caller with this id.
    fn request(&self, id: &str) -> Option<&'a Exchange> {
        let found = self.requests.binary_search_by(|r| r.id.as_str().cmp(id));
        found.ok().map(|index| self.requests[index])
    }

    /// Returns the requests of callers that leaves ran, by the time of sending.
    fn requests_that_ran(&self) -> Vec<&'a Exchange> {
        let leaves = self.cluster.leaves.iter();
        let mut ids: Vec<String> = leaves
            .flat_map(|leaf| leaf.all_runs())
            .map(|run| run.id)
            .collect();
        ids.sort_unstable();
        ids.dedup();
        let ran = ids.iter().filter_map(|id| self.request(id));
        let mut ran: Vec<&Exchange> = ran.collect();
        ran.sort_by_key(|request| request.sent_at);
        ran
    }

    /// Checks that leaves get no keys, and the names of the tenants that hold them.
    fn check_heads(&mut self) {
        let leaves = self.cluster.leaves.iter().enumerate();
        let heads: Vec<_> = leaves
            .flat_map(|(leaf, proxied)| proxied.all_heads().into_iter().map(move |h| (leaf, h)))
            .collect();
        for (leaf, head) in heads {
            let values = |wanted: &str| -> Vec<&str> {
                let named = head.iter().filter(|(n, _)| n.eq_ignore_ascii_case(wanted));
                named.map(|(_, value)| value.as_str()).collect()
            };
            let id = values("Request-Id").first().copied().unwrap_or_default();
            let request = self.request(id);
            let at = request.map_or(self.cluster.started_at, |request| request.sent_at);
            let has_key = head.iter().any(|(_, v)| v.contains(tenant::KEY_PREFIX));
            if has_key || !values("Authorization").is_empty() {
                let detail = format!("leaf {leaf} got a key or Authorization with {id}: {head:?}");
                self.add(Promise::KeyHidden, at, detail);
            }
            let key = request.and_then(|request| request.key.as_deref());
            let holder = key.and_then(|key| self.directory.key(key));
            let expected: Vec<&str> = match holder {
                Some(key) => vec![tenant::name(key.tenant)],
                // The start-up check and the request that crashes leaves have the steady key.
                None if id == "warm-up" || id.contains("-crash-") => vec![tenant::name(0)],
                None => Vec::new(),
            };
            let named = values("Tenant");
            if named != expected {
                let detail = format!("leaf {leaf} got {id} with {named:?}, not {expected:?}");
                self.add(Promise::TenantNamed, at, detail);
            }
        }
    }

    /// Checks that no gateway logged a key.
    fn check_logs(&mut self) {
        for number in 0..self.cluster.vms.len() {
            let log = self.cluster.vms[number].log();
            if let Some(line) = log.lines().find(|line| line.contains(tenant::KEY_PREFIX)) {
                let detail = format!("vm{number} logged: {line}");
                self.add(Promise::KeyHidden, self.cluster.started_at, detail);
            }
        }
    }

    /// Checks that a request that ran had a key that was not revoked for too long. This binds all
    /// gateways, so no fault excuses it.
    fn check_key(&mut self, request: &Exchange) {
        let (id, vm) = (&request.id, request.vm);
        if request.outcome == Outcome::Status(401) {
            let detail = format!("{id} at vm{vm} was answered with 401 but ran");
            self.add(Promise::RejectedNotRun, request.ended_at, detail);
        }
        let text = request.key.as_deref().unwrap_or_default();
        let Some(key) = self.directory.key(text) else {
            let detail = format!("{id} at vm{vm} ran with the unknown key {text:?}");
            return self.add(Promise::KeysObserved, request.sent_at, detail);
        };
        let Some(revoked_at) = key.revoked_at else {
            return;
        };
        let late = request.sent_at.saturating_duration_since(revoked_at);
        if late > Duration::from_millis(tenant::REVOKE_MS) {
            let detail = format!(
                "{id} at vm{vm} ran with {text}, sent {late:?} after its revocation at {:?}; {:?}",
                revoked_at.saturating_duration_since(self.cluster.started_at),
                request.outcome
            );
            self.add(Promise::KeysObserved, request.sent_at, detail);
        }
    }

    /// Checks the windows that begin when the former quota of the tenant binds no more, and later.
    fn check_quota(&mut self, quota: Quota, ran: &[&Exchange]) {
        let Some(binding_from) = self.binding_from(quota) else {
            return;
        };
        let window = Duration::from_secs_f64(tenant::QUOTA_WINDOW_S);
        let allowed = quota.rate * tenant::QUOTA_WINDOW_S + quota.rate;
        let allowed = allowed * (1.0 + tenant::QUOTA_OVER) + tenant::QUOTA_SLACK;
        let times = self.times_of(quota.tenant, ran, binding_from);
        for (index, end) in times.iter().enumerate() {
            let first = times.partition_point(|at| *at + window < *end);
            let count = index + 1 - first;
            if count as f64 > allowed {
                let (name, rate) = (tenant::name(quota.tenant), quota.rate);
                let detail = format!(
                    "{count} requests of {name} ran, {allowed:.1} allowed at {rate:.2} a second"
                );
                return self.add(Promise::QuotaObserved, *end, detail);
            }
        }
    }

    fn times_of(&self, tenant: Tenant, ran: &[&Exchange], from: Instant) -> Vec<Instant> {
        let is_of = |request: &&&Exchange| {
            let key = request.key.as_deref();
            let key = key.and_then(|key| self.directory.key(key));
            key.is_some_and(|key| key.tenant == tenant) && request.sent_at >= from
        };
        let of = ran.iter().filter(is_of);
        of.map(|request| request.sent_at).collect()
    }

    /// Returns when each gateway has been in touch with the store for [`APPLY`] since the quota was
    /// set; `None` if that was not before the end of the run.
    fn binding_from(&self, quota: Quota) -> Option<Instant> {
        let former = self.directory.quotas.iter().filter(|other| {
            other.tenant == quota.tenant && other.rate > quota.rate && other.lowered_at.is_some()
        });
        let Some(lowered_at) = former.filter_map(|other| other.lowered_at).max() else {
            return Some(self.cluster.started_at);
        };
        let end = self.requests.iter().map(|request| request.ended_at).max()?;
        let applied_at = |vm| {
            let mut at = lowered_at + APPLY;
            let disturbances = &self.cluster.disturbances;
            while !disturbances.is_vm_undisturbed(vm, at - APPLY, at) && at < end {
                at += SEARCH_INTERVAL;
            }
            at
        };
        let applied_at = (0..self.cluster.vms.len()).map(applied_at).max()?;
        (applied_at < end).then_some(applied_at)
    }

    /// Checks that leaves of an evacuated domain get no requests through gateways that are in touch
    /// with the store.
    fn check_evacuations(&mut self) {
        let cluster = self.cluster;
        for evacuation in &cluster.evacuations {
            let due = evacuation.from + Duration::from_millis(tenant::EVACUATE_MS);
            let leaves = cluster.leaves.iter().enumerate();
            for (leaf, proxied) in leaves.filter(|(_, leaf)| leaf.domain == evacuation.domain) {
                for run in proxied.all_arrivals() {
                    let is_late = run.arrived > due
                        && evacuation.until.is_none_or(|until| run.arrived < until);
                    let Some(vm) = vm_of(self.requests, &run.id).filter(|_| is_late) else {
                        continue;
                    };
                    let vm = cluster.sender(proxied, &run, vm);
                    let from = run.arrived.checked_sub(SETTLE_DELAY).unwrap_or(run.arrived);
                    let disturbances = &cluster.disturbances;
                    if disturbances.is_vm_undisturbed(vm, from, run.arrived)
                        && disturbances.is_leaf_undisturbed(leaf, from, run.arrived)
                    {
                        let late = run.arrived.saturating_duration_since(evacuation.from);
                        let detail = format!(
                            "leaf {leaf} got {} through vm{vm} {late:?} after the evacuation of {}",
                            run.id, evacuation.domain
                        );
                        self.add(Promise::EvacuationObserved, run.arrived, detail);
                    }
                }
            }
        }
    }
}
