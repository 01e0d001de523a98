//! Parses and validates callers' requests to services.

use std::time::Duration;

use crate::core::layout::Layout;
use crate::edge::http::{Fault, Request};
use crate::prelude::*;

/// Maximum length of a request id or an idempotency key.
const MAX_NAME_BYTES: usize = 128;

/// A valid query or non-idempotent request to a service.
#[derive(Clone, Debug)]
pub(super) struct ServiceRequest {
    /// Id of the request.
    pub(super) id: RequestId,
    /// Service that the request is for.
    pub(super) service: Service,
    /// Shards of the service at the configuration revision (position in the log of all changes) at
    /// which the request was admitted.
    pub(super) layout: Layout,
    /// Time within which the request must be answered.
    pub(super) timeout: Duration,
    /// How the request is run.
    pub(super) mode: Mode,
    /// Whether the answer includes a trace of each shard: the attempts that were made at its
    /// leaves.
    pub(super) explain: bool,
    /// JSON body.
    pub(super) body: Vec<u8>,
}

/// How a request is run.
#[derive(Clone, Debug)]
pub(super) enum Mode {
    /// Runs on all shards. The request is idempotent, and its part for a shard may be retried after
    /// a failure or hedged, which means sent to another replica while it is late.
    Query,
    /// Runs on one shard, at most once.
    Execution {
        /// Name of the shard in the layout, which lists the shards of the service.
        shard: ShardName,
        /// Idempotency key, which identifies repeated sends of the same request.
        key: Option<String>,
    },
}

impl ServiceRequest {
    /// Parses an HTTP request and validates it against the configuration. Takes the body out of
    /// `http`. Returns the HTTP status and the reason if the request is invalid.
    pub(super) fn parse(
        service: &str,
        id: RequestId,
        http: &mut Request,
        catalog: &Catalog,
    ) -> Result<ServiceRequest, Fault> {
        let Some(record) = catalog.service(service) else {
            let reason = format!("service `{service}` is not declared; see the operators' list");
            return Err(Fault::new(404, reason));
        };
        let layout = Layout::new(catalog, service);
        let layout = layout.ok_or_else(|| Fault::new(404, "service is not declared"))?;
        let timeout = read_timeout(http, &record.spec)?;
        let mode = read_mode(http, &layout)?;
        check_json(&http.body)?;
        Ok(ServiceRequest {
            id,
            service: record.spec.clone(),
            layout,
            timeout,
            mode,
            explain: http.query.split('&').any(|pair| pair == "explain=true"),
            body: std::mem::take(&mut http.body),
        })
    }
}

/// Reads the request id from the `Request-Id` header. Returns `default_id` if the header is absent,
/// and an error if it is invalid.
pub(super) fn read_request_id(http: &Request, default_id: RequestId) -> Result<RequestId, Fault> {
    let Some(name) = http.header("request-id") else {
        return Ok(default_id);
    };
    check_name("Request-Id", name)?;
    Ok(name.to_owned())
}

fn check_name(header: &str, name: &str) -> Result<(), Fault> {
    let is_length_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if is_length_valid && name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    let reason = format!("{header} must be 1 to {MAX_NAME_BYTES} printable ASCII characters");
    Err(Fault::new(400, reason))
}

fn read_timeout(http: &Request, service: &Service) -> Result<Duration, Fault> {
    let Some(text) = http.header("deadline-ms") else {
        return Ok(Duration::from_millis(service.deadline_ms.into()));
    };
    let max_ms = u64::from(service.max_deadline_ms);
    match text.parse::<u64>() {
        Ok(millis) if (1..=max_ms).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => {
            let reason = format!("Deadline-Ms is `{text}`; send a whole number from 1 to {max_ms}");
            Err(Fault::new(400, reason))
        }
    }
}

fn read_mode(http: &Request, layout: &Layout) -> Result<Mode, Fault> {
    match http.header("idempotent") {
        None | Some("true") => return Ok(Mode::Query),
        Some("false") => {}
        Some(other) => {
            let reason = format!("Idempotent is `{other}`; send `true` or `false`");
            return Err(Fault::new(400, reason));
        }
    }
    let Some(shard) = http.header("shard") else {
        let reason = "Shard is not given; a request that is not idempotent names its one shard";
        return Err(Fault::new(400, reason));
    };
    if layout.shard(shard).is_none() {
        let reason = format!("shard `{shard}` is not in the service; name one of its shards");
        return Err(Fault::new(404, reason));
    }
    let key = http.header("idempotency-key");
    if let Some(key) = key {
        check_name("Idempotency-Key", key)?;
    }
    Ok(Mode::Execution {
        shard: shard.to_owned(),
        key: key.map(str::to_owned),
    })
}

fn check_json(body: &[u8]) -> Result<(), Fault> {
    let parsed: Result<serde::de::IgnoredAny, _> = serde_json::from_slice(body);
    match parsed {
        Ok(_) => Ok(()),
        Err(error) => {
            let reason = format!("body is not JSON: {error}; mend it");
            Err(Fault::new(400, reason))
        }
    }
}
