//! The claims of one value, as one VM works on them.

use std::time::Duration;

use super::{Action, Answer, CLOCK_MARGIN, Claim, KEY_TTL, KeyHash, MAX_CLAIMS_PER_BUCKET};
use crate::prelude::*;

/// Most claims that wait for one value.
const MAX_PENDING: usize = 1_024;
/// The newest claims, by which the fleet's rate is judged.
const CONTENTION_WINDOW: Duration = Duration::from_secs(10);
/// Recent claims in a value from which on one VM writes it for all: two a
/// second, 128 in all values, which is under half of the writes that the
/// platform takes.
const MIN_CONTENDED_CLAIMS: usize = 20;

/// Bucket of one value as one VM works on them; one call is out at a time.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    stored: Option<Stored>,
    pending_claims: Vec<PendingClaim>,
    pending_releases: Vec<PendingRelease>,
    written: Option<Vec<Claim>>,
}

#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    claims: Vec<Claim>,
}

/// A claim that waits.
#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    claim: Claim,
    /// Attempt of the same request that another VM may have claimed, and whose
    /// claim is replaced.
    replaces: Option<AttemptId>,
    /// Whether it is in the write that is out.
    is_in_flight: bool,
    /// Whether it was in a write whose end is not stored.
    is_in_doubt: bool,
}

/// Attempts whose claim is to be taken out.
///
/// It is done once a write without the claim took effect. That write also
/// keeps each earlier one, by whichever VM, from landing later and setting
/// the claim, as their versions are gone.
#[derive(Clone, Copy, Debug)]
struct PendingRelease {
    key: KeyHash,
    attempt: AttemptId,
    replaces: Option<AttemptId>,
    /// Whether the write that is out was made without the claim.
    is_in_flight: bool,
}

impl PendingRelease {
    fn applies_to(&self, claim: &Claim) -> bool {
        let attempt = Some(claim.attempt);
        claim.key == self.key && (attempt == Some(self.attempt) || attempt == self.replaces)
    }
}

impl Bucket {
    /// Asks for a key on behalf of an attempt.
    ///
    /// A claim of the attempt `replaces` is replaced: another VM may have made
    /// it for the same request, which no longer waits for that VM's answer.
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

    /// Takes out the claim of an attempt that was certainly not run, or that
    /// no longer waits, whichever VM made it.
    pub fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        let index = self
            .pending_claims
            .iter()
            .position(|pending| pending.claim.attempt == attempt);
        let removed = index.map(|index| self.pending_claims.remove(index));
        let unwritten = |pending: &PendingClaim| {
            let may_be_written = pending.is_in_flight || pending.is_in_doubt;
            !may_be_written && pending.replaces.is_none()
        };
        if removed.as_ref().is_some_and(unwritten) || self.pending_releases.len() >= MAX_PENDING {
            return;
        }
        self.pending_releases.push(PendingRelease {
            key,
            attempt,
            replaces: removed.and_then(|pending| pending.replaces),
            is_in_flight: false,
        });
    }

    /// Whether there is something to do.
    pub fn has_work(&self) -> bool {
        !self.pending_claims.is_empty() || !self.pending_releases.is_empty()
    }

    /// Whether some claim waits for its answer.
    pub fn has_pending_claims(&self) -> bool {
        !self.pending_claims.is_empty()
    }

    /// Whether the fleet claims so many keys a second that one VM should write
    /// the value for all, as far as the stored value tells.
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

    /// Goes on: answers what the stored value decides, then names the next
    /// call, which is a write only where one `may_write` now. To be called
    /// when no call is out.
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
                self.written = Some(claims.clone());
                let version = stored.version;
                actions.push(Action::Write { version, claims });
            }
        }
        self.stored = Some(stored);
        actions
    }

    /// Notes the value as it was read.
    pub fn on_read(&mut self, version: u64, claims: Vec<Claim>) {
        self.stored = Some(Stored { version, claims });
    }

    /// Notes that a write took effect and gave the value this version.
    pub fn on_written(&mut self, version: u64) {
        if let Some(claims) = self.written.take() {
            self.stored = Some(Stored { version, claims });
            self.pending_releases
                .retain(|release| !release.is_in_flight);
        }
    }

    /// Notes that a call had no reply or met another version: the value has
    /// to be read again.
    pub fn invalidate(&mut self) {
        for pending in &mut self.pending_claims {
            pending.is_in_doubt |= pending.is_in_flight;
        }
        self.on_rejected();
        self.stored = None;
    }

    /// Notes that a call was refused and nothing was done.
    pub fn on_rejected(&mut self) {
        self.written = None;
        for pending in &mut self.pending_claims {
            pending.is_in_flight = false;
        }
        for release in &mut self.pending_releases {
            release.is_in_flight = false;
        }
    }

    /// Answers those whom the stored value decides.
    fn answer_decided(&mut self, now_ms: u64) -> Vec<Action> {
        let Some(stored) = &self.stored else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.pending_claims.retain(|pending| {
            let holder = find_claim(&stored.claims, pending.claim.key);
            let Some(holder) = holder.filter(|holder| is_unexpired(holder, now_ms)) else {
                return true;
            };
            let is_released = self
                .pending_releases
                .iter()
                .any(|release| release.applies_to(holder));
            if is_released || pending.replaces == Some(holder.attempt) {
                return true;
            }
            let answer = if holder.attempt == pending.claim.attempt {
                Answer::Granted
            } else {
                Answer::Duplicate
            };
            actions.push(Action::Answer(pending.claim.attempt, answer));
            false
        });
        actions
    }

    /// Adds what waits to the stored claims and takes out what is released or
    /// has outlived the window.
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
                // Two attempts of this VM want the same key: the first has it.
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
