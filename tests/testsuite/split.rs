//! Tests that requests are split over services by their weights, and that routes are found.

use std::time::Duration;

use geraniummount::core::route::{Limits, Repeat, Route, Split, Table, Target, WeightedService};

#[derive(Debug)]
struct Case {
    weights: &'static [f64],
    requests: usize,
}

const CASES: &[Case] = &[
    Case {
        weights: &[1.0, 1.0],
        requests: 200,
    },
    Case {
        weights: &[9.0, 1.0],
        requests: 300,
    },
    Case {
        weights: &[0.2, 0.3, 0.5],
        requests: 300,
    },
    Case {
        weights: &[0.0, 2.0],
        requests: 50,
    },
];

#[test]
fn split_gives_each_service_its_share_within_a_few_hundred_requests() {
    /// Maximum deviation of a service's share of the requests from its share of the weights.
    const MAX_DEVIATION: f64 = 0.02;
    for case in CASES {
        let parts: Vec<WeightedService> = (0..case.weights.len())
            .map(|number| WeightedService {
                service: number.to_string(),
                weight: case.weights[number],
            })
            .collect();
        for start in [0.0, 0.3, 0.77] {
            let mut split = Split::new(start);
            let mut counts = vec![0_usize; parts.len()];
            for _ in 0..case.requests {
                let chosen = split
                    .choose(&parts)
                    .expect("a service has a weight above 0");
                counts[chosen.parse::<usize>().unwrap()] += 1;
            }
            let total: f64 = case.weights.iter().sum();
            for (count, weight) in counts.iter().zip(case.weights) {
                let deviation = *count as f64 / case.requests as f64 - weight / total;
                assert!(deviation.abs() <= MAX_DEVIATION, "{case:?}: {counts:?}");
            }
        }
    }
    assert!(Split::new(0.5).choose(&[]).is_none());
}

#[test]
fn route_table_finds_each_of_many_routes_of_one_host() {
    let route = |number: usize| Route {
        name: number.to_string(),
        host: "A.example".to_string(),
        prefix: format!("/p{number}/"),
        target: Target::Service(number.to_string()),
        repeat: Repeat::Idempotent,
        max_attempts: 1,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        allows_anonymous: false,
        regions: None,
    };
    let table = Table::new(
        1,
        Limits::default(),
        (0..400).map(route).collect(),
        Vec::new(),
    );
    for number in [0, 7, 399] {
        let found = table.find("a.EXAMPLE", &format!("/p{number}/x/y"));
        assert_eq!(
            found.map(|route| route.name.clone()),
            Some(number.to_string())
        );
    }
    assert!(table.find("a.example", "/p400/x").is_none());
    assert!(
        table.find("a.example", "/p1").is_none(),
        "the prefix ends with a slash, which the path lacks"
    );
}
