//! Errors of the operators' HTTP API and their responses.

use std::fmt;
use std::time::Duration;

use rouille::Response;
use serde_json::{Value, json};

use crate::core::config::fault::Fault;
use crate::core::config::resource::Kind;
use crate::edge::registry;
use crate::prelude::*;

/// Reason why an operator's request was not carried out, or why its outcome is unknown. Its
/// response states a verdict: whether the change was certainly not made or may have been made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request is malformed.
    Malformed(String),
    /// The resource or the path does not exist.
    NotFound(String),
    /// The path does not support the method.
    MethodNotAllowed {
        /// Methods that the path supports, as the value of the `Allow` header.
        allowed: &'static str,
    },
    /// The request could not be read completely.
    Unread {
        /// HTTP status code of the response.
        status: u16,
        /// Problem and remedy, for the operator.
        reason: String,
    },
    /// The resource failed validation, which found these faults.
    Invalid(Vec<Fault>),
    /// The resource has a different generation (revision of its last change) than the change
    /// expects.
    Conflict {
        /// Generation that the change expects.
        expected: Generation,
        /// Current generation of the resource; 0 if the resource does not exist.
        actual: Generation,
    },
    /// The change was sent to the platform's key-value service, but its outcome is unknown.
    Undecided {
        /// ID of the change.
        change: ChangeId,
    },
    /// The platform, whose key-value service stores the changes, is unresponsive; the change has
    /// not taken effect.
    PlatformDown {
        /// Delay after which the operator may retry.
        retry_after: Duration,
    },
    /// The maximum number of concurrent watches is reached.
    Busy {
        /// Delay after which the operator may retry.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Converts an error of the registry about the resource `name` of the given kind.
    pub(super) fn new(kind: Kind, name: &str, error: registry::Error) -> Refusal {
        match error {
            registry::Error::NotFound => Refusal::NotFound(format!("no {kind} `{name}`")),
            registry::Error::Invalid { faults } => Refusal::Invalid(faults),
            registry::Error::Conflict { expected, actual } => {
                Refusal::Conflict { expected, actual }
            }
            registry::Error::Undecided { change } => Refusal::Undecided { change },
            registry::Error::PlatformDown { retry_after } => Refusal::PlatformDown { retry_after },
        }
    }

    /// Builds the HTTP response that reports the refusal.
    pub(super) fn response(&self) -> Response {
        let body = self.body();
        let mut response = Response::json(&body).with_status_code(self.status());
        match self {
            Refusal::MethodNotAllowed { allowed } => {
                response = response.with_unique_header("Allow", *allowed);
            }
            Refusal::PlatformDown { retry_after } | Refusal::Busy { retry_after } => {
                let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
                response = response.with_unique_header("Retry-After", seconds.to_string());
            }
            _ => {}
        }
        response
    }

    fn status(&self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::NotFound(_) => 404,
            Refusal::MethodNotAllowed { .. } => 405,
            Refusal::Unread { status, .. } => *status,
            Refusal::Invalid(_) => 422,
            Refusal::Conflict { .. } => 409,
            Refusal::Undecided { .. } => 202,
            Refusal::PlatformDown { .. } | Refusal::Busy { .. } => 503,
        }
    }

    fn body(&self) -> Value {
        let mut body = json!({
            "error": self.to_string(),
            "faults": [],
            "verdict": Verdict::NotRun,
        });
        match self {
            Refusal::Invalid(faults) => body["faults"] = json!(faults),
            Refusal::Conflict { expected, actual } => {
                body["expected"] = json!(expected);
                body["actual"] = json!(actual);
            }
            Refusal::Undecided { change } => {
                body["verdict"] = json!(Verdict::MayHaveRun);
                body["change"] = json!(change.to_string());
            }
            Refusal::PlatformDown { retry_after } | Refusal::Busy { retry_after } => {
                let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                body["retry_after_ms"] = json!(millis);
            }
            Refusal::Malformed(_)
            | Refusal::NotFound(_)
            | Refusal::MethodNotAllowed { .. }
            | Refusal::Unread { .. } => {}
        }
        body
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Malformed(reason)
            | Refusal::NotFound(reason)
            | Refusal::Unread { reason, .. } => f.write_str(reason),
            Refusal::MethodNotAllowed { allowed } => {
                write!(f, "no such method here; allowed: {allowed}")
            }
            Refusal::Invalid(faults) => write!(f, "the resource has {} fault(s)", faults.len()),
            Refusal::Conflict { expected, actual } => write!(
                f,
                "the change was made for generation {expected}, but the resource has \
                 generation {actual}"
            ),
            Refusal::Undecided { .. } => f.write_str(
                "the platform did not say whether the change took effect; read the resource \
                 before sending it again",
            ),
            Refusal::PlatformDown { .. } => f.write_str(
                "the platform's key-value service does not answer; the change has not taken effect",
            ),
            Refusal::Busy { .. } => f.write_str("too many operators' requests wait here"),
        }
    }
}
