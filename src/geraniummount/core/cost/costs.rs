//! Table of the expected work by service, route, tenant and size class.

use std::time::{Duration, Instant};

use super::{Estimate, Profile};

/// Maximum number of entries. The one that was not updated for longest is evicted; its requests are
/// then estimated by the route or the service.
pub const MAX_ENTRIES: usize = 512;

/// Assumed work of a request before any was learned.
const DEFAULT_WORK: Duration = Duration::from_millis(20);

/// Number of requests with which an entry counts as much as the entry that is less specific.
const PRIOR_WEIGHT: f64 = 3.0;

/// Number of requests from which on an entry replaces what is known of its route as a whole.
const MIN_INFORMED_WEIGHT: f64 = 16.0;

/// Limits of [`Costs::route_factor`], which bound what a wrong estimate does to hedges.
const ROUTE_FACTORS: (f64, f64) = (0.5, 4.0);

/// Service, route, tenant and size class plus one. An entry that stands for all values of a field
/// has the empty string or zero there.
type Key<'a> = (&'a str, &'a str, &'a str, u8);

#[derive(Debug)]
struct Entry {
    service: String,
    route: String,
    tenant: String,
    size: u8,
    estimate: Estimate,
}

impl Entry {
    fn key(&self) -> Key<'_> {
        (&self.service, &self.route, &self.tenant, self.size)
    }
}

/// Expected work of requests.
#[derive(Debug, Default)]
pub struct Costs {
    /// Sorted by key.
    entries: Vec<Entry>,
}

impl Costs {
    /// Records the work of a request.
    pub fn record(&mut self, service: &str, profile: &Profile, work: Duration, now: Instant) {
        for key in keys(service, profile) {
            self.entry(key, now).estimate.record(work, now);
        }
    }

    /// Returns the expected work of a request at a leaf of usual speed.
    pub fn expected(&self, service: &str, profile: &Profile, now: Instant) -> Duration {
        let keys = keys(service, profile);
        let known = keys.iter().filter_map(|key| self.estimate(*key));
        known.fold(DEFAULT_WORK, |prior, estimate| {
            let weight = estimate.weight(now);
            let share = weight / (weight + PRIOR_WEIGHT);
            estimate.mean().mul_f64(share) + prior.mul_f64(1.0 - share)
        })
    }

    /// Returns the mean work of the requests to a service.
    pub fn typical(&self, service: &str) -> Duration {
        let estimate = self.estimate((service, "", "", 0));
        estimate.map_or(DEFAULT_WORK, Estimate::mean)
    }

    /// Returns the expected work relative to that of all requests of the route; 1 if too few
    /// requests were observed to tell them apart.
    pub fn route_factor(&self, service: &str, profile: &Profile, now: Instant) -> f64 {
        let [_, route, own] = keys(service, profile).map(|key| self.estimate(key));
        let (Some(route), Some(own)) = (route, own) else {
            return 1.0;
        };
        let is_informed = own.weight(now) >= MIN_INFORMED_WEIGHT && !route.mean().is_zero();
        let factor = own.mean().as_secs_f64() / route.mean().as_secs_f64().max(1e-6);
        match is_informed {
            true => factor.clamp(ROUTE_FACTORS.0, ROUTE_FACTORS.1),
            false => 1.0,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing was learned.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn estimate(&self, key: Key<'_>) -> Option<&Estimate> {
        let index = self.search(key).ok()?;
        Some(&self.entries[index].estimate)
    }

    fn search(&self, key: Key<'_>) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key().cmp(&key))
    }

    fn entry(&mut self, key: Key<'_>, now: Instant) -> &mut Entry {
        let index = self.search(key).unwrap_or_else(|_| {
            self.make_room();
            let index = self.search(key).unwrap_or_else(|index| index);
            let (service, route, tenant, size) = key;
            let entry = Entry {
                service: service.to_string(),
                route: route.to_string(),
                tenant: tenant.to_string(),
                size,
                estimate: Estimate::new(now),
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }

    fn make_room(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, entry)| entry.estimate.updated_at());
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.entries.remove(index);
        }
    }
}

/// Returns the keys of a request, from the least to the most specific.
fn keys<'a>(service: &'a str, profile: &'a Profile) -> [Key<'a>; 3] {
    let tenant = profile.tenant.as_deref().unwrap_or_default();
    [
        (service, "", "", 0),
        (service, &profile.route, "", 0),
        (
            service,
            &profile.route,
            tenant,
            profile.size_class.saturating_add(1),
        ),
    ]
}
