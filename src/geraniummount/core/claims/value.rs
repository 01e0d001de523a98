//! The claims of one value, as one VM works on them.

use std::time::Duration;

use super::{Action, Answer, CLOCK_MARGIN, Claim, KeyHash, MAX_CLAIMS, WINDOW};
use crate::prelude::*;

/// Most claims that wait for one value.
const MAX_WAITING: usize = 1_024;
/// The newest claims, by which the fleet's rate is judged.
const RECENT: Duration = Duration::from_secs(10);
/// Recent claims in a value from which on one VM writes it for all: two a
/// second, 128 in all values, which is under half of the writes that the
/// platform takes.
const CONTENDED: usize = 20;

/// Claims of one value as one VM works on them; one call is out at a time.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    known: Option<Known>,
    waiting: Vec<Wanted>,
    releases: Vec<Release>,
    written: Option<Vec<Claim>>,
}

#[derive(Clone, Debug)]
struct Known {
    version: u64,
    claims: Vec<Claim>,
}

/// A claim that waits.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    claim: Claim,
    /// Attempt of the same request that another VM may have claimed, and whose
    /// claim is replaced.
    replaces: Option<AttemptId>,
    /// Whether it is in the write that is out.
    is_out: bool,
    /// Whether it was in a write whose end is not known.
    in_doubt: bool,
}

/// Attempts whose claim is to be taken out.
///
/// It is done once a write without the claim took effect. That write also
/// keeps each earlier one, by whichever VM, from landing later and setting
/// the claim, as their versions are gone.
#[derive(Clone, Copy, Debug)]
struct Release {
    key: KeyHash,
    attempt: AttemptId,
    replaces: Option<AttemptId>,
    /// Whether the write that is out was made without the claim.
    is_out: bool,
}

impl Release {
    fn covers(&self, claim: &Claim) -> bool {
        let attempt = Some(claim.attempt);
        claim.key == self.key && (attempt == Some(self.attempt) || attempt == self.replaces)
    }
}

impl Claims {
    /// Asks for a key on behalf of an attempt.
    ///
    /// A claim of the attempt `replaces` is replaced: another VM may have made
    /// it for the same request, which no longer waits for that VM's answer.
    pub fn claim(&mut self, claim: Claim, replaces: Option<AttemptId>) -> Option<Action> {
        let is_same = |wanted: &Wanted| wanted.claim.attempt == claim.attempt;
        if self.waiting.iter().any(is_same) {
            return None;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some(Action::Answer(claim.attempt, Answer::Full));
        }
        self.waiting.push(Wanted {
            claim,
            replaces,
            is_out: false,
            in_doubt: false,
        });
        None
    }

