//! Limits that contradict each other.

use super::{Candidate, Finding, Kind};

pub(super) fn check(candidate: &Candidate) -> Vec<Finding> {
    let table = &candidate.table;
    let mut findings = Vec::new();
    for route in table.routes() {
        if route.target_latency > route.timeout {
            let message = format!(
                "targetLatencyMs is {}, over timeoutMs {}; lower it",
                route.target_latency.as_millis(),
                route.timeout.as_millis()
            );
            let object = format!("route {}", route.name);
            findings.push(Finding::new(Kind::TargetOverTimeout, object, message));
        }
    }
    for tenant in &candidate.bursts_without_rate {
        let object = format!("tenant {tenant}");
        let message =
            "has a burst but no ratePerS, and is not limited; set ratePerS, or remove burst";
        findings.push(Finding::new(Kind::BurstWithoutRate, object, message));
    }
    if table.limits.max_body_bytes == 0 {
        let message = "maxBodyBytes is 0, so requests with a body are rejected; raise it";
        findings.push(Finding::new(Kind::NoBody, "limits", message));
    }
    for service in table.services() {
        if service
            .warm_up
            .is_some_and(|warm_up| warm_up.duration.is_zero())
        {
            let object = format!("service {}", service.name);
            let message = "has warmupPerS but no slowStartS; set slowStartS, or remove warmupPerS";
            findings.push(Finding::new(Kind::WarmUpWithoutSlowStart, object, message));
        }
    }
    findings
}
