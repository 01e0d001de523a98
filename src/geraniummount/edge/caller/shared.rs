//! What the threads of the callers' server share.

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
    /// Bounds on requests.
    pub(super) options: Options,
    /// What this VM knows.
    pub(super) view: Arc<Published<View>>,
    /// Way to the leaves.
    pub(super) dispatcher: Dispatcher,
    /// What the process counts.
    pub(super) metrics: Metrics,
    /// What queries learnt.
    pub(super) traffic: Mutex<Traffic>,
    /// Whether this VM knows enough to be sent callers.
    pub(super) ready: ReadinessCheck,
    /// Set when no further request is read.
    pub(super) stopping: AtomicBool,
    /// Open connections.
    pub(super) connections: AtomicUsize,
    /// Queries that run now.
    pub(super) running_queries: AtomicUsize,
    /// Services asked for, with the time of the last query.
    pub(super) last_queries: Mutex<Vec<(ServiceName, Instant)>>,
}

impl Shared {
    /// Whether this VM knows enough to be sent callers.
    pub(super) fn is_ready(&self) -> bool {
        (self.ready)()
    }

    /// Locks what queries learnt.
    pub(super) fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that services are asked for.
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

    /// Returns the services in use whose survey is due.
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

/// A unit of a counter, given back when dropped.
pub(super) struct Permit<'a>(&'a AtomicUsize);

impl<'a> Permit<'a> {
    /// Takes one unit, unless the limit is reached.
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
