//! Builds the operator's configuration document, which holds the routes and services of gateways,
//! in the format that the users' platform stores.

use serde_json::{Value, json};

/// Host of all routes that this module builds, which callers therefore send in `Host`.
pub const HOST: &str = "shop.example";

/// Key under which the configuration is stored.
pub const DOCUMENT_KEY: &str = "op/config";

/// Parameters of a route that gathers results from many shards.
#[derive(Clone, Copy, Debug)]
pub struct Gather {
    /// Number of records in an answer.
    pub top_k: usize,
    /// Minimum share of the shards that an answer must include, from 0 to 1.
    pub min_coverage: f64,
}

/// Returns a route to one service; `kind` is `idempotent` or `non_idempotent`.
pub fn service_route(prefix: &str, kind: &str, service: &str) -> Value {
    let mut route = route(prefix, kind);
    route["backend"] = json!(service);
    route
}

/// Returns an idempotent route that gathers results from many shards.
pub fn gather_route(prefix: &str, shards: &[&str], gather: Gather) -> Value {
    let mut route = route(prefix, "idempotent");
    route["gather"] = json!(shards);
    route["topK"] = json!(gather.top_k);
    route["minCoverage"] = json!(gather.min_coverage);
    route
}

fn route(prefix: &str, kind: &str) -> Value {
    json!({"name": prefix, "host": HOST, "prefix": prefix, "type": kind, "timeoutMs": 3000,
           "targetLatencyMs": 400, "priority": 1, "attempts": 2})
}

/// Returns a complete configuration as JSON, in which each leaf of `services` accepts up to 26
/// connections.
pub fn document(version: u64, routes: &[Value], services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        json!({"name": name, "healthPath": "/health", "maxConns": 26,
               "protocol": "h1", "tls": false})
    });
    let services: Vec<Value> = services.collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 4096,
                   "headerTimeoutMs": 1000, "idleTimeoutMs": 10_000},
    })
    .to_string()
}
