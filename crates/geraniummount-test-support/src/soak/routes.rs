//! Builds the versions of the routes of a cluster.

use serde_json::Value;

use super::caller::SEARCH_TOP_K;
use super::kind::Kind;
use super::tenant::Directory;
use crate::platform::users::document::{self, Gather, gather_route, service_route};

/// Minimum share of the shards that a search reply includes.
const MIN_COVERAGE: f64 = 0.5;

/// Returns the configuration document of a version.
///
/// It includes a marker route `/v{number}/` for each number in `versions`. A probe of the marker
/// shows whether a gateway has applied that version or a later one. The markers need no key.
pub fn configuration(
    version: u64,
    versions: &[u64],
    shards: usize,
    tenants: Option<&Directory>,
) -> String {
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
        let mut route = service_route(&prefix, "idempotent", "lookup");
        if tenants.is_some() {
            route["allowAnonymous"] = true.into();
        }
        route
    });
    routes.extend(markers);
    let text = document::document(version, &routes, &[]);
    let Some(tenants) = tenants else {
        return text;
    };
    let mut document: Value = serde_json::from_str(&text).expect("the document is JSON");
    document["tenants"] = tenants.document();
    document.to_string()
}
