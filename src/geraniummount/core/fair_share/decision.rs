//! Whether a request is admitted, and by which figures it is shed.

use std::time::Duration;

/// Whether a request is admitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request is sent to leaves.
    Admit,
    /// The request is refused before any attempt.
    Shed(Shed),
}

/// Figures by which a request is shed.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed {
    /// Why its share is as it is.
    pub cause: Cause,
    /// Share of such requests that is admitted, from 0 to 1.
    pub admitted: f64,
    /// Number of requests, weighted by age, from which the shares are derived.
    pub seen: f64,
    /// Time over which requests were counted.
    pub window: Window,
    /// Requests per second of the tenant at this VM; `None` if tenants are not told apart.
    pub demand: Option<f64>,
    /// Requests per second to which the tenant is admitted at this VM.
    pub fair_share: Option<f64>,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Why a request is shed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// All requests of its priority are shed alike, no more than the average.
    Load,
    /// Other priorities come first.
    Priority,
    /// Its tenant sends more than its fair share.
    Tenant,
}

impl Cause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Load => "load",
            Cause::Priority => "priority",
            Cause::Tenant => "tenant",
        }
    }
}

/// Time over which requests were counted for a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Window {
    /// The last seconds.
    Recent,
    /// The last minute, as the last seconds contain too few requests.
    Usual,
    /// None: the last minute contains too few requests.
    None,
}

impl Window {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Window::Recent => "recent",
            Window::Usual => "usual",
            Window::None => "none",
        }
    }
}
