//! Errors in routes and services.

use super::{Finding, Kind};
use crate::core::route::{Gather, Route, Table, Target};

pub(super) fn check(table: &Table) -> Vec<Finding> {
    let pairs = table.services().windows(2);
    let repeated = pairs.filter(|pair| pair[0].name == pair[1].name);
    let mut findings: Vec<Finding> = repeated
        .map(|pair| {
            let object = format!("service {}", pair[0].name);
            Finding::new(
                Kind::RepeatedService,
                object,
                "is listed twice; remove one entry",
            )
        })
        .collect();
    for route in table.routes() {
        check_route(table, route, &mut findings);
    }
    findings
}

fn check_route(table: &Table, route: &Route, findings: &mut Vec<Finding>) {
    let mut add = |kind: Kind, message: String| {
        findings.push(Finding::new(kind, format!("route {}", route.name), message));
    };
    let mut services = route.target.services();
    services.sort_unstable();
    services.dedup();
    for service in services {
        if table.max_connections(service).is_none() {
            let message =
                format!("names service {service}, which is not listed; add it to services");
            add(Kind::UnknownService, message);
        }
    }
    if route.max_attempts == 0 {
        let message = "the number of attempts is 0; use 1 or more".to_string();
        add(Kind::NoAttempts, message);
    }
    match &route.target {
        Target::Gather(gather) => check_gather(gather, add),
        Target::Split(parts) if parts.iter().all(|part| part.weight <= 0.0) => {
            let message = "no part of the split has a positive weight; set one".to_string();
            add(Kind::SplitWithoutWeight, message);
        }
        Target::Service(_) | Target::Split(_) => {}
    }
}

fn check_gather(gather: &Gather, mut add: impl FnMut(Kind, String)) {
    let mut shards: Vec<_> = gather.shards.iter().collect();
    shards.sort_unstable();
    if shards.is_empty() {
        let message = "gathers from no service; name the services".to_string();
        add(Kind::EmptyGather, message);
    }
    let mut repeated: Vec<_> = shards
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .collect();
    repeated.dedup();
    for pair in repeated {
        let message = format!("gathers from service {} twice; name it once", pair[0]);
        add(Kind::RepeatedShard, message);
    }
    if !(0.0..=1.0).contains(&gather.min_coverage) {
        let message = format!(
            "the minimum coverage is {}; use 0 to 1",
            gather.min_coverage
        );
        add(Kind::CoverageOutOfRange, message);
    }
    if gather.top_k == 0 {
        let message =
            "the number of records in an answer is 0 or missing; use 1 or more".to_string();
        add(Kind::NoRecords, message);
    }
}
