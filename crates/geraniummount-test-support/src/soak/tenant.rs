//! Holds the tenants of a run, their keys and quotas, and every change with the time at which the
//! store had it.
//!
//! A key that was removed from the configuration is never added again.

use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use super::exchange::{Exchange, Outcome};

/// Bounds in the settings of the gateways. They are shorter than in deployments: faults of up to
/// 2.5 s outlast the lease of keys, and the other bounds end within a run.
pub const REVOKE_MS: u64 = 1_500;
pub const EVACUATE_MS: u64 = 3_000;
pub const QUOTA_WINDOW_S: f64 = 2.0;
pub const QUOTA_OVER: f64 = 0.1;
pub const QUOTA_SLACK: f64 = 10.0;

/// Beginning of all keys, by which they are found where they must not be.
pub const KEY_PREFIX: &str = "soak-key-";

/// Key that is never revoked, of a tenant without a quota.
pub const STEADY_KEY: &str = "soak-key-0";

/// Key that no version of the configuration has.
const UNKNOWN_KEY: &str = "soak-key-unknown";

/// Names of the tenants and their requests per second at the start; 0 is no quota. The callers of
/// the soak send several times as many.
const TENANTS: [(&str, f64); 3] = [("steady", 0.0), ("small", 8.0), ("large", 12.0)];

/// Factor by which a quota is lowered.
const LOWERING: f64 = 0.4;

/// Index of a tenant.
pub type Tenant = usize;

/// A key of a tenant.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key itself.
    pub text: String,
    /// Tenant that holds or held it.
    pub tenant: Tenant,
    /// Whether the newest version has it.
    pub is_valid: bool,
    /// When the store had acknowledged the version without it.
    pub revoked_at: Option<Instant>,
}

/// A quota of a tenant; its burst is equal to the rate.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Tenant that the quota belongs to.
    pub tenant: Tenant,
    /// Requests per second.
    pub rate: f64,
    /// When the store had acknowledged the version with a lower one.
    pub lowered_at: Option<Instant>,
}

/// All tenants, keys and quotas of a run, also former ones.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Keys in the order in which they were added.
    pub keys: Vec<Key>,
    /// Quotas in the order in which they were set.
    pub quotas: Vec<Quota>,
}

impl Directory {
    /// Creates the tenants of the first version, each with two keys.
    pub fn new() -> Directory {
        let mut directory = Directory {
            keys: Vec::new(),
            quotas: Vec::new(),
        };
        for tenant in (0..TENANTS.len()).chain(0..TENANTS.len()) {
            directory.add_key(tenant);
        }
        let limited = TENANTS.iter().enumerate().filter(|(_, t)| t.1 > 0.0);
        directory.quotas = limited
            .map(|(tenant, (_, rate))| Quota {
                tenant,
                rate: *rate,
                lowered_at: None,
            })
            .collect();
        directory
    }

    /// Adds a new key.
    pub fn add_key(&mut self, tenant: Tenant) {
        self.keys.push(Key {
            text: format!("{KEY_PREFIX}{}", self.keys.len()),
            tenant: tenant % TENANTS.len(),
            is_valid: true,
            revoked_at: None,
        });
    }

    /// Takes away a valid key other than [`STEADY_KEY`], and adds another one if it was the last of
    /// its tenant. Returns its index.
    pub fn revoke_key(&mut self, choice: usize) -> Option<usize> {
        let valid = (1..self.keys.len()).filter(|index| self.keys[*index].is_valid);
        let valid: Vec<usize> = valid.collect();
        let index = *valid.get(choice % valid.len().max(1))?;
        self.keys[index].is_valid = false;
        let tenant = self.keys[index].tenant;
        if !self.keys.iter().any(|k| k.is_valid && k.tenant == tenant) {
            self.add_key(tenant);
        }
        Some(index)
    }

    /// Lowers a quota that is in force, and returns the index of the former one.
    pub fn lower_quota(&mut self, choice: usize) -> Option<usize> {
        let in_force = (0..self.quotas.len()).filter(|index| self.is_in_force(*index));
        let in_force: Vec<usize> = in_force.collect();
        let index = *in_force.get(choice % in_force.len().max(1))?;
        let former = self.quotas[index];
        self.quotas.push(Quota {
            rate: former.rate * LOWERING,
            ..former
        });
        Some(index)
    }

    fn is_in_force(&self, index: usize) -> bool {
        let tenant = self.quotas[index].tenant;
        let mut later = self.quotas[index + 1..].iter();
        !later.any(|quota| quota.tenant == tenant)
    }

    /// Returns `tenants` of the configuration document.
    pub fn document(&self) -> Value {
        let tenant = |(tenant, (name, _)): (Tenant, &(&str, f64))| {
            let keys = self
                .keys
                .iter()
                .filter(|k| k.is_valid && k.tenant == tenant);
            let keys: Vec<&str> = keys.map(|key| key.text.as_str()).collect();
            let mut quotas = self.quotas.iter().rev();
            let rate = quotas.find(|q| q.tenant == tenant).map_or(0.0, |q| q.rate);
            json!({"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate})
        };
        TENANTS.iter().enumerate().map(tenant).collect()
    }

    /// Draws the key of a request: mostly a valid one, else the one that was revoked last, another
    /// revoked one, or one that never existed.
    pub fn draw_key(&self, rng: &mut StdRng) -> String {
        let (valid, revoked): (Vec<&Key>, Vec<&Key>) =
            self.keys.iter().partition(|key| key.is_valid);
        let key = match rng.random_range(0..20) {
            0 => None,
            1 => revoked.get(rng.random_range(0..revoked.len().max(1))),
            2 | 3 => revoked.iter().max_by_key(|key| key.revoked_at),
            _ => valid.get(rng.random_range(0..valid.len().max(1))),
        };
        key.map_or(UNKNOWN_KEY, |key| key.text.as_str()).to_string()
    }

    /// Returns the entry of a key; `None` if it never was in a version.
    pub fn key(&self, text: &str) -> Option<&Key> {
        self.keys.iter().find(|key| key.text == text)
    }

    /// Returns whether a request may be refused also when nothing is disturbed: its key was revoked
    /// or unknown, or its tenant is over its quota, which the callers always send more than.
    pub fn may_refuse(&self, request: &Exchange) -> bool {
        let Some(text) = &request.key else {
            return false;
        };
        let is_limited = |tenant| self.quotas.iter().any(|quota| quota.tenant == tenant);
        match self.key(text) {
            Some(key) if key.is_valid => {
                request.outcome == Outcome::Status(429) && is_limited(key.tenant)
            }
            Some(_) | None => matches!(request.outcome, Outcome::Status(401 | 429 | 503)),
        }
    }
}

/// Returns the name of a tenant.
pub fn name(tenant: Tenant) -> &'static str {
    TENANTS[tenant].0
}

/// Returns the header fields of a request with a key.
pub fn fields(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

/// Returns the section of the settings with the bounds.
pub fn settings() -> String {
    format!(
        "[bounds]\nrevoke_ms = {REVOKE_MS}\nevacuate_ms = {EVACUATE_MS}\n\
         quota_window_s = {QUOTA_WINDOW_S}\nquota_over = {QUOTA_OVER}\nquota_slack = {QUOTA_SLACK}\n"
    )
}
