//! At most one run of a request that its caller marked with a key.
//!
//! Keys are claimed in the platform's service before a request is dispatched.
//! Claims stand in a fixed number of values, by hash of the key; many claims
//! go into one compare-and-swap. Each claim carries the random id of its
//! attempt, so that a lost reply is settled by reading the value back: a
//! claim is granted only once the value was seen, or written, with it. A
//! claim that was given up in doubt is taken out again, by a write that also
//! keeps the doubtful one from landing later.
//!
//! Keys are kept for [`WINDOW`] by the wall clocks of the VMs; clocks that
//! differ by less than [`CLOCK_MARGIN`] do not shorten it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::prelude::*;

/// Values over which claims are spread.
pub const VALUES: u64 = 64;
/// Time for which a key is refused after it was claimed.
pub const WINDOW: Duration = Duration::from_secs(15 * 60);
/// Difference of clocks between VMs that does not shorten the window.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5 * 60);
/// Most claims in one value, so that it stays below the platform's limit.
pub const MAX_CLAIMS: usize = 8_192;
/// Most claims that wait for one value.
const MAX_WAITING: usize = 1_024;

/// Hash of a service and a caller's key.
pub type KeyHash = u128;

/// Hashes a caller's key within its service.
pub fn key_hash(service: &str, key: &str) -> KeyHash {
    let mut text = Vec::with_capacity(service.len() + key.len() + 1);
    text.extend_from_slice(service.as_bytes());
    text.push(0);
    text.extend_from_slice(key.as_bytes());
    xxh3_128(&text)
}

/// Returns the value that holds the claims of a key.
pub fn value_index(key: KeyHash) -> u64 {
    xxh3_64(&key.to_le_bytes()) % VALUES
}

/// A claim as it stands in a value.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Attempt that holds it.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Wall clock of the claiming VM, in milliseconds since the epoch.
    #[serde(rename = "t")]
    pub at_ms: u64,
}

/// What the claims of one value need from their driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the value.
    Read,
    /// Write these claims, by key, if the value still has this version.
    Write {
        /// Version that the write replaces.
        version: u64,
        /// All claims of the value.
        claims: Vec<Claim>,
    },
    /// Tell the one who waits.
    Answer(AttemptId, Answer),
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The attempt holds the key and may run.
    Granted,
    /// Another attempt holds the key.
    Duplicate,
    /// The value is full, or too many wait: not claimed.
    Full,
}

/// Claims of one value as one VM works on them; one call is out at a time.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    known: Option<Known>,
    waiting: Vec<Claim>,
    releases: Vec<Release>,
    written: Option<Vec<Claim>>,
    /// Version under which a write was sent whose end is not known.
    doubt: Option<u64>,
}

#[derive(Clone, Debug)]
struct Known {
    version: u64,
    claims: Vec<Claim>,
}

/// An attempt whose claim is to be taken out.
#[derive(Clone, Debug)]
struct Release {
    attempt: AttemptId,
    key: KeyHash,
    /// A write under this version may still land and set the claim.
    doubtful: Option<u64>,
}

impl Claims {
    /// Asks for a key on behalf of an attempt.
    pub fn claim(&mut self, claim: Claim) -> Option<Action> {
        if self.waiting.len() >= MAX_WAITING {
            return Some(Action::Answer(claim.attempt, Answer::Full));
        }
        self.waiting.push(claim);
        None
    }

    /// Takes out the claim of an attempt that was certainly not run, or that
    /// no longer waits.
    pub fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        self.waiting.retain(|claim| claim.attempt != attempt);
        if self.releases.len() >= MAX_WAITING {
            return;
        }
        let version = self.known.as_ref().map(|known| known.version);
        let is_out = self.written.is_some();
        let doubtful = if is_out { version } else { self.doubt };
        self.releases.push(Release {
            attempt,
            key,
            doubtful,
        });
    }

    /// Whether there is something to do.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.releases.is_empty()
    }

    /// Goes on: answers what the known value decides, then names the next
    /// call. To be called when no call is out.
    pub fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = self.settle(now_ms);
        if !self.is_busy() {
            return actions;
        }
        let Some(known) = self.known.clone() else {
            actions.push(Action::Read);
            return actions;
        };
        let claims = self.compose(&known, now_ms, &mut actions);
        if self.is_busy() {
            self.written = Some(claims.clone());
            actions.push(Action::Write {
                version: known.version,
                claims,
            });
        }
        actions
    }

    /// Notes the value as it was read.
    pub fn read(&mut self, version: u64, claims: Vec<Claim>) {
        self.written = None;
        self.doubt = self.doubt.filter(|doubt| *doubt >= version);
        self.known = Some(Known { version, claims });
    }

    /// Notes that a write took effect and gave the value this version.
    pub fn written(&mut self, version: u64) {
        if let Some(claims) = self.written.take() {
            self.known = Some(Known { version, claims });
        }
    }

    /// Notes that a call had no reply or met another version: the value has
    /// to be read again.
    pub fn unsettled(&mut self) {
        let was_out = self.written.take().is_some();
        if let Some(known) = self.known.take().filter(|_| was_out) {
            self.doubt = Some(known.version);
        }
    }

    /// Answers those whom the known value decides.
    fn settle(&mut self, now_ms: u64) -> Vec<Action> {
        let Some(known) = &self.known else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.waiting.retain(|wanted| {
            let holder = find(&known.claims, wanted.key);
            let Some(holder) = holder.filter(|holder| is_kept(holder, now_ms)) else {
                return true;
            };
            let answer = if holder.attempt == wanted.attempt {
                Answer::Granted
            } else {
                Answer::Duplicate
            };
            actions.push(Action::Answer(wanted.attempt, answer));
            false
        });
        self.releases.retain(|release| {
            let held = find(&known.claims, release.key);
            let present = held.is_some_and(|claim| claim.attempt == release.attempt);
            let may_land = release
                .doubtful
                .is_some_and(|version| version >= known.version);
            present || may_land
        });
        actions
    }

    /// Adds what waits to the known claims and takes out what is released or
    /// has outlived the window.
    fn compose(&mut self, known: &Known, now_ms: u64, actions: &mut Vec<Action>) -> Vec<Claim> {
        let mut claims = known.claims.clone();
        claims.retain(|claim| is_kept(claim, now_ms));
        claims.retain(|claim| {
            let released = |release: &Release| release.attempt == claim.attempt;
            !self.releases.iter().any(released)
        });
        self.waiting.retain(|wanted| {
            let place = claims.binary_search_by_key(&wanted.key, |claim| claim.key);
            match place {
                // Two attempts of this VM want the same key: the first has it.
                Ok(_) => actions.push(Action::Answer(wanted.attempt, Answer::Duplicate)),
                Err(_) if claims.len() >= MAX_CLAIMS => {
                    actions.push(Action::Answer(wanted.attempt, Answer::Full));
                }
                Err(place) => {
                    claims.insert(place, *wanted);
                    return true;
                }
            }
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
