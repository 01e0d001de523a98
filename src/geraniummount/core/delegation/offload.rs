//! Decides which queries a VM passes to a stronger VM of its failure domain although it could serve
//! them itself.
//!
//! Load pattern: the VMs of a failure domain differ in processor share by a factor of four to six,
//! and callers come to all of them. A query over a hundred shards costs a send and a read for each
//! shard. On the weakest VMs that takes 20 to 40 ms, of a target latency of 60 to 150 ms. Each of
//! a hundred VMs sees a query every few seconds, so it knows little about the leaves, and most of
//! its connections to them are cold. A few stronger VMs that serve the queries of their domain take
//! a fraction of the time, and learn from all of them. Passing a request on costs a VM no more than
//! a few parts do.
//!
//! If the stronger VM can't be reached, or declines the query, the VM that the caller has reached
//! serves the query itself. Once the query was sent and has no answer, it may have used all attempts
//! that its route permits, so it fails.

use std::time::Duration;

use crate::prelude::*;

/// Minimum number of parts of a query that is passed on. A query with fewer parts costs its VM
/// little more than passing it on.
const MIN_PARTS: usize = 24;

/// Minimum ratio between the processor share of a VM that serves a query for another, and that of
/// the other one.
const MIN_STRENGTH_RATIO: Millicores = 2;

/// Processor time that a part of a query costs, on a whole core.
const PART_TIME: Duration = Duration::from_micros(20);

/// Time that a VM needs for the parts in flight from which on it serves no further queries of other
/// VMs. They would wait there for about as long as their own VMs would take.
const MAX_BACKLOG: Duration = Duration::from_millis(60);

/// Time for which a query of another VM may have waited to be read. One that has waited longer is
/// declined, as the other VM soon gives it up, and its answer would be of no use.
const MAX_READ_DELAY: Duration = Duration::from_millis(15);

/// Returns whether a query of another VM that may have waited for `waited` to be read is served.
pub fn is_read_in_time(waited: Duration) -> bool {
    waited <= MAX_READ_DELAY
}

/// Returns whether a query with this number of parts is passed to a stronger VM.
pub fn is_worthwhile(parts: usize) -> bool {
    parts >= MIN_PARTS
}

/// Returns whether a VM with the processor share `other` is strong enough to serve the queries of
/// one with `own`. A share of 0 is not known.
pub fn is_stronger(other: Millicores, own: Millicores) -> bool {
    own > 0 && other >= own.saturating_mul(MIN_STRENGTH_RATIO)
}

/// Returns whether a VM with the processor share `own` has time for further queries of other VMs
/// while it has this number of parts in flight.
pub fn has_room(parts_in_flight: usize, own: Millicores) -> bool {
    let parts = u32::try_from(parts_in_flight).unwrap_or(u32::MAX);
    let core_time = PART_TIME.saturating_mul(parts);
    core_time.saturating_mul(1_000) < MAX_BACKLOG.saturating_mul(own)
}
