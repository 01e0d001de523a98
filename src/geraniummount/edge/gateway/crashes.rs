//! Evidence of requests that crash leaves, and of those that do not.
//!
//! A leaf that closes the connection before its response to a request is complete counts as
//! crashed. The crashes during a call count once the call ends without an answer of any leaf: a
//! request that another leaf answers was only beside the crash.
//!
//! Crashes that were seen around a loss of this VM's links are doubted. They are refuted if the same
//! run of the leaf responds. They are proven if the run is not registered any more, can't be reached
//! although other leaves respond, or has been replaced by another at its address.

use std::time::Instant;

use log::info;

use super::Gateway;
use super::calls::{Attempt, CallState};
use crate::core::call::Reply;
use crate::core::fingerprint::Fingerprint;
use crate::core::instance::Instance;
use crate::core::placement::ReplicaKey;
use crate::core::quarantine::Crash;
use crate::edge::quarantine;
use crate::prelude::*;

/// Maximum number of leaves that seem to have crashed to which connections are opened after the links
/// were lost.
const MAX_PROBED_LEAVES: usize = 12;

impl Gateway {
    /// Records what the reply to an attempt says about its request: that the leaf has crashed, or
    /// that the request does not crash leaves.
    pub(super) fn record_crash_or_answer(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        reply: &Reply,
    ) {
        match reply {
            Reply::Disconnected => {
                let (service, key) = (&attempt.service, attempt.replica);
                if self.placement.record_crash(service, key, id, self.now) {
                    let state = &self.calls[attempt.call];
                    let crash = self.crash(service, key, state.started);
                    self.calls[attempt.call].crashes.extend(crash);
                }
            }
            Reply::Success(_) if self.calls[attempt.call].call.included_count() == 0 => {
                self.record_answer(self.calls[attempt.call].forwarded.fingerprint);
            }
            _ => {}
        }
    }

    /// Counts the crashes during a call that has ended, unless a leaf has answered its request.
    pub(super) fn count_crashes(&mut self, state: &CallState) {
        if !state.crashes.is_empty() && state.call.included_count() == 0 {
            self.record_crashes(state.forwarded.fingerprint, &state.crashes);
        }
    }

    fn record_answer(&mut self, fingerprint: Fingerprint) {
        let now_ms = quarantine::now_ms();
        if self.quarantine.record_answer(fingerprint, now_ms) {
            info!("quarantine fingerprint={fingerprint:032x} event=cleared");
            self.share_quarantine();
        }
    }

    /// Counts the crash of a leaf that still had the request of an abandoned attempt.
    pub(super) fn record_late_crash(
        &mut self,
        key: ReplicaKey,
        fingerprint: Fingerprint,
        sent_at: Instant,
    ) {
        let Some(service) = self.leaf_service(key) else {
            return;
        };
        let now = self.now;
        if self
            .placement
            .record_late_crash(&service, key, sent_at, now)
            && let Some(crash) = self.crash(&service, key, sent_at)
        {
            self.record_crashes(fingerprint, &[crash]);
        }
    }

    /// Records leaves that seem to have crashed. They are counted once it is known that the leaves
    /// have ended, not this VM's links to them.
    fn record_crashes(&mut self, fingerprint: Fingerprint, crashes: &[Crash]) {
        let added = crashes.iter().cloned();
        self.quarantine
            .record_unconfirmed(fingerprint, added, self.now);
        let leaves: Vec<&str> = crashes.iter().map(|crash| crash.leaf.as_str()).collect();
        let leaves = leaves.join(",");
        info!("quarantine fingerprint={fingerprint:032x} event=crashed leaves={leaves}");
        self.leaf_links.on_doubt(self.now);
        self.schedule_links_timer();
    }

    /// Confirms the crashes that were seen before a request was sent to which a leaf has responded.
    pub(super) fn confirm_crashes(&mut self, sent_at: Instant) {
        if !self.quarantine.has_unconfirmed() {
            return;
        }
        let confirmed = self.quarantine.confirm(sent_at);
        self.share_counted(&confirmed, "confirmed");
    }

