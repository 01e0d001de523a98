//! Parser of the operator's configuration document, which contains the routes, the services and the
//! limits of the gateway. A service is a group of leaves. A route states which services run the
//! requests for a host and path prefix. A gather is a request that goes to many services, each of
//! which holds one shard, and merges their answers; its part is the share that goes to one shard.

use std::time::Duration;

use serde::Deserialize;

use crate::core::route::{Backend, Gather, Limits, Repeat, Route, Table, Target, WeightedService};
use crate::util::bounded;

#[derive(Debug, Deserialize)]
struct Document {
    /// Version of the configuration. A higher version is newer.
    version: u64,
    routes: Vec<RouteEntry>,
    services: Vec<ServiceEntry>,
    limits: LimitsEntry,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteEntry {
    name: String,
    /// Host of the requests that the route applies to.
    host: String,
    /// Prefix of the path of the requests that the route applies to.
    prefix: String,
    #[serde(rename = "type")]
    kind: Kind,
    /// Maximum time that a caller is kept waiting.
    #[serde(deserialize_with = "bounded::deserialize_millis", rename = "timeoutMs")]
    timeout: Duration,
    /// Latency within which an answer has its full value for the caller.
    #[serde(
        deserialize_with = "bounded::deserialize_millis",
        rename = "targetLatencyMs"
    )]
    target_latency: Duration,
    /// Priority of the route's requests under overload; 0 is the highest.
    #[serde(default)]
    priority: u32,
    /// Maximum number of leaves that a request, or each part of a gather, may be sent to.
    #[serde(deserialize_with = "bounded::deserialize_count")]
    attempts: u32,
    /// The service, if all requests go to the same one.
    backend: Option<String>,
    /// The services among which requests are divided by weight.
    traffic_split: Option<Vec<SplitEntry>>,
    /// The services to gather from, each of which holds one shard.
    gather: Option<Vec<String>>,
    /// Maximum number of records in a gathered answer, which contains the greatest ones.
    #[serde(default, deserialize_with = "bounded::deserialize_size")]
    top_k: usize,
    /// Minimum share of the shards that a gathered answer includes.
    #[serde(default)]
    min_coverage: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Idempotent,
    NonIdempotent,
}

#[derive(Debug, Deserialize)]
struct SplitEntry {
    /// Name of the service.
    backend: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceEntry {
    name: String,
    /// Maximum number of connections that a leaf of the service accepts from all VMs together.
    #[serde(deserialize_with = "bounded::deserialize_size")]
    max_conns: usize,
    /// Path at which a leaf of the service answers health checks.
    #[serde(default = "default_health_path")]
    health_path: String,
}

fn default_health_path() -> String {
    "/".to_string()
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsEntry {
    #[serde(deserialize_with = "bounded::deserialize_size")]
    max_header_bytes: usize,
    #[serde(deserialize_with = "bounded::deserialize_size")]
    max_body_bytes: usize,
    /// Maximum time that a caller may take to send a request's head, and the same again for its
    /// body.
    #[serde(
        deserialize_with = "bounded::deserialize_millis",
        rename = "headerTimeoutMs"
    )]
    header_timeout: Duration,
    #[serde(
        deserialize_with = "bounded::deserialize_millis",
        rename = "idleTimeoutMs"
    )]
    idle_timeout: Duration,
}

/// Parses the operator's configuration document into a [`Table`] of routes, services and limits.
///
/// # Errors
///
/// Returns an error if the document is not valid. The previous configuration then stays in use.
pub fn read(value: &[u8]) -> Result<Table, serde_json::Error> {
    let document: Document = serde_json::from_slice(value)?;
    let routes: Result<Vec<Route>, _> = document.routes.into_iter().map(route).collect();
    let services = document.services.into_iter().map(|service| Backend {
        name: service.name,
        max_connections: service.max_conns,
        health_path: service.health_path,
    });
    let limits = Limits {
        max_head_bytes: document.limits.max_header_bytes,
        max_body_bytes: document.limits.max_body_bytes,
        read_timeout: document.limits.header_timeout,
        idle_timeout: document.limits.idle_timeout,
    };
    Ok(Table::new(
        document.version,
        limits,
        routes?,
        services.collect(),
    ))
}

fn route(entry: RouteEntry) -> Result<Route, serde_json::Error> {
    let target = match (entry.backend, entry.traffic_split, entry.gather) {
        (Some(service), None, None) => Target::Service(service),
        (None, Some(entries), None) => {
            Target::Split(entries.into_iter().map(weighted_service).collect())
        }
        (None, None, Some(services)) => Target::Gather(Gather {
            shards: services,
            top_k: entry.top_k,
            min_coverage: entry.min_coverage,
        }),
        _ => {
            let name = entry.name;
            let problem =
                format!("route {name} needs exactly one of backend, trafficSplit, gather");
            return Err(serde::de::Error::custom(problem));
        }
    };
    Ok(Route {
        name: entry.name,
        host: entry.host,
        prefix: entry.prefix,
        target,
        repeat: match entry.kind {
            Kind::Idempotent => Repeat::Idempotent,
            Kind::NonIdempotent => Repeat::AtMostOnce,
        },
        max_attempts: entry.attempts,
        timeout: entry.timeout,
        target_latency: entry.target_latency,
        priority: entry.priority,
    })
}

fn weighted_service(entry: SplitEntry) -> WeightedService {
    WeightedService {
        service: entry.backend,
        weight: entry.weight,
    }
}
