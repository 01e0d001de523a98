//! Tests of the quotas of tenants without a network.

mod allowance;
mod exclusive;
mod fleet;
mod replay;
mod shares;
mod start;
