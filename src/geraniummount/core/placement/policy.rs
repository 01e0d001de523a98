//! By what leaves of the same tier are chosen.

use std::str::FromStr;

/// By what leaves of the same tier are chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// By the latency of their answers and the number of requests in flight.
    #[default]
    Latency,
    /// By the learned cost of the request and of those in flight.
    Cost,
}

impl FromStr for Policy {
    type Err = ();

    fn from_str(name: &str) -> Result<Policy, ()> {
        match name {
            "latency" => Ok(Policy::Latency),
            "cost" => Ok(Policy::Cost),
            _ => Err(()),
        }
    }
}
