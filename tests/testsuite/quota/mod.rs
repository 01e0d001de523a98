//! Tests of the quotas of tenants without a network.

mod exclusive;
mod fleet;
mod replay;
mod start;
