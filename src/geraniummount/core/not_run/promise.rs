//! Which responses may reach a caller, by what their status promises.
//!
//! A caller repeats a request that may run only once after a status that promises that it has not run. A
//! leaf may fail with such a status after it has begun to work, and means nothing else by it; a leaf that
//! has not run the request says so in a field, and its status then never reaches a caller. For a request
//! that may run more than once, the leaf's own status does no harm.

use super::Author;
use crate::core::route::Repeat;

/// Statuses by which a response promises that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether a response with this status promises that the request has not run and never will.
fn promises_not_run(status: u16) -> bool {
    PROMISES.contains(&status)
}

/// Returns whether a response may reach the caller: either it promises nothing, or what it promises is
/// true, or does no harm. `may_have_run` says whether another VM or leaf than the author may have run
/// the request.
pub fn may_reach_caller(status: u16, author: Author, repeat: Repeat, may_have_run: bool) -> bool {
    if !promises_not_run(status) {
        return true;
    }
    match author {
        Author::Leaf => repeat == Repeat::Idempotent,
        Author::Vm => !may_have_run,
    }
}
