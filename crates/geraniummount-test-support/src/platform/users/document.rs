//! The operator's configuration, as the users' platform holds it.

use serde_json::{Value, json};

/// Host of all routes that are built here.
pub const HOST: &str = "shop.example";

/// Key under which the configuration stands.
pub const DOCUMENT_KEY: &str = "op/config";

/// Least share of the shards that an answer has to include, and the records in
/// it.
#[derive(Clone, Copy, Debug)]
pub struct Gather {
    /// Records in an answer.
    pub top_k: usize,
    /// Least share of the shards.
    pub min_coverage: f64,
}

/// A route to one service; `kind` is `idempotent` or `non_idempotent`.
pub fn service_route(prefix: &str, kind: &str, service: &str) -> Value {
    let mut route = route(prefix, kind);
    route["backend"] = json!(service);
    route
}

/// A route to many shards.
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

/// A whole configuration; each leaf of `services` takes 26 connections.
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
