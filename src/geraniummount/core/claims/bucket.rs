//! State machine for the claims of one bucket on one VM.
//!
//! An attempt is one try to run the request that carries an idempotency key. A claim records in the
//! platform's store (a key-value service that the users run) that an attempt took the key. Claims
//! are spread by the hash of their key over a fixed number of stored values, the buckets. A bucket
//! is written by compare-and-swap. It is contended while so many of its keys are claimed per second
//! that one VM should write it for all VMs.

use std::time::Duration;

use super::{Action, Answer, CLOCK_MARGIN, Claim, KEY_TTL, KeyHash, MAX_CLAIMS_PER_BUCKET};
use crate::prelude::*;

/// Maximum number of pending claims in one bucket, and of pending releases.
const MAX_PENDING: usize = 1_024;
/// Claims made within this time before the newest one count towards the claim rate of the fleet.
const CONTENTION_WINDOW: Duration = Duration::from_secs(10);
/// Number of claims within [`CONTENTION_WINDOW`] from which a bucket is contended. This is two
/// claims per second, or 128 per second over all 64 buckets, which is less than half of the writes
/// that the platform accepts.
const MIN_CONTENDED_CLAIMS: usize = 20;

/// Claims of one bucket as one VM processes them. At most one platform call is
/// in flight.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Stored bucket as last read or written; `None` if it has to be read.
    stored: Option<Stored>,
    pending_claims: Vec<PendingClaim>,
    pending_releases: Vec<PendingRelease>,
    /// Claims of the write in flight.
    in_flight: Option<Vec<Claim>>,
}

#[derive(Clone, Debug)]
struct Stored {
    /// Version that the platform's store gave the value.
    version: u64,
    /// Claims, sorted by key.
    claims: Vec<Claim>,
}

/// A claim that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    claim: Claim,
    /// Earlier attempt of the same request, for which another VM was asked to claim the key and may
    /// have done so, although its answer is missing. If the stored claim is of that attempt, this
    /// claim replaces it.
    replaces: Option<AttemptId>,
    /// Whether the write in flight contains the claim.
    is_in_flight: bool,
    /// Whether an earlier write with an unknown result contained the claim.
    is_in_doubt: bool,
}

/// Attempts whose claims are to be removed.
///
/// The release is complete once a write without the claims succeeded. That
/// write changes the version, so an earlier write by any VM that arrives late
/// can no longer set the claims.
#[derive(Clone, Copy, Debug)]
struct PendingRelease {
    key: KeyHash,
    attempt: AttemptId,
    /// Earlier attempt of the same request, whose claim is removed too.
    replaces: Option<AttemptId>,
    /// Whether the write in flight omits the claims.
    is_in_flight: bool,
}

impl PendingRelease {
    fn applies_to(&self, claim: &Claim) -> bool {
        let attempt = Some(claim.attempt);
        claim.key == self.key && (attempt == Some(self.attempt) || attempt == self.replaces)
    }
}

impl Bucket {
    /// Requests a key on behalf of an attempt. Returns an answer if too many
    /// claims are pending.
    ///
    /// A stored claim of the attempt `replaces` is replaced. Another VM may have made it for the
    /// same request. The request no longer waits for that VM's answer.
    pub fn claim(&mut self, claim: Claim, replaces: Option<AttemptId>) -> Option<Action> {
        let is_same = |pending: &PendingClaim| pending.claim.attempt == claim.attempt;
        if self.pending_claims.iter().any(is_same) {
            return None;
        }
        if self.pending_claims.len() >= MAX_PENDING {
            return Some(Action::Answer(claim.attempt, Answer::Full));
        }
        self.pending_claims.push(PendingClaim {
            claim,
            replaces,
            is_in_flight: false,
            is_in_doubt: false,
        });
        None
    }

