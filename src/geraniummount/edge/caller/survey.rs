//! Asks the owners of leaves which snapshots the leaves hold.
//!
//! A service that was never asked for is surveyed before its first query
//! goes out; one in use is surveyed in the background.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::shared::Shared;
use crate::core::layout::Layout;
use crate::prelude::*;

/// Longest wait of a first query for the survey.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Wait between two tries of the first survey.
const TRY_STEP: Duration = Duration::from_millis(20);

/// Wait of a survey in the background.
const BACKGROUND_WAIT: Duration = Duration::from_millis(200);

/// Step in which services in use are looked at.
const BACKGROUND_STEP: Duration = Duration::from_millis(100);

/// Time after its last query for which a service counts as in use.
const IN_USE: Duration = Duration::from_secs(30);

/// Surveys those services of a layout that are unknown, and waits for the
/// result for a part of the query's time.
pub(super) fn before_query(shared: &Shared, layout: &Layout, time: Duration) {
    let services = layout.services();
    shared.note_use(&services, Instant::now());
    let end = Instant::now() + (time / 4).min(FIRST_WAIT);
    loop {
        let mut unknown = services.clone();
        unknown.retain(|service| shared.traffic().holdings.is_unsurveyed(service));
        let wait = end.saturating_duration_since(Instant::now());
        if unknown.is_empty() || wait.is_zero() {
            return;
        }
        let found = survey_all(shared, &unknown, wait);
        if found < unknown.len() {
            thread::sleep(TRY_STEP.min(wait));
        }
    }
}

/// Surveys services in use until the server stops.
pub(super) fn in_background(shared: &Arc<Shared>) {
    while !shared.stopping.load(Ordering::Acquire) {
        thread::sleep(BACKGROUND_STEP);
        let due = shared.surveys_due(IN_USE, Instant::now());
        survey_all(shared, &due, BACKGROUND_WAIT);
    }
}

/// Surveys services side by side; returns how many gave a result.
fn survey_all(shared: &Shared, services: &[ServiceName], wait: Duration) -> usize {
    if let [service] = services {
        return usize::from(survey(shared, service, wait));
    }
    thread::scope(|scope| {
        let spawned = services.iter().map(|service| {
            let thread = thread::Builder::new();
            thread.spawn_scoped(scope, move || survey(shared, service, wait))
        });
        let threads: Vec<_> = spawned.filter_map(Result::ok).collect();
        let found = threads.into_iter().map(|thread| thread.join());
        found.filter(|found| matches!(found, Ok(true))).count()
    })
}

fn survey(shared: &Shared, service: &str, wait: Duration) -> bool {
    let view = shared.view.get();
    let Some(record) = view.catalog.service(service) else {
        return false;
    };
    let held = shared.dispatcher.holdings(&record.spec, wait);
    let found = held.iter().any(|holding| !holding.snapshots.is_empty());
    if found {
        let holdings = &mut shared.traffic().holdings;
        holdings.record_survey(service, held, Instant::now());
    }
    found
}
