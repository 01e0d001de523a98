//! Does what the operator does while faults are injected: revokes and adds keys, lowers quotas, and
//! evacuates failure domains.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use super::catalog::lock;
use super::cluster::{Cluster, failure_domain};
use super::follow_up::FollowUp;

/// Range of the duration of an evacuation, which has to be longer than its bound.
pub const EVACUATION_RANGE_MS: std::ops::Range<u64> = 4_000..6_000;

/// An action of the operator. Numbers choose among what there is at the time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// A new version lacks a key.
    RevokeKey(usize),
    /// A new version has another key of a tenant.
    AddKey(usize),
    /// A new version has a lower quota of a tenant.
    LowerQuota(usize),
    /// The leaves of a failure domain get nothing, unless there is an evacuation already.
    Evacuate(usize),
}

/// An evacuation of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Name of the domain.
    pub domain: &'static str,
    /// When the store had acknowledged its key.
    pub from: Instant,
    /// When its key was about to be removed; `None` before.
    pub until: Option<Instant>,
}

impl Action {
    /// Draws a random action.
    pub fn draw(rng: &mut StdRng) -> Action {
        let choice = rng.random_range(0..1_000);
        match rng.random_range(0..8) {
            0..=2 => Action::RevokeKey(choice),
            3..=4 => Action::AddKey(choice),
            5 => Action::LowerQuota(choice),
            _ => Action::Evacuate(choice),
        }
    }

    /// Draws how long an evacuation lasts; it has no effect on the other actions.
    pub fn draw_duration(rng: &mut StdRng) -> Duration {
        Duration::from_millis(rng.random_range(EVACUATION_RANGE_MS))
    }
}

impl Evacuation {
    /// Returns its key in the store.
    fn key(&self) -> String {
        format!("op/evacuate/{}", self.domain)
    }
}

impl Cluster {
    /// Takes an action in a run with tenants; returns what ends it.
    pub(super) fn operate(&mut self, action: Action) -> Option<FollowUp> {
        match action {
            Action::RevokeKey(choice) => {
                let index = lock(&self.catalog.tenants).as_mut()?.revoke_key(choice)?;
                self.write_version();
                let at = Some(Instant::now());
                lock(&self.catalog.tenants).as_mut()?.keys[index].revoked_at = at;
                None
            }
            Action::AddKey(choice) => {
                lock(&self.catalog.tenants).as_mut()?.add_key(choice);
                self.write_version();
                None
            }
            Action::LowerQuota(choice) => {
                let index = lock(&self.catalog.tenants).as_mut()?.lower_quota(choice)?;
                self.write_version();
                let at = Some(Instant::now());
                lock(&self.catalog.tenants).as_mut()?.quotas[index].lowered_at = at;
                None
            }
            Action::Evacuate(choice) => self.evacuate(failure_domain(choice)),
        }
    }

    fn evacuate(&mut self, domain: &'static str) -> Option<FollowUp> {
        if self.evacuations.iter().any(|other| other.until.is_none()) {
            return None;
        }
        let mut evacuation = Evacuation {
            domain,
            from: Instant::now(),
            until: None,
        };
        self.store.put(&evacuation.key(), "{}");
        evacuation.from = Instant::now();
        self.evacuations.push(evacuation);
        Some(FollowUp::EndEvacuation)
    }

    /// Ends the evacuation that is in force.
    pub(super) fn end_evacuation(&mut self) {
        if let Some(last) = self.evacuations.last_mut() {
            last.until = Some(Instant::now());
            self.store.remove(&last.key());
        }
    }

    /// Writes the keys of evacuations as they were before the store went back.
    pub(super) fn rewrite_evacuations(&self) {
        for evacuation in &self.evacuations {
            match evacuation.until {
                Some(_) => self.store.remove(&evacuation.key()),
                None => self.store.put(&evacuation.key(), "{}"),
            }
        }
    }
}
