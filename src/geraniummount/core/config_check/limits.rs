//! Limits that contradict each other.

use super::{Candidate, Finding, Kind};

pub(super) fn check(candidate: &Candidate) -> Vec<Finding> {
    let table = &candidate.table;
    let mut findings = Vec::new();
    for route in table.routes() {
        if route.target_latency > route.timeout {
            let message = format!(
                "the target latency is {} ms, over the timeout of {} ms; lower it",
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
            "has a burst but no rate, and is not limited; set a rate, or remove the burst";
        findings.push(Finding::new(Kind::BurstWithoutRate, object, message));
    }
    if table.limits.max_body_bytes == 0 {
        let message =
            "the maximum size of a body is 0, so requests with one are rejected; raise it";
        findings.push(Finding::new(Kind::NoBody, "limits", message));
    }
    for service in table.services() {
        if service
            .warm_up
            .is_some_and(|warm_up| warm_up.duration.is_zero())
        {
            let object = format!("service {}", service.name);
            let message =
                "has a warm-up rate but no slow start; set the slow start, or remove the rate";
            findings.push(Finding::new(Kind::WarmUpWithoutSlowStart, object, message));
        }
    }
    findings
}
