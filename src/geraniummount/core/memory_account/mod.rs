//! Account of the memory that a VM holds for others, and of its connections. Decides which
//! connections are closed, and which requests are refused, when either runs short.
//!
//! Load pattern: hundreds of callers that nobody controls send as much of a request as the limits on
//! a single request let them, stop just short of its end and stay: bodies at once, in pieces or in
//! chunks of one byte, chunk extensions, heads; or they do not read their answers. 200 bodies of
//! 900 KB take 226 MB, and the smallest VM has 112 MB. Ordinary callers come all the while; they send
//! a body and take an answer within some milliseconds.
//!
//! The connections that are closed first are therefore those with the largest product of the bytes
//! that they hold and of the time that they have held them, not the newest ones. A connection that has
//! just begun is never closed for others. What is closed or refused here has not run.

mod candidate;
mod holder;
mod limits;
mod share;

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

pub use self::candidate::Candidate;
pub use self::holder::Holder;
pub use self::limits::Limits;
pub use self::share::Share;

use self::share::Counters;

/// A connection is not closed for others before this time. An ordinary caller sends its request or
/// takes its answer in a fraction of it.
const MIN_AGE: Duration = Duration::from_millis(250);

/// Size of what an ordinary request holds. It is admitted within a reserve of its own, so that a
/// crowd that has filled the memory a moment ago does not keep ordinary callers out.
pub const SMALL_BYTES: usize = 16 * 1024;

/// The reserve for small requests, and what is freed beyond the need when connections are closed, are
/// the bound divided by this. Without it, each further byte would close one connection.
const RESERVE_DIVISOR: usize = 8;

/// Callers get at least the maximum number of connections divided by this.
const CALLERS_DIVISOR: usize = 8;

/// Account of what one VM holds.
#[derive(Debug)]
pub struct Account {
    counters: Arc<Counters>,
    limits: Limits,
}

impl Account {
    /// Creates an account of which nothing is held.
    pub fn new(limits: Limits) -> Account {
        Account {
            counters: Arc::default(),
            limits,
        }
    }

    /// Returns the bounds.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns an empty share of a holder.
    pub fn share(&self, holder: Holder) -> Share {
        Share::new(Arc::clone(&self.counters), holder)
    }

    /// Returns the number of bytes that a holder holds.
    pub fn held(&self, holder: Holder) -> usize {
        self.counters.held(holder)
    }

    /// Returns the number of bytes held in all.
    pub fn total(&self) -> usize {
        self.counters.total.load(Ordering::Relaxed)
    }

    /// Returns whether more than the bound is held.
    pub fn is_over(&self) -> bool {
        self.total() > self.limits.max_bytes
    }

    /// Returns whether a request of which `own` bytes are held already may hold `needed` more. One
    /// beside which next to nothing is held is always admitted, whatever its size.
    pub fn admits(&self, own: usize, needed: usize) -> bool {
        let total = self.total();
        let is_alone = total.saturating_sub(own) <= SMALL_BYTES;
        let is_small = own.saturating_add(needed) <= SMALL_BYTES;
        let reserve = if is_small { self.reserve() } else { 0 };
        is_alone || total.saturating_add(needed) <= self.limits.max_bytes + reserve
    }

    /// Returns the connections to close so that `needed` more bytes can be held: none if there is
    /// room, otherwise those that have cost most.
    pub fn choose(
        &self,
        needed: usize,
        mut candidates: Vec<Candidate>,
        now: Instant,
    ) -> Vec<usize> {
        let wanted = self.total().saturating_add(needed);
        if wanted <= self.limits.max_bytes {
            return Vec::new();
        }
        let excess = wanted - self.limits.max_bytes + self.reserve();
        candidates.retain(|candidate| candidate.age(now) >= MIN_AGE && candidate.bytes > 0);
        candidates.sort_unstable_by_key(|candidate| Reverse(candidate.cost(now)));
        let mut freed = 0;
        let chosen = candidates.iter().take_while(|candidate| {
            let is_needed = freed < excess;
            freed += candidate.bytes;
            is_needed
        });
        chosen.map(|candidate| candidate.key).collect()
    }

    /// Returns whether another caller's connection can be accepted. `callers` is the number of their
    /// connections, and `others` that of the connections to leaves and to other VMs. Those may be
    /// many in a large fleet; a part of the descriptors is left to callers all the same.
    pub fn accepts(&self, callers: usize, others: usize) -> bool {
        let max = self.limits.max_connections;
        callers < max / CALLERS_DIVISOR || callers.saturating_add(others) < max
    }

    /// Returns the connection to close for another one: the one that has moved least, for longest.
    pub fn choose_connection(&self, candidates: &[Candidate], now: Instant) -> Option<usize> {
        let old = candidates.iter();
        let old = old.filter(|candidate| candidate.age(now) >= MIN_AGE);
        old.min_by_key(|candidate| candidate.since)
            .map(|candidate| candidate.key)
    }

    fn reserve(&self) -> usize {
        self.limits.max_bytes / RESERVE_DIVISOR
    }
}
