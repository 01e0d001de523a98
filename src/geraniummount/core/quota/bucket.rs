//! Tokens of one tenant, each of which permits one request.

use std::time::Duration;

use super::LOAN_TIME;
use super::share::Share;
use crate::core::boot_time::BootTime;
use crate::core::tenant::Quota;
use crate::core::tolerance::Tolerance;
use crate::prelude::*;

/// Share of what the bound tolerates beyond the quota that buckets hold in addition to the burst.
/// The rest covers requests that wait for their tokens, and spare tokens.
const RESERVE_SHARE: f64 = 0.5;

/// Share of what the bound tolerates beyond the quota that accrues while all VMs wait for their
/// portions after a restart. It is within the half that [`RESERVE_SHARE`] leaves.
const START_SHARE: f64 = 0.25;

/// Share of a bucket below which tokens are asked of other domains, before it is empty.
const LOW_SHARE: f64 = 0.5;

/// Share of a bucket above which spare tokens are granted.
const WELL_FILLED_SHARE: f64 = 0.6;

/// Maximum number of spare tokens granted within a second, as a share of a bucket. The bucket
/// fills again before they are used, so they add to what runs within the window.
const SPARE_SHARE: f64 = 0.05;

/// Maximum number of spare tokens in one grant.
const MAX_SPARE: f64 = 4.0;

/// Two questions of the same VM within this time earn it spare tokens.
const SPARE_INTERVAL: Duration = Duration::from_millis(300);

/// Time constant of the demand for tokens, in seconds. Chosen, not measured.
const DEMAND_SECONDS: f64 = 1.0;

/// Longest wait that is stated to a caller; a portion near zero would give hours.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What the bound tolerates beyond a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Reserve {
    /// Span over which requests are counted.
    pub(super) window: Duration,
    pub(super) tolerance: Tolerance,
}

/// Tokens of one tenant.
#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) tenant: TenantName,
    quota: Quota,
    /// Maximum number of tokens for the whole quota.
    capacity: f64,
    /// Tokens that accrue for each second for which all VMs wait for their portions.
    start_rate: f64,
    tokens: f64,
    /// Parts of tokens of a portion so small that its bucket never holds a whole one. They add up
    /// from a random start, so that over all VMs no more is granted than accrues.
    carry: f64,
    /// Total of the share up to which tokens have accrued.
    accrued: f64,
    /// Sum of the waits of restarted VMs up to which tokens have accrued.
    start_accrued: f64,
    /// Tokens asked for recently, whether granted or not, each weighted by its age.
    demand: f64,
    /// Spare tokens granted recently, each weighted by its age.
    spare: f64,
    /// VM that asked last, and when.
    last_asker: Option<(VmName, BootTime)>,
    demand_at: BootTime,
}

impl Bucket {
    /// Creates an empty bucket. `carry` is a random number from 0 to 1.
    pub(super) fn new(tenant: TenantName, quota: Quota, reserve: &Reserve, carry: f64) -> Bucket {
        Bucket {
            tenant,
            quota,
            capacity: reserve.capacity(quota),
            start_rate: reserve.start_rate(quota),
            tokens: 0.0,
            carry,
            accrued: 0.0,
            start_accrued: 0.0,
            demand: 0.0,
            spare: 0.0,
            last_asker: None,
            demand_at: BootTime::default(),
        }
    }

    /// Changes the quota. Tokens beyond the new capacity are lost; none are added.
    pub(super) fn set_quota(&mut self, quota: Quota, reserve: &Reserve, share: &Share) {
        self.settle(share);
        self.quota = quota;
        self.capacity = reserve.capacity(quota);
        self.start_rate = reserve.start_rate(quota);
        self.settle(share);
    }

    /// Fills the bucket.
    pub(super) fn fill(&mut self, share: &Share) {
        self.settle(share);
        self.tokens = self.max_tokens(share);
    }

    /// Starts to accrue tokens from now on.
    pub(super) fn start(&mut self, share: &Share) {
        self.accrued = share.total();
        self.start_accrued = share.start_allowance_total();
    }

