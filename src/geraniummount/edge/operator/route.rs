//! Parser for the method, path and headers of operators' requests.

use std::time::Duration;

use super::refusal::Refusal;
use crate::core::config::resource::Kind;
use crate::prelude::*;

/// Longest wait of a watch, a request that waits for newer changes. A longer requested wait is
/// shortened to it.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Wait of a watch that does not set `wait_ms`.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Supported paths, for the response to a request with another path.
const PATHS: &str = "/v1/resources/{kind}, /v1/resources/{kind}/{name}, \
                     /v1/resources?watch=REVISION, /v1/status, /v1/state, /metrics, /health";

/// Parsed request; bodies are read later. A resource has a kind and a name. A generation is the
/// revision (position in the log of all accepted changes) of a resource's last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Route {
    List(Kind),
    Get(Kind, String),
    /// Creates or replaces a resource. The generation, from the header `If-Match`, is the one that
    /// the resource must have at present, or 0 if it must not exist yet.
    Put(Kind, String, Option<Generation>),
    /// Deletes a resource. The generation has the same meaning as for `Put`.
    Delete(Kind, String, Option<Generation>),
    /// Waits for changes after a revision, at most for the given time.
    Watch(Revision, Duration),
    /// Returns the state of the fleet (all VMs) as known to this process.
    Status,
    /// Returns the complete internal state of this process.
    State,
    Metrics,
    Health,
}

impl Route {
    /// Parses the method, path, query and headers of a request.
    pub(super) fn read(request: &rouille::Request) -> Result<Route, Refusal> {
        let url = request.url();
        let segments: Vec<&str> = url.split('/').filter(|s| !s.is_empty()).collect();
        match segments.as_slice() {
            ["v1", "resources"] => require_get(request, read_watch(request)?),
            ["v1", "resources", kind] => require_get(request, Route::List(read_kind(kind)?)),
            ["v1", "resources", kind, name] => read_resource(request, read_kind(kind)?, name),
            ["v1", "status"] => require_get(request, Route::Status),
            ["v1", "state"] => require_get(request, Route::State),
            ["metrics"] => require_get(request, Route::Metrics),
            ["health"] => require_get(request, Route::Health),
            _ => Err(Refusal::NotFound(format!(
                "no such path: {url}; allowed: {PATHS}"
            ))),
        }
    }
}

fn require_get(request: &rouille::Request, route: Route) -> Result<Route, Refusal> {
    if request.method() == "GET" {
        return Ok(route);
    }
    Err(Refusal::MethodNotAllowed { allowed: "GET" })
}

fn read_resource(request: &rouille::Request, kind: Kind, name: &str) -> Result<Route, Refusal> {
    let name = name.to_string();
    match request.method() {
        "GET" => Ok(Route::Get(kind, name)),
        "PUT" => Ok(Route::Put(kind, name, read_if_match(request)?)),
        "DELETE" => Ok(Route::Delete(kind, name, read_if_match(request)?)),
        _ => Err(Refusal::MethodNotAllowed {
            allowed: "GET, PUT, DELETE",
        }),
    }
}

fn read_kind(text: &str) -> Result<Kind, Refusal> {
    text.parse()
        .map_err(|fault| Refusal::NotFound(format!("{fault}")))
}

fn read_if_match(request: &rouille::Request) -> Result<Option<Generation>, Refusal> {
    let Some(text) = request.header("If-Match") else {
        return Ok(None);
    };
    let generation = text.trim().trim_matches('"').parse();
    generation.map(Some).map_err(|_| {
        Refusal::Malformed(format!(
            "If-Match: '{text}'; allowed: a generation, or 0 where there is no resource yet"
        ))
    })
}

fn read_watch(request: &rouille::Request) -> Result<Route, Refusal> {
    let after = read_number(request, "watch")?.ok_or_else(|| {
        Refusal::Malformed("/v1/resources needs a kind, or ?watch=REVISION".to_string())
    })?;
    let wait =
        read_number(request, "wait_ms")?.map_or(DEFAULT_WATCH_TIMEOUT, Duration::from_millis);
    Ok(Route::Watch(after, wait.min(MAX_WATCH_TIMEOUT)))
}

fn read_number(request: &rouille::Request, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = request.get_param(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| Refusal::Malformed(format!("{name}: '{text}'; allowed: a whole number")))
}
