//! Surveys services: asks the owners of each service's leaves which snapshots the leaves hold.
//!
//! The owner of a leaf is the VM that holds the leaf's queue. A snapshot is a version of the index
//! at which every shard can be read.
//!
//! A service that has never been surveyed is surveyed before its first query is sent. Services in
//! use are surveyed in the background.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::shared::Shared;
use crate::core::layout::Layout;
use crate::prelude::*;

/// Maximum time that a first query waits for the survey.
const FIRST_SURVEY_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before a first survey that did not succeed is repeated.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Time limit of a background survey.
const BACKGROUND_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which services in use are checked for a due survey.
const BACKGROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time since its last query after which a service is no longer in use.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Surveys the services of a layout (the shards of a service, also those of included services) that
/// have never been surveyed. Waits for the results for a quarter of `query_timeout` and at most
/// [`FIRST_SURVEY_TIMEOUT`].
pub(super) fn before_query(shared: &Shared, layout: &Layout, query_timeout: Duration) {
    let services = layout.services();
    shared.record_use(&services, Instant::now());
    let deadline = Instant::now() + (query_timeout / 4).min(FIRST_SURVEY_TIMEOUT);
    loop {
        let mut unknown = services.clone();
        unknown.retain(|service| shared.traffic().holdings.is_unsurveyed(service));
        let timeout = deadline.saturating_duration_since(Instant::now());
        if unknown.is_empty() || timeout.is_zero() {
            return;
        }
        let succeeded = survey_all(shared, &unknown, timeout);
        if succeeded < unknown.len() {
            thread::sleep(RETRY_BACKOFF.min(timeout));
        }
    }
}

/// Surveys services in use until the server stops.
pub(super) fn in_background(shared: &Arc<Shared>) {
    while !shared.stopping.load(Ordering::Acquire) {
        thread::sleep(BACKGROUND_INTERVAL);
        let due = shared.surveys_due(MAX_IDLE, Instant::now());
        survey_all(shared, &due, BACKGROUND_TIMEOUT);
    }
}

/// Surveys services in parallel. Returns the number of surveys that found a snapshot.
fn survey_all(shared: &Shared, services: &[ServiceName], timeout: Duration) -> usize {
    if let [service] = services {
        return usize::from(survey(shared, service, timeout));
    }
    thread::scope(|scope| {
        let spawned = services.iter().map(|service| {
            let thread = thread::Builder::new();
            thread.spawn_scoped(scope, move || survey(shared, service, timeout))
        });
        let threads: Vec<_> = spawned.filter_map(Result::ok).collect();
        let found = threads.into_iter().map(|thread| thread.join());
        found.filter(|found| matches!(found, Ok(true))).count()
    })
}

/// Surveys a service and records which snapshots its leaves hold. Returns whether any leaf holds a
/// snapshot; if none does, nothing is recorded.
fn survey(shared: &Shared, service: &str, timeout: Duration) -> bool {
    let view = shared.view.get();
    let Some(record) = view.catalog.service(service) else {
        return false;
    };
    let held = shared.dispatcher.holdings(&record.spec, timeout);
    let found = held.iter().any(|holding| !holding.snapshots.is_empty());
    if found {
        let holdings = &mut shared.traffic().holdings;
        holdings.record_survey(service, held, Instant::now());
    }
    found
}
