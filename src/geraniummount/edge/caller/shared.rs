//! State shared by the threads of the callers' server.
//!
//! A survey of a service asks the VMs which snapshots (versions of the index) the service's leaves
//! hold.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{Options, ReadinessCheck};
use crate::core::traffic::Traffic;
use crate::edge::dispatcher::Dispatcher;
use crate::edge::metrics::Metrics;
use crate::prelude::*;
use crate::util::published::Published;

/// State of the callers' server.
pub(super) struct Shared {
    /// Address and limits of the server.
    pub(super) options: Options,
    /// Current view: the configuration in force, and what this VM knows of the other VMs and of
    /// draining leaves.
    pub(super) view: Arc<Published<View>>,
    /// Dispatcher that sends parts, the shares of a request for single shards, to the leaves.
    pub(super) dispatcher: Dispatcher,
    /// Metrics of the process.
    pub(super) metrics: Metrics,
    /// State that all queries share: statistics of earlier queries, budgets of retries and the
    /// snapshots that leaves hold.
    pub(super) traffic: Mutex<Traffic>,
    /// Returns whether this VM has the configuration and the view of other VMs that it needs to
    /// serve callers.
    pub(super) ready: ReadinessCheck,
    /// Set when the server stops reading requests.
    pub(super) stopping: AtomicBool,
    /// Number of open connections.
    pub(super) connections: AtomicUsize,
    /// Number of queries and non-idempotent requests in flight.
    pub(super) running_queries: AtomicUsize,
    /// Recently queried services with the time of the last query, sorted by name.
    pub(super) last_queries: Mutex<Vec<(ServiceName, Instant)>>,
}

impl Shared {
    /// Returns whether this VM has what it needs to serve callers, see [`Shared::ready`].
    pub(super) fn is_ready(&self) -> bool {
        (self.ready)()
    }

    /// Locks the state gathered from earlier queries.
    pub(super) fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the services are queried at `now`.
    pub(super) fn record_use(&self, services: &[ServiceName], now: Instant) {
        let mut last_queries = self
            .last_queries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for service in services {
            match last_queries.binary_search_by(|(name, _)| name.cmp(service)) {
                Ok(index) => last_queries[index].1 = now,
                Err(index) => last_queries.insert(index, (service.clone(), now)),
            }
        }
    }

    /// Removes the services whose last query is `max_idle` or more ago from `last_queries`. Returns
    /// those of the remaining services that are due for another survey.
    pub(super) fn surveys_due(&self, max_idle: Duration, now: Instant) -> Vec<ServiceName> {
        let mut last_queries = self
            .last_queries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_queries.retain(|(_, at)| now.saturating_duration_since(*at) < max_idle);
        let names: Vec<ServiceName> = last_queries.iter().map(|(name, _)| name.clone()).collect();
        drop(last_queries);
        let traffic = self.traffic();
        let mut due = names;
        due.retain(|service| traffic.holdings.is_survey_due(service, now));
        due
    }
}

/// One unit of a bounded counter, released on drop.
pub(super) struct Permit<'a>(&'a AtomicUsize);

impl<'a> Permit<'a> {
    /// Acquires one unit. Returns `None` if the counter is at the limit.
    pub(super) fn try_acquire(counter: &'a AtomicUsize, limit: usize) -> Option<Permit<'a>> {
        let before = counter.fetch_add(1, Ordering::AcqRel);
        let permit = Permit(counter);
        (before < limit).then_some(permit)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
