//! What the threads of the callers' server share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{Options, Ready};
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
    pub(super) ready: Ready,
    /// Set when no further request is read.
    pub(super) stopping: AtomicBool,
    /// Open connections.
    pub(super) connections: AtomicUsize,
    /// Queries that run now.
    pub(super) running: AtomicUsize,
    /// Services asked for, with the time of the last query.
    pub(super) used: Mutex<Vec<(ServiceName, Instant)>>,
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
    pub(super) fn note_use(&self, services: &[ServiceName], now: Instant) {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        for service in services {
            match used.binary_search_by(|(name, _)| name.cmp(service)) {
                Ok(place) => used[place].1 = now,
                Err(place) => used.insert(place, (service.clone(), now)),
            }
        }
    }

    /// Returns the services in use whose survey is due.
    pub(super) fn surveys_due(&self, in_use: Duration, now: Instant) -> Vec<ServiceName> {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.retain(|(_, at)| now.saturating_duration_since(*at) < in_use);
        let names: Vec<ServiceName> = used.iter().map(|(name, _)| name.clone()).collect();
        drop(used);
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
    pub(super) fn take(counter: &'a AtomicUsize, limit: usize) -> Option<Permit<'a>> {
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
