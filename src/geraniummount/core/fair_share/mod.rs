//! Decides which requests are shed while leaves are short of capacity, by priority and tenant.
//!
//! Load pattern: leaves take less than what callers send, because leaves were lost or one of many
//! tenants sends several times its usual rate for seconds. First come, first served would let that
//! tenant take the capacity of the others. A VM on a small deployment sees tens of requests a second
//! and can tell the tenants apart; on a large one it sees one request in two seconds, of which
//! nothing follows about any tenant. No VM sees the queues of the leaves.
//!
//! The overload itself is measured elsewhere (`core::load_shedder`, [`Shortage`]), as the share of
//! the requests to shed. [`FairShare`] decides which ones these are:
//!
//! 1. Between priorities, by strict order: the capacity goes to the lowest number first. Each
//!    priority keeps a floor, [`MIN_ADMITTED_RATIO`] of the share that is admitted of all requests.
//! 2. Between the tenants of a priority, max-min by weight ([`water_level`]): each is admitted up to
//!    the same multiple of its weight and is shed above it. A tenant keeps the same floor. The
//!    weights are equal at first and become the tenants' usual rates as these are known.
//!
//! Both need evidence. If the VM saw too few requests in the last seconds, tenants are not told
//! apart, and priorities are compared over a longer time; if it saw too few in that time as well,
//! lower priorities are only shed somewhat more often.

mod claimant;
mod decayed;
mod decision;
mod entry;
mod shortage;
mod water_level;

use std::time::{Duration, Instant};

pub use self::claimant::Claimant;
pub use self::decision::{Cause, Decision, Shed, Window};
pub use self::shortage::{Outcome, Shortage};

use self::decayed::weight_of_one_per_second;
use self::entry::Entry;
use self::water_level::{Claim, water_level};
use crate::core::low_discrepancy::Sequence;

/// Minimum share admitted of a priority or of a tenant, as a ratio to the share admitted of all
/// requests. The requirement is a quarter; the rest is a margin for errors of measurement.
pub const MIN_ADMITTED_RATIO: f64 = 0.35;

/// Time constant of the demand that is compared with the fair share. A burst of 6 s has to show
/// within its first second.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time constant of the usual demand, which a burst of a few seconds must hardly change.
const USUAL_TIME_CONSTANT: Duration = Duration::from_secs(60);

/// Number of requests in a window from which on shares are derived from it. A share of a third
/// measured by 20 requests has a standard deviation of a tenth.
const MIN_SEEN: f64 = 20.0;

/// The same for the last minute, by which only priorities are compared: a VM that sees 0.6 requests
/// a second reaches it after half a minute.
const MIN_SEEN_USUALLY: f64 = 12.0;

/// Time in which usual rates replace equal weights by a factor of e.
const LEARNING_TIME: Duration = Duration::from_secs(15);

/// Maximum share of the usual rate in a weight; the rest is the mean of all tenants, so that a
/// tenant that has been idle is not shed entirely.
const MAX_USUAL_SHARE: f64 = 0.9;

/// Factor on the shed share of priorities after the first while they cannot be measured, as in
/// `core::load_shedder`.
const LOWER_PRIORITY_FACTOR: f64 = 1.3;

/// Maximum number of pairs of a tenant and a priority that are kept. The largest deployments have
/// 82 tenants.
const MAX_ENTRIES: usize = 256;

/// Bounds on the retry delay that is sent to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Recent requests for one service or one set of shards, by tenant and priority.
#[derive(Clone, Debug)]
pub struct FairShare {
    /// Sorted by claimant, that is, by priority first.
    entries: Vec<Entry>,
    started_at: Instant,
    /// Evenly spread points, from which the credit of each entry starts.
    sequence: Sequence,
}