    /// Drops the crashes of a leaf that were seen shortly before a request was sent to which it has
    /// responded, as its run has not ended. If another leaf has responded at its address, it has, and
    /// they count.
    pub(super) fn refute_or_prove_crashes(
        &mut self,
        key: ReplicaKey,
        reply: &Reply,
        sent_at: Instant,
    ) {
        if !self.quarantine.has_unconfirmed() {
            return;
        }
        if matches!(reply, Reply::Misdirected) {
            return self.prove_crashes_of(key);
        }
        if let Some((id, started_at_ms)) = self.leaf_run(key) {
            self.quarantine.refute(&id, started_at_ms, sent_at);
        }
    }

    /// Counts the doubted crashes of runs of leaves that are not registered any more.
    pub(super) fn prove_unregistered(&mut self, instances: &[Instance]) {
        if !self.quarantine.has_unconfirmed() {
            return;
        }
        let proven = self.quarantine.prove(|leaf, started_at_ms| {
            let mut instances = instances.iter();
            let found = instances.find(|instance| instance.id == leaf);
            found.is_none_or(|instance| instance.started_at_ms != started_at_ms)
        });
        self.share_counted(&proven, "proven");
    }

    /// Shares crashes that count now, and logs each request with their number.
    fn share_counted(&mut self, counts: &[(Fingerprint, usize)], event: &str) {
        for (fingerprint, count) in counts {
            info!("quarantine fingerprint={fingerprint:032x} event={event} crashes={count}");
        }
        if !counts.is_empty() {
            self.share_crashes();
        }
    }

    /// Records that this VM's links to the leaves are lost, so that crashes which are not confirmed are
    /// doubted.
    pub(super) fn doubt_crashes(&mut self) {
        let doubted = self.quarantine.on_links_lost();
        if doubted > 0 {
            info!("quarantine event=doubted crashes={doubted}");
        }
    }

    /// Records that this VM's links to the leaves work again, and connects to leaves whose crashes are
    /// doubted.
    pub(super) fn probe_doubted_leaves(&mut self) {
        let doubted = self.quarantine.on_links_regained();
        let pools = self.pools.iter();
        let doubted = pools.filter(|pool| doubted.binary_search(&pool.leaf_id).is_ok());
        let leaves = doubted.map(|pool| (pool.key, pool.service.clone()));
        let leaves: Vec<(ReplicaKey, ServiceName)> = leaves.take(MAX_PROBED_LEAVES).collect();
        for (key, service) in leaves {
            self.open_check_connection(key, &service);
        }
    }

    /// Counts the doubted crashes of a leaf to which no connection can be opened, although the links
    /// work.
    pub(super) fn prove_unreachable(&mut self, key: ReplicaKey) {
        if self.quarantine.has_unconfirmed() && !self.leaf_links.is_suspected() {
            self.prove_crashes_of(key);
        }
    }

    /// Counts the doubted crashes of a leaf if another one responds at its address to a health
    /// request.
    pub(super) fn prove_replaced(&mut self, key: ReplicaKey, id: Option<&str>) {
        if !self.quarantine.has_unconfirmed() {
            return;
        }
        let registered = self.leaf_run(key).map(|(id, _)| id);
        if id.is_some() && registered.as_deref() != id {
            self.prove_crashes_of(key);
        }
    }

    /// Counts the doubted crashes of a leaf, as its run has ended.
    fn prove_crashes_of(&mut self, key: ReplicaKey) {
        let Some((id, started_at_ms)) = self.leaf_run(key) else {
            return;
        };
        let is_run = |leaf: &str, started: Option<u64>| leaf == id && started == started_at_ms;
        let proven = self.quarantine.prove(is_run);
        self.share_counted(&proven, "proven");
    }

    /// Returns the id of a leaf and when it was started.
    fn leaf_run(&self, key: ReplicaKey) -> Option<(String, Option<u64>)> {
        let service = self.leaf_service(key)?;
        let instance = &self.placement.replica(&service, key)?.instance;
        Some((instance.id.clone(), instance.started_at_ms))
    }

    /// Returns the crash, just now, of a leaf that had a request since `arrived_at`; `None` if the
    /// leaf is gone.
    fn crash(&self, service: &str, key: ReplicaKey, arrived_at: Instant) -> Option<Crash> {
        let replica = self.placement.replica(service, key)?;
        let age = self.now.saturating_duration_since(arrived_at);
        let (leaf, vm) = (replica.instance.id.as_str(), self.options.name.as_str());
        let crash = Crash::after(leaf, vm, age, quarantine::now_ms());
        Some(crash.of_run(replica.instance.started_at_ms))
    }
}
