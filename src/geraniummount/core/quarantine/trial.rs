//! Trials of withheld requests.
//!
//! The verdict that a request crashes leaves may be wrong: the request may only have been beside
//! the crashes. Some seconds after the last crash, one VM therefore sends it to one leaf. An answer
//! ends the verdict on all VMs, a crash renews it with a longer pause until the next trial. Which
//! VM that is, is decided by a condition on the shared list: a VM claims the trial by writing it,
//! and only if the list that it replaces has no other trial.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fields::Fields;
use super::record::Record;
use super::{MAX_PAUSE, merge_records};
use crate::core::fingerprint::Fingerprint;
use crate::prelude::*;

/// Time from the last crash to the first trial. A leaf needs a few seconds to be back.
pub const FIRST_PAUSE: Duration = Duration::from_secs(3);

/// Factor by which the pause grows with each trial that ended with a crash.
const PAUSE_FACTOR: u32 = 5;

/// A trial of a withheld request. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trial {
    /// VM that sends the request.
    pub vm: VmName,
    /// When the VM claimed the trial.
    pub at_ms: u64,
    /// Number of earlier trials that ended with a crash.
    #[serde(default)]
    pub crashed: u32,
    /// Fields that a later version has added. They are written again as they were read.
    #[serde(flatten)]
    pub other: Fields,
}

/// A VM's claim to the next trial of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// What the VM knows of the request.
    pub record: Record,
    /// VM that claims the trial.
    pub vm: VmName,
}

impl Claim {
    /// Returns the request.
    pub fn fingerprint(&self) -> Fingerprint {
        self.record.fingerprint
    }

    /// Returns the shared list with the claimed trial; `None` if the trial is not due by that list,
    /// for example because another VM has claimed it or a leaf has answered the request. `now_ms`
    /// is the time in milliseconds since the Unix epoch.
    pub fn apply(&self, list: Vec<Record>, now_ms: u64) -> Option<Vec<Record>> {
        let mut list = merge_records(list, std::slice::from_ref(&self.record), now_ms);
        let mut records = list.iter_mut();
        let record = records.find(|record| record.fingerprint == self.fingerprint())?;
        if !record.is_withheld() || now_ms < record.trial_due_ms() {
            return None;
        }
        record.trial = Some(Trial {
            vm: self.vm.clone(),
            at_ms: now_ms,
            crashed: record.crashed_trials(),
            other: Fields::default(),
        });
        Some(list)
    }
}

/// Returns the pause between a crash and the next trial after this many trials ended with a crash.
pub(super) fn pause(crashed_trials: u32) -> Duration {
    let factor = PAUSE_FACTOR.saturating_pow(crashed_trials);
    FIRST_PAUSE.saturating_mul(factor).min(MAX_PAUSE)
}
