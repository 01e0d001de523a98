//! Parser of the operator's configuration document, which contains the routes, the services and the
//! limits of the gateway. A service is a group of leaves. A route states which services run the
//! requests for a host and path prefix. A gather is a request that goes to many services, each of
//! which holds one shard, and merges their answers; its part is the share that goes to one shard.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::path;
use crate::core::config_check::Candidate;
use crate::core::route::{
    Backend, Gather, Limits, Repeat, Route, Table, Target, WarmUp, WeightedService,
};
use crate::core::tenant::{Directory, KeyDigest, Quota, Tenant};
use crate::prelude::*;
use crate::util::bounded;

#[derive(Debug, Deserialize)]
struct Document {
    /// Version of the configuration. A higher version is newer.
    version: u64,
    routes: Vec<RouteEntry>,
    services: Vec<ServiceEntry>,
    limits: LimitsEntry,
    /// Customers, whose requests carry keys. Without this list, requests need no keys; while it is empty,
    /// nobody holds one.
    #[serde(default, deserialize_with = "deserialize_tenants")]
    tenants: Option<Vec<TenantEntry>>,
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
    /// Whether requests without a key are served.
    #[serde(default)]
    allow_anonymous: bool,
    /// Regions whose leaves may run the requests. Without this list, leaves of all regions may; while it
    /// is empty, none.
    #[serde(default, deserialize_with = "deserialize_regions")]
    allowed_regions: Option<Vec<RegionName>>,
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
    /// Time in seconds after its start for which a leaf is cold.
    #[serde(default)]
    slow_start_s: f64,
    /// Requests per second that a cold leaf takes from all VMs together; no limit if 0.
    #[serde(default)]
    warmup_per_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantEntry {
    name: String,
    #[serde(default, deserialize_with = "deserialize_keys")]
    api_keys: Vec<String>,
    /// Priority under overload, which replaces that of the route; 0 is the highest.
    #[serde(default)]
    priority: Option<u32>,
    /// Requests per second over all VMs; no limit if 0.
    #[serde(default)]
    rate_per_s: f64,
    /// Requests that may come at once in addition.
    #[serde(default)]
    burst: f64,
    /// Regions whose leaves may run the requests. Without this list, leaves of all regions may; while it
    /// is empty, none.
    #[serde(default, deserialize_with = "deserialize_regions")]
    allowed_regions: Option<Vec<RegionName>>,
}

/// Deserializes the tenants. The errors of the derived code quote values of a wrong type, which may
/// be keys, and are logged.
fn deserialize_tenants<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<TenantEntry>>, D::Error> {
    use serde::de::Error;
    let value = serde_json::Value::deserialize(deserializer)?;
    let serde_json::Value::Array(entries) = value else {
        return Err(Error::custom("tenants is not a list"));
    };
    if !entries.iter().all(serde_json::Value::is_object) {
        return Err(Error::custom("a tenant is not an object"));
    }
    let entries = entries.into_iter().map(serde_json::from_value);
    let entries: Result<Vec<TenantEntry>, _> = entries.collect();
    entries.map(Some).map_err(Error::custom)
}

/// Deserializes a list of keys. The errors of the derived code quote the value, and are logged.
fn deserialize_keys<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let value = serde_json::Value::deserialize(deserializer)?;
    let text = |key: &serde_json::Value| key.as_str().map(str::to_string);
    let keys = value.as_array().map(|keys| keys.iter().map(text).collect());
    keys.flatten()
        .ok_or_else(|| serde::de::Error::custom("apiKeys is not a list of strings"))
}

/// Deserializes a list of regions; `null` is none.
fn deserialize_regions<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<RegionName>>, D::Error> {
    Vec::deserialize(deserializer).map(Some)
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
    Ok(read_candidate(value)?.table)
}

/// Parses a document that is to be checked, with what its table does not show.
///
/// # Errors
///
/// Returns an error if the document is not valid.
pub fn read_candidate(value: &[u8]) -> Result<Candidate, serde_json::Error> {
    let document: Document = serde_json::from_slice(value)?;
    let has_idle_burst = |entry: &&TenantEntry| entry.rate_per_s == 0.0 && entry.burst > 0.0;
    let entries = document.tenants.iter().flatten();
    let bursts = entries.filter(has_idle_burst);
    let bursts_without_rate = bursts.map(|entry| entry.name.clone()).collect();
    let routes: Result<Vec<Route>, _> = document.routes.into_iter().map(route).collect();
    let services = document.services.into_iter().map(service);
    let services: Result<Vec<Backend>, _> = services.collect();
    let tenants = match document.tenants {
        Some(entries) => directory(entries)?,
        None => Directory::default(),
    };
    let limits = Limits {
        max_head_bytes: document.limits.max_header_bytes,
        max_body_bytes: document.limits.max_body_bytes,
        read_timeout: document.limits.header_timeout,
        idle_timeout: document.limits.idle_timeout,
    };
    let table = Table::new(document.version, limits, routes?, services?);
    Ok(Candidate {
        table: table.with_tenants(tenants),
        bursts_without_rate,
    })
}

fn directory(entries: Vec<TenantEntry>) -> Result<Directory, serde_json::Error> {
    let entries: Result<Vec<_>, _> = entries.into_iter().map(tenant).collect();
    Directory::new(entries?).map_err(serde::de::Error::custom)
}

fn service(entry: ServiceEntry) -> Result<Backend, serde_json::Error> {
    let per_second = not_negative(entry.warmup_per_s, "warmupPerS", &entry.name)?;
    let seconds = not_negative(entry.slow_start_s, "slowStartS", &entry.name)?;
    let warm_up = (per_second > 0.0).then(|| WarmUp {
        duration: bounded::fractional_seconds(seconds).unwrap_or_default(),
        per_second,
    });
    Ok(Backend {
        name: entry.name,
        max_connections: entry.max_conns,
        health_path: path::to_target(&entry.health_path),
        warm_up,
    })
}

fn tenant(entry: TenantEntry) -> Result<(Tenant, Vec<KeyDigest>), serde_json::Error> {
    let name = entry.name;
    if !is_tenant_name(&name) {
        let problem = format!("'{name}' names no tenant; use visible ASCII characters");
        return Err(serde::de::Error::custom(problem));
    }
    if entry.api_keys.iter().any(String::is_empty) {
        let problem = format!("tenant {name} has an empty key; remove it");
        return Err(serde::de::Error::custom(problem));
    }
    let per_second = not_negative(entry.rate_per_s, "ratePerS", &name)?;
    let burst = not_negative(entry.burst, "burst", &name)?;
    let digests = entry.api_keys.iter();
    let digests = digests.map(|key| KeyDigest::of(key.as_bytes())).collect();
    let tenant = Tenant {
        name,
        priority: entry.priority,
        quota: (per_second > 0.0).then_some(Quota { per_second, burst }),
        regions: entry.allowed_regions,
    };
    Ok((tenant, digests))
}

/// Returns whether a name can be passed on in a header field.
fn is_tenant_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic())
}

fn not_negative(number: f64, field: &str, owner: &str) -> Result<f64, serde_json::Error> {
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    let problem = format!("{field} of {owner} is {number}; use 0 or more");
    Err(serde::de::Error::custom(problem))
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
        allows_anonymous: entry.allow_anonymous,
        regions: entry.allowed_regions,
    })
}

fn weighted_service(entry: SplitEntry) -> WeightedService {
    WeightedService {
        service: entry.backend,
        weight: entry.weight,
    }
}