impl FairShare {
    /// Starts to measure. `start` in [0, 1) differs between VMs, so that VMs which see few requests
    /// do not all shed their first one.
    pub fn new(now: Instant, start: f64) -> FairShare {
        FairShare {
            entries: Vec::new(),
            started_at: now,
            sequence: Sequence::starting_after(start),
        }
    }

    /// Records a request, whether it is going to be admitted or not.
    pub fn record(&mut self, claimant: &Claimant, now: Instant) {
        let index = match self.find(claimant) {
            Ok(index) => index,
            Err(_) => self.insert(claimant, now),
        };
        let scale = self.recent_per_usual(now);
        let entry = &mut self.entries[index];
        entry.record(scale, now);
    }

    /// Decides about a recorded request. `shed_share` is the share of all requests to shed, from 0
    /// to 1. `target_latency` is the target latency of the request, by which a refused caller's delay is
    /// derived.
    pub fn decide(
        &mut self,
        claimant: &Claimant,
        shed_share: f64,
        target_latency: Duration,
        now: Instant,
    ) -> Decision {
        if shed_share <= 0.0 {
            return Decision::Admit;
        }
        let shed = self.assess(claimant, shed_share.min(1.0), target_latency, now);
        let is_admitted = match self.find(claimant) {
            Ok(index) => self.entries[index].take_credit(shed.admitted),
            Err(_) => true,
        };
        match is_admitted {
            true => Decision::Admit,
            false => Decision::Shed(shed),
        }
    }

    /// Returns the number of tenants and priorities that are kept.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns what is admitted of the claimant's requests, and by which figures.
    fn assess(
        &self,
        claimant: &Claimant,
        share: f64,
        target_latency: Duration,
        now: Instant,
    ) -> Shed {
        let recent: f64 = self.entries.iter().map(|entry| entry.recent(now)).sum();
        let usual: f64 = self.entries.iter().map(|entry| entry.usual(now)).sum();
        let (window, seen) = match (recent >= MIN_SEEN, usual >= MIN_SEEN_USUALLY) {
            (true, _) => (Window::Recent, recent),
            (false, true) => (Window::Usual, usual),
            (false, false) => (Window::None, usual),
        };
        let of_all = 1.0 - share;
        let of_priority = match window {
            Window::None => self.unmeasured_priority_share(claimant.priority, share),
            Window::Recent | Window::Usual => {
                self.priority_share(claimant.priority, window, of_all, now)
            }
        };
        let mut shed = Shed {
            admitted: of_priority,
            cause: match of_priority < of_all - 1e-9 {
                true => Cause::Priority,
                false => Cause::Load,
            },
            seen,
            window,
            demand: None,
            fair_share: None,
            retry_after: MIN_RETRY_AFTER,
        };
        if window == Window::Recent {
            self.apply_tenant_share(&mut shed, claimant, of_all, target_latency, now);
        }
        shed
    }

    /// Returns the share admitted of a priority that cannot be measured.
    fn unmeasured_priority_share(&self, priority: u32, share: f64) -> f64 {
        let first = self.entries.first();
        let is_first = first.is_none_or(|first| priority <= first.claimant.priority);
        let factor = if is_first { 1.0 } else { LOWER_PRIORITY_FACTOR };
        (1.0 - share * factor).max((1.0 - share) * MIN_ADMITTED_RATIO)
    }

    /// Returns the share admitted of a priority, if capacity goes to the lowest number first and
    /// each priority keeps its floor.
    fn priority_share(&self, priority: u32, window: Window, of_all: f64, now: Instant) -> f64 {
        let floor = of_all * MIN_ADMITTED_RATIO;
        let (mut before, mut own, mut all) = (0.0, 0.0, 0.0);
        for entry in &self.entries {
            let count = entry.count(window, now);
            all += count;
            match entry.claimant.priority.cmp(&priority) {
                std::cmp::Ordering::Less => before += count,
                std::cmp::Ordering::Equal => own += count,
                std::cmp::Ordering::Greater => {}
            }
        }
        if own <= 0.0 {
            return of_all;
        }
        let above_floors = all * (of_all - floor) - before * (1.0 - floor);
        (floor + above_floors / own).clamp(floor, 1.0)
    }

