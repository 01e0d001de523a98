//! A leaf that crashed while it had a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Maximum number of crashes of one failure that count.
const MAX_CRASHES_OF_FAILURE: usize = 2;

/// Time for which requests through other VMs are still beside the same failure, in milliseconds. A
/// VM does not know which leaves other VMs have just lost.
const FAILURE_TIME_MS: u64 = 1_000;

/// A leaf that closed the connection while it had a request. Times are in milliseconds since the
/// Unix epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Id or name of the leaf, for operators.
    pub leaf: String,
    /// When the leaf was started; `None` if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
    /// VM that sent the request to the leaf.
    pub vm: VmName,
    /// When the request arrived at the VM that sent it to the leaf.
    pub arrived_ms: u64,
    /// When the leaf closed the connection.
    pub at_ms: u64,
}

impl Crash {
    /// Creates the crash of a leaf at `at_ms` that had a request which arrived `age` before.
    pub fn after(
        leaf: impl Into<String>,
        vm: impl Into<VmName>,
        age: Duration,
        at_ms: u64,
    ) -> Crash {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Crash {
            leaf: leaf.into(),
            started_at_ms: None,
            vm: vm.into(),
            arrived_ms: at_ms.saturating_sub(age_ms),
            at_ms,
        }
    }

    /// Returns the crash of the same leaf that was started at this time.
    pub fn of_run(self, started_at_ms: Option<u64>) -> Crash {
        Crash {
            started_at_ms,
            ..self
        }
    }

    /// Returns whether another crash is certainly that of the same run of the same leaf. A run
    /// crashes once: a leaf that is gone may go on to accept and close connections, for example if
    /// a proxy is in front of it, and a VM that has just started takes that for a crash.
    pub(super) fn is_same_run(&self, other: &Crash) -> bool {
        self.started_at_ms.is_some()
            && self.started_at_ms == other.started_at_ms
            && self.leaf == other.leaf
    }

    /// Returns whether the request arrived after the failure that began with another crash.
    fn is_after(&self, first: &Crash) -> bool {
        let failure_ms = match self.vm == first.vm {
            true => 0,
            false => FAILURE_TIME_MS,
        };
        self.arrived_ms >= first.at_ms.saturating_add(failure_ms)
    }
}

/// Returns how many of the crashes, sorted by time, count as evidence against the request.
///
/// Many leaves may fail at once for another reason, such as a cut of the network or the loss of a
/// failure domain, and all requests that are in flight then are beside it. Of the crashes that
/// belong to one failure, [`MAX_CRASHES_OF_FAILURE`] count. A request that arrives at the same VM
/// after the first of them, or at another VM later, is not beside it any more.
///
/// What one VM has seen counts by itself, too: it is surer than what several VMs have seen within a
/// second, and must not get lost among it.
pub(super) fn count(crashes: &[Crash]) -> usize {
    let seen_by = |vm: &VmName| count_in_order(crashes.iter().filter(|crash| crash.vm == *vm));
    let most_by_one = crashes.iter().map(|crash| seen_by(&crash.vm)).max();
    count_in_order(crashes).max(most_by_one.unwrap_or_default())
}

fn count_in_order<'a>(crashes: impl IntoIterator<Item = &'a Crash>) -> usize {
    let mut counted = 0;
    let mut first: Option<&Crash> = None;
    let mut of_failure = 0;
    for crash in crashes {
        if first.is_none_or(|first| crash.is_after(first)) {
            first = Some(crash);
            of_failure = 0;
        }
        of_failure += 1;
        counted += usize::from(of_failure <= MAX_CRASHES_OF_FAILURE);
    }
    counted
}