    /// Removes the claim of an attempt that certainly did not run or that no longer waits for its
    /// answer, whichever VM made the claim. If too many releases are pending, a stored claim stays
    /// until it expires.
    pub fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        let index = self
            .pending_claims
            .iter()
            .position(|pending| pending.claim.attempt == attempt);
        let removed = index.map(|index| self.pending_claims.remove(index));
        let leaves_no_claim = |pending: &PendingClaim| {
            let may_be_written = pending.is_in_flight || pending.is_in_doubt;
            !may_be_written && pending.replaces.is_none()
        };
        if removed.as_ref().is_some_and(leaves_no_claim)
            || self.pending_releases.len() >= MAX_PENDING
        {
            return;
        }
        self.pending_releases.push(PendingRelease {
            key,
            attempt,
            replaces: removed.and_then(|pending| pending.replaces),
            is_in_flight: false,
        });
    }

    /// Returns whether a claim or a release is pending.
    pub fn has_work(&self) -> bool {
        !self.pending_claims.is_empty() || !self.pending_releases.is_empty()
    }

    /// Returns whether a claim waits for its answer.
    pub fn has_pending_claims(&self) -> bool {
        !self.pending_claims.is_empty()
    }

    /// Returns whether the fleet claims so many keys per second that one VM
    /// should write the bucket for all, judging by the stored claims last
    /// seen.
    pub fn is_contended(&self) -> bool {
        let claims = self
            .stored
            .as_ref()
            .map_or(&[][..], |stored| &stored.claims);
        let newest = claims.iter().map(|claim| claim.at_ms).max().unwrap_or(0);
        let since = newest.saturating_sub(CONTENTION_WINDOW.as_millis() as u64);
        let recent = claims.iter().filter(|claim| claim.at_ms >= since);
        recent.count() >= MIN_CONTENDED_CLAIMS
    }

    /// Answers the pending claims whose key the stored bucket already holds and returns the next
    /// platform call, if one is needed. A write is returned only if `may_write` is set. Must not be
    /// called while a call is in flight.
    pub fn advance(&mut self, now_ms: u64, may_write: bool) -> Vec<Action> {
        let mut actions = self.answer_decided(now_ms);
        if !self.has_work() {
            return actions;
        }
        let Some(stored) = self.stored.take() else {
            actions.push(Action::Read);
            return actions;
        };
        if may_write {
            let claims = self.compose_write(&stored, now_ms, &mut actions);
            if self.has_work() {
                self.in_flight = Some(claims.clone());
                let version = stored.version;
                actions.push(Action::Write { version, claims });
            }
        }
        self.stored = Some(stored);
        actions
    }

    /// Records the stored bucket as it was read.
    pub fn on_read(&mut self, version: u64, claims: Vec<Claim>) {
        self.stored = Some(Stored { version, claims });
    }

    /// Records that a write succeeded and gave the bucket this version.
    pub fn on_written(&mut self, version: u64) {
        if let Some(claims) = self.in_flight.take() {
            self.stored = Some(Stored { version, claims });
            self.pending_releases
                .retain(|release| !release.is_in_flight);
        }
    }

    /// Records that a call got no reply or failed on a version mismatch. The
    /// bucket has to be read again.
    pub fn invalidate(&mut self) {
        for pending in &mut self.pending_claims {
            pending.is_in_doubt |= pending.is_in_flight;
        }
        // The call is over, and its effect is recorded as unknown above.
        self.on_rejected();
        self.stored = None;
    }

    /// Records that a call was rejected without effect.
    pub fn on_rejected(&mut self) {
        self.in_flight = None;
        for pending in &mut self.pending_claims {
            pending.is_in_flight = false;
        }
        for release in &mut self.pending_releases {
            release.is_in_flight = false;
        }
    }

    /// Answers the pending claims whose key is held by an unexpired claim of the stored bucket.
    /// Claims that are about to be released or replaced do not count.
    fn answer_decided(&mut self, now_ms: u64) -> Vec<Action> {
        let Some(stored) = &self.stored else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.pending_claims.retain(|pending| {
            let stored_claim = find_claim(&stored.claims, pending.claim.key);
            let Some(stored_claim) = stored_claim.filter(|claim| is_unexpired(claim, now_ms))
            else {
                return true;
            };
            let is_released = self
                .pending_releases
                .iter()
                .any(|release| release.applies_to(stored_claim));
            if is_released || pending.replaces == Some(stored_claim.attempt) {
                return true;
            }
            let answer = if stored_claim.attempt == pending.claim.attempt {
                Answer::Granted
            } else {
                Answer::Duplicate
            };
            actions.push(Action::Answer(pending.claim.attempt, answer));
            false
        });
        actions
    }

    /// Adds the pending claims to the stored ones and removes released and
    /// expired claims.
    fn compose_write(
        &mut self,
        stored: &Stored,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Vec<Claim> {
        let mut claims = stored.claims.clone();
        claims.retain(|claim| is_unexpired(claim, now_ms));
        claims.retain(|claim| {
            !self
                .pending_releases
                .iter()
                .any(|release| release.applies_to(claim))
        });
        for release in &mut self.pending_releases {
            release.is_in_flight = true;
        }
        self.pending_claims.retain_mut(|pending| {
            pending.is_in_flight = true;
            let claim = pending.claim;
            let answer = match claims.binary_search_by_key(&claim.key, |claim| claim.key) {
                Ok(index) if pending.replaces == Some(claims[index].attempt) => {
                    claims[index] = claim;
                    return true;
                }
                // Two attempts on this VM request the same key. The first one
                // gets it.
                Ok(_) => Answer::Duplicate,
                Err(_) if claims.len() >= MAX_CLAIMS_PER_BUCKET => Answer::Full,
                Err(index) => {
                    claims.insert(index, claim);
                    return true;
                }
            };
            actions.push(Action::Answer(claim.attempt, answer));
            false
        });
        claims
    }
}

fn is_unexpired(claim: &Claim, now_ms: u64) -> bool {
    let lifetime = KEY_TTL + CLOCK_MARGIN;
    claim.at_ms.saturating_add(lifetime.as_millis() as u64) > now_ms
}

fn find_claim(claims: &[Claim], key: KeyHash) -> Option<&Claim> {
    let index = claims.binary_search_by_key(&key, |claim| claim.key).ok()?;
    Some(&claims[index])
}