    /// Adds the tokens that have accrued, and removes those beyond the present capacity. Has to be
    /// called after each decrease of the share, as a share that returns brings back no tokens.
    pub(super) fn settle(&mut self, share: &Share) {
        let seconds = share.total() - self.accrued;
        self.accrued = share.total();
        let started = share.start_allowance_total() - self.start_accrued;
        self.start_accrued = share.start_allowance_total();
        let accrued = self.quota.per_second * seconds.max(0.0) + self.start_rate * started;
        self.tokens = (self.tokens + accrued).min(self.max_tokens(share));
    }

    /// Records that a token is asked for.
    pub(super) fn record_demand(&mut self, now: BootTime) {
        let passed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        let decay = (-passed / DEMAND_SECONDS).exp();
        self.demand_at = now;
        self.demand = self.demand * decay + 1.0;
        self.spare *= decay;
    }

    /// Takes a token if there is one.
    pub(super) fn take(&mut self, share: &Share) -> bool {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        if self.max_tokens(share) >= 1.0 {
            return false;
        }
        self.carry += std::mem::take(&mut self.tokens);
        let is_whole = self.carry >= 1.0;
        self.carry -= f64::from(u8::from(is_whole));
        is_whole
    }

    /// Takes spare tokens for the VM that has just got one, if it asks often and there are many.
    pub(super) fn take_spare(&mut self, asker: &VmName, share: &Share, now: BootTime) -> u32 {
        let last = self.last_asker.replace((asker.clone(), now));
        let is_recent = |at: BootTime| now.saturating_duration_since(at) < SPARE_INTERVAL;
        let is_frequent = last.is_some_and(|(vm, at)| vm == *asker && is_recent(at));
        let max_tokens = self.max_tokens(share);
        if !is_frequent || self.tokens < WELL_FILLED_SHARE * max_tokens {
            return 0;
        }
        let room = SPARE_SHARE * max_tokens - self.spare;
        let count = room.min(MAX_SPARE).floor().max(0.0);
        self.tokens -= count;
        self.spare += count;
        count as u32
    }

    /// Gives away tokens that are not needed here; returns their number.
    pub(super) fn give(&mut self, wanted: f64, share: &Share, now: BootTime) -> f64 {
        let passed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        let demand = self.demand * (-passed / DEMAND_SECONDS).exp();
        let kept = demand.min(LOW_SHARE * self.max_tokens(share));
        let given = (self.tokens - kept).min(wanted).max(0.0);
        self.tokens -= given;
        given
    }

    /// Adds tokens of another VM. Those beyond the capacity are lost with the next
    /// [`Bucket::settle`].
    pub(super) fn receive(&mut self, given: f64) {
        self.tokens += given;
    }

    /// Returns whether the bucket is so low that other domains should be asked.
    pub(super) fn is_low(&self, share: &Share) -> bool {
        self.tokens < LOW_SHARE * self.max_tokens(share)
    }

    /// Returns the number of tokens that the bucket lacks.
    pub(super) fn room(&self, share: &Share) -> f64 {
        (self.max_tokens(share) - self.tokens).max(0.0)
    }

    /// Returns the number of tokens.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the time until the next token; `None` if the share is 0.
    pub(super) fn wait(&self, share: &Share) -> Option<Duration> {
        let per_second = self.quota.per_second * share.current();
        if per_second <= 0.0 {
            return None;
        }
        let seconds = (1.0 - self.tokens).max(0.0) / per_second;
        Some(Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())))
    }

    fn max_tokens(&self, share: &Share) -> f64 {
        let start = self.start_rate * share.start_allowance_kept();
        start.max(self.capacity * share.current())
    }
}

impl Reserve {
    /// Returns how many tokens all buckets of a tenant hold together.
    fn capacity(&self, quota: Quota) -> f64 {
        quota.burst + RESERVE_SHARE * self.tolerated(quota)
    }

    /// Returns how many tokens of a tenant accrue for each second for which all VMs wait.
    fn start_rate(&self, quota: Quota) -> f64 {
        START_SHARE * self.tolerated(quota) / LOAN_TIME.as_secs_f64()
    }

    /// Returns how many requests the bound tolerates beyond a quota.
    fn tolerated(&self, quota: Quota) -> f64 {
        let allowed = quota.per_second * self.window.as_secs_f64() + quota.burst;
        allowed * self.tolerance.share + self.tolerance.requests
    }
}
