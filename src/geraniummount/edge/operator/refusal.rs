//! Why an operator's request is refused, and how that is written.

use std::fmt;
use std::time::Duration;

use rouille::Response;
use serde_json::{Value, json};

use crate::core::fault::Fault;
use crate::core::resource::Kind;
use crate::edge::registry;
use crate::prelude::*;

/// A request that was not, or perhaps not, carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request itself can't be understood.
    Malformed(String),
    /// There is no such resource or path.
    NotFound(String),
    /// The path has no such method.
    MethodNotAllowed {
        /// Methods that it has.
        allowed: &'static str,
    },
    /// The request was not read to its end.
    Unread {
        /// Status code.
        status: u16,
        /// What was wrong and what to do.
        reason: String,
    },
    /// The resource is not valid.
    Invalid(Vec<Fault>),
    /// The resource has another generation than the change was made for.
    Conflict {
        /// Generation that the change was made for.
        expected: Generation,
        /// Generation that the resource has; 0 where there is none.
        actual: Generation,
    },
    /// The change was sent to the platform, but its outcome is not known.
    Undecided {
        /// Number of the change.
        change: ChangeId,
    },
    /// The platform does not answer; the change has not taken effect.
    PlatformDown {
        /// When trying again may help.
        retry_after: Duration,
    },
    /// This process has no worker to spare for it.
    Busy {
        /// When trying again may help.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Turns an error of the registry into a refusal.
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

    /// Writes the refusal as an answer.
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
