//! Entries that no request matches.

use super::{Finding, Kind};
use crate::core::route::{Route, Table, Target};
use crate::prelude::*;

pub(super) fn check(table: &Table, regions: &[(DomainName, RegionName)]) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_prefixes(table, &mut findings);
    for route in table.routes() {
        check_weights(route, &mut findings);
        check_regions("route", &route.name, &route.regions, regions, &mut findings);
    }
    check_services(table, &mut findings);
    check_tenants(table, &mut findings);
    for tenant in table.tenants().tenants() {
        let allowed = &tenant.regions;
        check_regions("tenant", &tenant.name, allowed, regions, &mut findings);
    }
    findings
}

fn check_prefixes(table: &Table, findings: &mut Vec<Finding>) {
    let routes = table.routes();
    let is_same =
        |pair: &&[Route]| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix;
    for pair in routes.windows(2).filter(is_same) {
        let message = format!(
            "has the same host and prefix as route {}, and only one of them gets the requests; \
             remove one",
            pair[0].name
        );
        let object = format!("route {}", pair[1].name);
        findings.push(Finding::new(Kind::RepeatedPrefix, object, message));
    }
    for route in routes {
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let message = format!(
                "prefix '{}' matches no request; begin and end it with a slash",
                route.prefix
            );
            let object = format!("route {}", route.name);
            findings.push(Finding::new(Kind::MalformedPrefix, object, message));
        }
    }
}

fn check_weights(route: &Route, findings: &mut Vec<Finding>) {
    let Target::Split(parts) = &route.target else {
        return;
    };
    for part in parts.iter().filter(|part| part.weight <= 0.0) {
        let (service, weight) = (&part.service, part.weight);
        let message = format!("weight of service {service} is {weight}; it gets no requests");
        let object = format!("route {}", route.name);
        findings.push(Finding::new(Kind::PartWithoutWeight, object, message));
    }
}

fn check_services(table: &Table, findings: &mut Vec<Finding>) {
    let routes = table.routes().iter();
    let mut used: Vec<&ServiceName> = routes.flat_map(|route| route.target.services()).collect();
    used.sort_unstable();
    for service in table.services() {
        if used.binary_search(&&service.name).is_err() {
            let object = format!("service {}", service.name);
            let message = "no route uses it; remove it, or name it in a route";
            findings.push(Finding::new(Kind::UnusedService, object, message));
        }
    }
}

fn check_tenants(table: &Table, findings: &mut Vec<Finding>) {
    if table.routes().iter().any(|route| route.allows_anonymous) {
        return;
    }
    let tenants = table.tenants();
    for tenant in tenants.tenants() {
        if tenants.keys_of(&tenant.name).next().is_none() {
            let object = format!("tenant {}", tenant.name);
            let message = "has no keys, and no route is anonymous; add a key, or remove it";
            findings.push(Finding::new(Kind::TenantWithoutKeys, object, message));
        }
    }
}

fn check_regions(
    what: &str,
    name: &str,
    allowed: &Option<Vec<RegionName>>,
    regions: &[(DomainName, RegionName)],
    findings: &mut Vec<Finding>,
) {
    let Some(allowed) = allowed.as_ref().filter(|_| !regions.is_empty()) else {
        return;
    };
    if !regions.iter().any(|(_, region)| allowed.contains(region)) {
        let listed = allowed.join(", ");
        let message = format!("no failure domain is in its regions ({listed}); correct them");
        let object = format!("{what} {name}");
        findings.push(Finding::new(Kind::NoDomainInRegions, object, message));
    }
}
