//! Calls on leases of the key-value store of the users' platform, which remove the keys that they hold
//! when they end.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use super::client::{WRITE_PATH, decode};
use super::message::Granted;
use super::target::Target;
use super::{Error, LeaseId, Store};
use crate::util::h1;

impl Store {
    /// Requests a lease for a time that runs from the arrival of the call.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached, rejects the call or sends an invalid
    /// answer. The lease may have been granted nevertheless; it ends by itself.
    pub fn grant_lease(&mut self, ttl: Duration) -> Result<LeaseId, Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = json!({ "ttlMs": ttl_ms }).to_string();
        let response = self.call("POST", &Target::new("/api/kv-lease"), body.as_bytes())?;
        let granted: Granted = decode(&response)?;
        Ok(granted.lease)
    }

    /// Renews a lease for the time for which it was granted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LeaseEnded`] if the lease has ended, and an error if the store cannot be
    /// reached, rejects the call or sends an invalid answer.
    pub fn renew_lease(&mut self, lease: LeaseId) -> Result<(), Error> {
        let target = Target::new(format!("/api/kv-keep/{lease}"));
        let response = self.call("POST", &target, b"")?;
        check_lease(&response)
    }

    /// Ends a lease; the keys that it holds are removed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached or rejects the call.
    pub fn end_lease(&mut self, lease: LeaseId) -> Result<(), Error> {
        let target = Target::new(format!("/api/kv-lease-end/{lease}"));
        self.call("DELETE", &target, b"")?;
        Ok(())
    }

    /// Writes a key that is removed when the lease ends.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LeaseEnded`] if the lease has ended, and an error if the store cannot be
    /// reached, rejects the call or sends an invalid answer. In the latter case the key may have
    /// been written.
    pub fn put(&mut self, key: &str, value: &[u8], lease: LeaseId) -> Result<(), Error> {
        let value = STANDARD.encode(value);
        let put = json!({ "key": key, "value": value, "lease": lease });
        let body = json!({ "precondition": [], "puts": [put], "remove": [] }).to_string();
        let response = self.call("POST", &Target::new(WRITE_PATH), body.as_bytes())?;
        check_lease(&response)
    }
}

/// Checks that a call on a lease found the lease.
fn check_lease(response: &h1::Response) -> Result<(), Error> {
    match response.head.status {
        200 => Ok(()),
        404 => Err(Error::LeaseEnded),
        status => Err(Error::Malformed(format!("status {status}"))),
    }
}
