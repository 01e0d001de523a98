//! Tests which leaves a request may get while failure domains are evacuated or its regions are
//! restricted.

use std::time::{Duration, Instant};

use geraniummount::core::placement::{Placement, Start};
use geraniummount::core::scope::Scope;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::instances::instance;

const SERVICE: &str = "shard";

fn regions() -> Vec<(String, String)> {
    let pairs = [("eu-a", "eu"), ("eu-b", "eu"), ("us-a", "us")];
    let pairs = pairs.iter();
    pairs
        .map(|(domain, region)| ((*domain).to_string(), (*region).to_string()))
        .collect()
}

struct Case {
    name: &'static str,
    /// Lists of regions that bind the request.
    allowed: &'static [&'static [&'static str]],
    evacuated: &'static [&'static str],
    /// Domains whose leaves are chosen, one after the other until none is left.
    chosen: &'static [&'static str],
    /// Domains whose VMs the request may be passed to by a VM in `us-a`.
    peers: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "no restriction",
        allowed: &[],
        evacuated: &[],
        chosen: &["eu-a", "eu-b", "odd", "us-a"],
        peers: &["eu-a", "eu-b", "odd", "us-a"],
    },
    Case {
        name: "one list",
        allowed: &[&["eu"]],
        evacuated: &[],
        chosen: &["eu-a", "eu-b"],
        peers: &["eu-a", "eu-b", "us-a"],
    },
    Case {
        name: "both lists bind",
        allowed: &[&["eu", "us"], &["us", "asia"]],
        evacuated: &[],
        chosen: &["us-a"],
        peers: &["us-a"],
    },
    Case {
        name: "the lists have no region in common",
        allowed: &[&["eu"], &["us"]],
        evacuated: &[],
        chosen: &[],
        peers: &["us-a"],
    },
    Case {
        name: "one domain evacuated",
        allowed: &[],
        evacuated: &["eu-a"],
        chosen: &["eu-b", "odd", "us-a"],
        peers: &["eu-a", "eu-b", "odd", "us-a"],
    },
    Case {
        name: "one domain of the allowed region evacuated",
        allowed: &[&["eu"]],
        evacuated: &["eu-b", "unknown"],
        chosen: &["eu-a"],
        peers: &["eu-a", "eu-b", "us-a"],
    },
    Case {
        name: "all domains of the allowed region evacuated",
        allowed: &[&["us"]],
        evacuated: &["us-a"],
        chosen: &[],
        peers: &["us-a"],
    },
];

/// Guards against first attempts, retries and hedges at leaves that a request may not reach, and
/// against requests that are passed to VMs of other regions.
#[test]
fn evacuation_and_regions_restrict_first_and_further_attempts() {
    for case in CASES {
        let now = Instant::now();
        let mut placement = Placement::new("us-a", Start::First, SmallRng::seed_from_u64(1));
        let leaves =
            ["eu-a", "eu-b", "us-a", "odd"].map(|domain| instance(SERVICE, domain, domain));
        placement.set_evacuated(case.evacuated.iter().map(ToString::to_string).collect());
        placement.update(&leaves, now);
        let lists: Vec<Vec<String>> = case
            .allowed
            .iter()
            .map(|list| list.iter().map(ToString::to_string).collect())
            .collect();
        let scope = Scope::new(&regions(), lists.iter().map(Vec::as_slice));
        let (mut tried, mut chosen) = (Vec::new(), Vec::new());
        while let Some(key) = placement.choose_within(SERVICE, &scope, &tried, now) {
            tried.push(key);
            let replica = placement.replica(SERVICE, key).unwrap();
            chosen.push(replica.instance.domain.clone());
        }
        chosen.sort_unstable();
        assert_eq!(chosen, case.chosen, "{}", case.name);
        assert!(
            !placement.can_try_within(SERVICE, &scope, &tried, now),
            "{}",
            case.name
        );
        let is_servable = placement.usable_within_at(SERVICE, &scope, now).is_some();
        assert_eq!(is_servable, !case.chosen.is_empty(), "{}", case.name);
        let peers = scope.with_region_of("us-a", &regions());
        let domains = ["eu-a", "eu-b", "odd", "us-a"];
        let allowed: Vec<&str> = domains.into_iter().filter(|d| peers.contains(d)).collect();
        assert_eq!(allowed, case.peers, "{}", case.name);
    }
}

/// Guards against leaves that stay unused after an evacuation, and against one that is lost with
/// the next list of leaves.
#[test]
fn evacuation_lasts_until_it_is_taken_back() {
    let now = Instant::now();
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(1));
    let leaves = [instance(SERVICE, "a", "near")];
    placement.update(&leaves, now);
    placement.set_evacuated(vec!["near".to_string()]);
    for second in 0..3 {
        let now = now + Duration::from_secs(second);
        placement.update(&leaves, now);
        assert_eq!(placement.choose(SERVICE, &[], now), None);
    }
    placement.set_evacuated(Vec::new());
    assert!(placement.choose(SERVICE, &[], now).is_some());
}
