//! How VMs find each other: each registers in the platform's store.
//!
//! The registration ends by itself some minutes after its VM, so it says where
//! a VM may be, not that it lives; that shows when a query is handed to it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use log::info;
use serde::{Deserialize, Serialize};

use super::options::Options;
use crate::core::instance::Instance;
use crate::core::placement;
use crate::platform::{Error, Store, VM_PREFIX};
use crate::prelude::*;

/// Queries that a VM is taken to work on at once.
const SLOTS: u32 = 16;

/// What a VM writes of itself.
#[derive(Debug, Deserialize, Serialize)]
struct Entry {
    /// Where it takes queries from other VMs.
    address: SocketAddr,
    /// Its failure domain.
    domain: DomainName,
    /// Random number of its process.
    process: u64,
}

/// Registration of this VM.
#[derive(Debug)]
pub(super) struct Registration {
    pub(super) key: String,
    value: Vec<u8>,
    /// Number of the lease, and when it has to be renewed.
    lease: Option<(u64, Instant)>,
}

impl Registration {
    pub(super) fn new(options: &Options, address: SocketAddr) -> Registration {
        let entry = Entry {
            address,
            domain: options.domain.clone(),
            process: rand::random(),
        };
        Registration {
            key: format!("{VM_PREFIX}{}", options.name),
            value: serde_json::to_vec(&entry).unwrap_or_default(),
            lease: None,
        }
    }

    /// Registers the VM, again where it is no longer listed, and renews the
    /// lease when half of it is over.
    pub(super) fn keep(
        &mut self,
        store: &mut Store,
        is_listed: bool,
        ttl: Duration,
    ) -> Result<(), Error> {
        if let Some((id, due)) = self.lease.filter(|_| is_listed) {
            if Instant::now() < due {
                return Ok(());
            }
            if store.keep_lease(id)? {
                self.lease = Some((id, Instant::now() + ttl / 2));
                return Ok(());
            }
        }
        let lease = store.open_lease(ttl)?;
        if store.put(&self.key, &self.value, lease.id)? {
            info!(
                "registration key={} lease={} outcome=written",
                self.key, lease.id
            );
            let half = Duration::from_millis(lease.ttl_ms) / 2;
            self.lease = Some((lease.id, Instant::now() + half));
        }
        Ok(())
    }
}

/// Reads the registration of a VM.
pub(super) fn read(key: &str, value: &[u8]) -> Result<Instance, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(value)?;
    Ok(Instance {
        id: key.strip_prefix(VM_PREFIX).unwrap_or(key).to_string(),
        born: Some(entry.process),
        service: placement::vm_group(&entry.domain),
        address: entry.address,
        domain: entry.domain,
        slots: SLOTS,
        leaving: false,
        warm_in: Duration::ZERO,
    })
}