    /// Takes out the claim of an attempt that was certainly not run, or that
    /// no longer waits, whichever VM made it.
    pub fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        let place = self
            .waiting
            .iter()
            .position(|wanted| wanted.claim.attempt == attempt);
        let waited = place.map(|place| self.waiting.remove(place));
        let unwritten = |wanted: &Wanted| {
            let may_be_written = wanted.is_out || wanted.in_doubt;
            !may_be_written && wanted.replaces.is_none()
        };
        if waited.as_ref().is_some_and(unwritten) || self.releases.len() >= MAX_WAITING {
            return;
        }
        self.releases.push(Release {
            key,
            attempt,
            replaces: waited.and_then(|wanted| wanted.replaces),
            is_out: false,
        });
    }

    /// Whether there is something to do.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.releases.is_empty()
    }

    /// Whether some claim waits for its answer.
    pub fn is_waited_for(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether the fleet claims so many keys a second that one VM should write
    /// the value for all, as far as the known value tells.
    pub fn is_contended(&self) -> bool {
        let claims = self.known.as_ref().map_or(&[][..], |known| &known.claims);
        let newest = claims.iter().map(|claim| claim.at_ms).max().unwrap_or(0);
        let since = newest.saturating_sub(RECENT.as_millis() as u64);
        let recent = claims.iter().filter(|claim| claim.at_ms >= since);
        recent.count() >= CONTENDED
    }

    /// Goes on: answers what the known value decides, then names the next
    /// call, which is a write only where one `may_write` now. To be called
    /// when no call is out.
    pub fn advance(&mut self, now_ms: u64, may_write: bool) -> Vec<Action> {
        let mut actions = self.settle(now_ms);
        if !self.is_busy() {
            return actions;
        }
        let Some(known) = self.known.take() else {
            actions.push(Action::Read);
            return actions;
        };
        if may_write {
            let claims = self.compose(&known, now_ms, &mut actions);
            if self.is_busy() {
                self.written = Some(claims.clone());
                let version = known.version;
                actions.push(Action::Write { version, claims });
            }
        }
        self.known = Some(known);
        actions
    }

    /// Notes the value as it was read.
    pub fn read(&mut self, version: u64, claims: Vec<Claim>) {
        self.known = Some(Known { version, claims });
    }

    /// Notes that a write took effect and gave the value this version.
    pub fn written(&mut self, version: u64) {
        if let Some(claims) = self.written.take() {
            self.known = Some(Known { version, claims });
            self.releases.retain(|release| !release.is_out);
        }
    }

    /// Notes that a call had no reply or met another version: the value has
    /// to be read again.
    pub fn unsettled(&mut self) {
        for wanted in &mut self.waiting {
            wanted.in_doubt |= wanted.is_out;
        }
        self.refused();
        self.known = None;
    }

    /// Notes that a call was refused and nothing was done.
    pub fn refused(&mut self) {
        self.written = None;
        for wanted in &mut self.waiting {
            wanted.is_out = false;
        }
        for release in &mut self.releases {
            release.is_out = false;
        }
    }

    /// Answers those whom the known value decides.
    fn settle(&mut self, now_ms: u64) -> Vec<Action> {
        let Some(known) = &self.known else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.waiting.retain(|wanted| {
            let holder = find(&known.claims, wanted.claim.key);
            let Some(holder) = holder.filter(|holder| is_kept(holder, now_ms)) else {
                return true;
            };
            let is_released = self.releases.iter().any(|release| release.covers(holder));
            if is_released || wanted.replaces == Some(holder.attempt) {
                return true;
            }
            let answer = if holder.attempt == wanted.claim.attempt {
                Answer::Granted
            } else {
                Answer::Duplicate
            };
            actions.push(Action::Answer(wanted.claim.attempt, answer));
            false
        });
        actions
    }

    /// Adds what waits to the known claims and takes out what is released or
    /// has outlived the window.
    fn compose(&mut self, known: &Known, now_ms: u64, actions: &mut Vec<Action>) -> Vec<Claim> {
        let mut claims = known.claims.clone();
        claims.retain(|claim| is_kept(claim, now_ms));
        claims.retain(|claim| !self.releases.iter().any(|release| release.covers(claim)));
        for release in &mut self.releases {
            release.is_out = true;
        }
        self.waiting.retain_mut(|wanted| {
            wanted.is_out = true;
            let claim = wanted.claim;
            let answer = match claims.binary_search_by_key(&claim.key, |claim| claim.key) {
                Ok(place) if wanted.replaces == Some(claims[place].attempt) => {
                    claims[place] = claim;
                    return true;
                }
                // Two attempts of this VM want the same key: the first has it.
                Ok(_) => Answer::Duplicate,
                Err(_) if claims.len() >= MAX_CLAIMS => Answer::Full,
                Err(place) => {
                    claims.insert(place, claim);
                    return true;
                }
            };
            actions.push(Action::Answer(claim.attempt, answer));
            false
        });
        claims
    }
}

fn is_kept(claim: &Claim, now_ms: u64) -> bool {
    let kept = WINDOW + CLOCK_MARGIN;
    claim.at_ms.saturating_add(kept.as_millis() as u64) > now_ms
}

fn find(claims: &[Claim], key: KeyHash) -> Option<&Claim> {
    let place = claims.binary_search_by_key(&key, |claim| claim.key).ok()?;
    Some(&claims[place])
}
