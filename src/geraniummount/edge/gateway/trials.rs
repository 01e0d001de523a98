//! Sends withheld requests in trials.
//!
//! Once the trial of a withheld request is due, the next repetition waits while this VM claims the
//! trial in the shared list. If the claim is granted, the repetition is sent to one leaf at a time;
//! otherwise it is refused, unless a leaf has answered the request meanwhile.

use std::time::Instant;

use log::info;

use super::Gateway;
use super::arrival::Arrival;
use super::caller::State;
use super::timers::Timer;
use crate::core::delegation::Terms;
use crate::core::fingerprint::Fingerprint;
use crate::core::quarantine::{Admission, FIRST_PAUSE, UNPROVEN_CRASHES};
use crate::edge::quarantine::{Job, MAX_TRIAL_WAIT};

/// A request that waits for its trial, or for a token of its tenant's quota.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) arrival: Arrival,
    /// What another VM says about the request that it has delegated; `None` for one of a caller.
    pub(super) terms: Option<Terms>,
}

/// Trials that this VM has claimed.
#[derive(Debug, Default)]
pub(super) struct Trials {
    claims: Vec<Claimed>,
    /// The request that is admitted right now after it has waited, and whether it has the trial.
    admitted: Option<(Fingerprint, bool)>,
}

/// A claimed trial, and the request that waits for it.
#[derive(Clone, Copy, Debug)]
struct Claimed {
    fingerprint: Fingerprint,
    /// Key of the caller's connection.
    caller: usize,
    /// Serial number of that connection.
    serial: u64,
    /// When the request is refused if the claim has no answer.
    until: Instant,
}

impl Gateway {
    /// Returns whether a request may be sent, as [`Quarantine::admission`] does. One that has waited
    /// for a trial is admitted if it has got it, and refused if not.
    ///
    /// [`Quarantine::admission`]: crate::core::quarantine::Quarantine::admission
    pub(super) fn quarantine_admission(&self, fingerprint: Fingerprint) -> Admission {
        let is_admitted = |admitted: &(Fingerprint, bool)| admitted.0 == fingerprint;
        let trial = self.trials.admitted.filter(is_admitted);
        match (self.quarantine.admission(fingerprint, self.now), trial) {
            (Admission::Admitted(crashes), _) => Admission::Admitted(crashes),
            (_, Some((_, true))) => Admission::Admitted(UNPROVEN_CRASHES),
            (Admission::TrialDue, Some((_, false))) => Admission::Withheld(FIRST_PAUSE),
            (Admission::TrialDue, None) if self.has_claimed(fingerprint) => {
                Admission::Withheld(MAX_TRIAL_WAIT)
            }
            (admission, _) => admission,
        }
    }

    fn has_claimed(&self, fingerprint: Fingerprint) -> bool {
        let mut claims = self.trials.claims.iter();
        claims.any(|claimed| claimed.fingerprint == fingerprint)
    }

    /// Claims the trial of a request, which waits for it. `key` is that of the caller's connection.
    pub(super) fn await_trial(&mut self, key: usize, waiting: Waiting) {
        let fingerprint = waiting.arrival.fingerprint;
        let until = self.now + MAX_TRIAL_WAIT;
        let caller = &mut self.caller_connections[key];
        self.trials.claims.push(Claimed {
            fingerprint,
            caller: key,
            serial: caller.serial,
            until,
        });
        caller.state = State::AwaitingTrial(Box::new(waiting));
        self.timers.add(until, Timer::Trials);
        if let Some(claim) = self
            .quarantine
            .claim(fingerprint, self.options.name.as_str())
        {
            self.send_quarantine_job(Job::Claim(claim));
        }
    }

    /// Admits or refuses the request that waits for a trial, as the shared list tells now.
    pub(super) fn on_trial(&mut self, fingerprint: Fingerprint, is_granted: bool) {
        let outcome = if is_granted { "granted" } else { "not-granted" };
        info!("quarantine fingerprint={fingerprint:032x} event=trial outcome={outcome}");
        let mut claims = self.trials.claims.iter();
        let index = claims.position(|claimed| claimed.fingerprint == fingerprint);
        if let Some(index) = index {
            self.end_claim(index, is_granted);
        }
    }

    /// Refuses the requests that have waited too long.
    pub(super) fn end_overdue_trials(&mut self) {
        let now = self.now;
        let is_overdue = |claimed: &Claimed| claimed.until <= now;
        while let Some(index) = self.trials.claims.iter().position(is_overdue) {
            self.end_claim(index, false);
        }
    }

    /// Removes a claim, and admits or refuses the request that waits for it, unless its caller has
    /// left.
    fn end_claim(&mut self, index: usize, is_granted: bool) {
        let claimed = self.trials.claims.swap_remove(index);
        let key = claimed.caller;
        let caller = self.caller_connections.get_mut(key);
        let Some(caller) = caller.filter(|caller| caller.serial == claimed.serial) else {
            return;
        };
        let State::AwaitingTrial(waiting) = std::mem::replace(&mut caller.state, State::Idle)
        else {
            return;
        };
        self.trials.admitted = Some((claimed.fingerprint, is_granted));
        self.admit_arrival(waiting.arrival, waiting.terms);
        self.trials.admitted = None;
        self.answered_callers.push(key);
    }
}