    /// Divides what is admitted of a priority between its tenants.
    fn apply_tenant_share(
        &self,
        shed: &mut Shed,
        claimant: &Claimant,
        of_all: f64,
        target_latency: Duration,
        now: Instant,
    ) {
        let of_priority = shed.admitted;
        let is_same = |entry: &&Entry| entry.claimant.priority == claimant.priority;
        let entries: Vec<&Entry> = self.entries.iter().filter(is_same).collect();
        let claims = self.claims(&entries, now);
        let capacity = of_priority * claims.iter().map(|claim| claim.demand).sum::<f64>();
        let floor = of_all * MIN_ADMITTED_RATIO;
        let level = water_level(&claims, floor, capacity);
        let own = entries
            .iter()
            .position(|entry| entry.claimant == *claimant)
            .map(|index| claims[index]);
        let Some(own) = own.filter(|own| own.demand > 0.0) else {
            return;
        };
        let fair_share = own.share(level, floor);
        let per_second = 1.0 / self.recent_weight(now);
        shed.admitted = fair_share / own.demand;
        if shed.admitted < of_priority - 1e-9 {
            shed.cause = Cause::Tenant;
        }
        shed.demand = Some(own.demand * per_second);
        shed.fair_share = Some(fair_share * per_second);
        shed.retry_after = retry_after(own.demand, fair_share, target_latency);
    }

    /// Returns the demand and the weight of each entry.
    fn claims(&self, entries: &[&Entry], now: Instant) -> Vec<Claim> {
        let age = now.saturating_duration_since(self.started_at);
        let learned = 1.0 - (-age.as_secs_f64() / LEARNING_TIME.as_secs_f64()).exp();
        let usual_share = learned * MAX_USUAL_SHARE;
        let scale = self.recent_per_usual(now);
        let usual = |entry: &Entry| entry.usual(now) * scale;
        let mean = entries.iter().map(|entry| usual(entry)).sum::<f64>() / entries.len() as f64;
        let claims = entries.iter().map(|entry| Claim {
            demand: entry.recent(now),
            weight: usual(entry) * usual_share + mean * (1.0 - usual_share),
        });
        claims.collect()
    }

    /// Returns the recent count of a tenant that sends one request per second.
    fn recent_weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        weight_of_one_per_second(RECENT_TIME_CONSTANT, age)
    }

    /// Returns the ratio of the recent count to the usual one of a tenant that sends as it usually
    /// does.
    fn recent_per_usual(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        self.recent_weight(now) / weight_of_one_per_second(USUAL_TIME_CONSTANT, age)
    }

    fn find(&self, claimant: &Claimant) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.claimant.cmp(claimant))
    }

    /// Adds an entry, and evicts the one with the fewest requests if there are too many.
    fn insert(&mut self, claimant: &Claimant, now: Instant) -> usize {
        if self.entries.len() >= MAX_ENTRIES {
            let counts = self.entries.iter().map(|entry| entry.usual(now));
            let fewest = counts.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
            if let Some((index, _)) = fewest {
                self.entries.remove(index);
            }
        }
        let index = self.find(claimant).unwrap_or_else(|index| index);
        let credit = self.sequence.next_point();
        self.entries
            .insert(index, Entry::new(claimant.clone(), credit, now));
        index
    }
}

/// Returns the time in which the tenant's share takes what the tenant sends above it within the
/// target latency: its backlog, if its callers wait that long.
fn retry_after(demand: f64, fair_share: f64, target_latency: Duration) -> Duration {
    let excess = (demand / fair_share.max(1e-6) - 1.0).clamp(0.0, 1e3);
    let wait = target_latency.min(MAX_RETRY_AFTER).mul_f64(excess);
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
