//! Limit on the requests that a leaf takes from all VMs together, as the leaf named it last.

use std::time::Instant;

use super::notice::NamedLimit;

/// A limit that a leaf named and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Number of requests per second that the leaf takes from all VMs together.
    pub per_second: f64,
    /// When the leaf named the limit last.
    named_at: Instant,
    /// Attempts of this VM at the leaf since the limit began.
    attempts: LimitedAttempts,
}

/// Attempts of this VM at a leaf since the leaf's limit began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitedAttempts {
    /// First attempts.
    pub first: u64,
    /// Retries and hedges.
    pub extra: u64,
}

/// How a response of a leaf changes the leaf's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The leaf still has a limit, or still has none.
    Unchanged,
    /// The leaf had no limit before, and now takes this number of requests per second.
    Began(f64),
    /// The leaf has no limit any more.
    Ended(LimitedAttempts),
}

impl Limit {
    /// Counts an attempt of this VM at the leaf.
    pub(super) fn count(&mut self, is_extra: bool) {
        match is_extra {
            true => self.attempts.extra += 1,
            false => self.attempts.first += 1,
        }
    }

    /// Updates the limit of a leaf by what a response to a request that was sent at `sent_at` says.
    ///
    /// A response to a request that is older than the last naming says nothing about the end of the
    /// limit, as responses on different connections may overtake each other.
    pub(super) fn update(
        limit: &mut Option<Limit>,
        named: NamedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        match (named, &mut *limit) {
            (NamedLimit::PerSecond(per_second), Some(known)) => {
                known.per_second = per_second;
                known.named_at = now;
                LimitChange::Unchanged
            }
            (NamedLimit::PerSecond(per_second), None) => {
                *limit = Some(Limit {
                    per_second,
                    named_at: now,
                    attempts: LimitedAttempts::default(),
                });
                LimitChange::Began(per_second)
            }
            (NamedLimit::Absent, Some(known)) if sent_at >= known.named_at => {
                let attempts = known.attempts;
                *limit = None;
                LimitChange::Ended(attempts)
            }
            (NamedLimit::Absent | NamedLimit::Unreadable, _) => LimitChange::Unchanged,
        }
    }
}
