//! Builds the versions of the routes of a cluster.

use super::caller::SEARCH_TOP_K;
use super::kind::Kind;
use crate::platform::users::document::{self, Gather, gather_route, service_route};

/// Minimum share of the shards that a search reply includes.
const MIN_COVERAGE: f64 = 0.5;

/// Returns the configuration document of a version.
///
/// It includes a marker route `/v{number}/` for each number in `versions`. A probe of the marker
/// shows whether a gateway has applied that version or a later one.
pub fn configuration(version: u64, versions: &[u64], shards: usize) -> String {
    let shards: Vec<String> = (0..shards).map(|shard| format!("shard-{shard}")).collect();
    let shards: Vec<&str> = shards.iter().map(String::as_str).collect();
    let gather = Gather {
        top_k: SEARCH_TOP_K,
        min_coverage: MIN_COVERAGE,
    };
    let mut routes = vec![
        gather_route(Kind::Search.prefix(), &shards, gather),
        service_route(Kind::Lookup.prefix(), "idempotent", "lookup"),
        service_route(Kind::Order.prefix(), "non_idempotent", "orders"),
    ];
    let markers = versions.iter().map(|number| {
        let prefix = format!("/v{number}/");
        service_route(&prefix, "idempotent", "lookup")
    });
    routes.extend(markers);
    document::document(version, &routes, &[])
}
