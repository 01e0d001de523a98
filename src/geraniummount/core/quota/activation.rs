//! When this VM may use a portion of the quotas for the first time.

use std::time::Duration;

use super::LOAN_TIME;
use crate::core::boot_time::BootTime;

/// Time after its registration after which a VM that joins a running system has a portion. By then
/// all other VMs divide the quotas by a number that includes it.
const JOIN_DELAY: Duration = Duration::from_secs(10);

/// Time without a new VM after which a VM has a portion while the whole system starts. VMs learn of
/// each other within two seconds.
const FIRST_START_DELAY: Duration = Duration::from_secs(3);

/// When this VM may use a portion for the first time.
#[derive(Debug)]
pub(super) struct Activation {
    started_at: BootTime,
    /// Whether the whole system starts for the first time.
    is_first_start: bool,
    /// Whether a list of registered VMs is known.
    has_list: bool,
    /// Whether this VM was registered before this process started.
    is_restart: bool,
    /// When the registration of this VM was seen first.
    registered_at: Option<BootTime>,
    /// When a new VM was seen last.
    grown_at: BootTime,
    from: Option<BootTime>,
    /// Time up to which the wait for the portion was taken with [`Activation::take_start_wait`].
    taken_until: BootTime,
}

impl Activation {
    pub(super) fn new(is_first_start: bool, now: BootTime) -> Activation {
        Activation {
            started_at: now,
            is_first_start,
            has_list: false,
            is_restart: false,
            registered_at: None,
            grown_at: now,
            from: None,
            taken_until: now,
        }
    }

    /// Returns whether a restarted process still waits for the loans of the process before to end.
    pub(super) fn is_starting(&self, now: BootTime) -> bool {
        self.is_restart && now < self.started_at.saturating_add(LOAN_TIME)
    }

    /// Takes the time for which a restarted process has waited for its portion, in seconds. Each
    /// moment of it is returned once.
    pub(super) fn take_start_wait(&mut self, now: BootTime) -> f64 {
        if !self.is_restart {
            return 0.0;
        }
        let until = now.min(self.started_at.saturating_add(LOAN_TIME));
        let waited = until.saturating_duration_since(self.taken_until);
        self.taken_until = self.taken_until.max(until);
        waited.as_secs_f64()
    }

    /// Takes in a list of registered VMs; returns from when this VM has a portion.
    ///
    /// A VM that was registered before it started is a new process of a VM that others count
    /// already. The process before may have lent its portion just before it ended.
    pub(super) fn on_list(
        &mut self,
        has_own: bool,
        has_grown: bool,
        now: BootTime,
    ) -> Option<BootTime> {
        let is_first_list = !std::mem::replace(&mut self.has_list, true);
        if has_grown {
            self.grown_at = now;
        }
        if has_own && is_first_list {
            self.is_restart = true;
            self.from = Some(self.started_at.saturating_add(LOAN_TIME));
        }
        if has_own && self.registered_at.is_none() {
            self.registered_at = Some(now);
        }
        let is_settled = self.is_restart || self.from.is_some_and(|from| from <= now);
        if let Some(registered_at) = self.registered_at.filter(|_| !is_settled) {
            self.from = Some(self.join_time(registered_at));
        }
        self.from
    }

    fn join_time(&self, registered_at: BootTime) -> BootTime {
        let latest = registered_at.saturating_add(JOIN_DELAY);
        match self.is_first_start {
            true => latest.min(self.grown_at.saturating_add(FIRST_START_DELAY)),
            false => latest,
        }
    }
}
