//! A leaf of the cluster, with the proxy in front of it.

use std::io;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use crate::platform::users::{Answer, Leaf, Run, Store};
use crate::proxy::Proxy;

/// Records of each leaf.
const RECORDS_PER_LEAF: usize = 8;

/// How a leaf answers while nothing befalls it: slowly enough that requests are
/// under way when processes end.
pub const HEALTHY_ANSWER: Answer = Answer::Late(Duration::from_millis(25));

/// Bytes of a record.
pub const RECORD_BYTES: usize = 16;

/// A leaf and its proxy.
#[derive(Debug)]
pub struct ProxiedLeaf {
    /// The leaf; `None` once it has ended.
    pub leaf: Option<Leaf>,
    /// What stands before it.
    pub proxy: Proxy,
    /// When it registered as leaving, or was removed for good.
    pub leaving_since: Option<Instant>,
    /// What it ran before it ended.
    pub runs: Vec<Run>,
    identity: Identity,
}

/// Who a leaf is and what it holds.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its records.
    pub records: Vec<u8>,
}

impl ProxiedLeaf {
    /// Starts a leaf that is not registered yet.
    pub fn start(service: &str, domain: &str, seed: u64) -> io::Result<ProxiedLeaf> {
        let records = records(service);
        let leaf = Leaf::unregistered(service, domain, &records);
        leaf.set_answer(HEALTHY_ANSWER);
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, leaf.address(), seed)?;
        let identity = Identity {
            id: leaf.id().to_string(),
            service: service.to_string(),
            records,
        };
        Ok(ProxiedLeaf {
            leaf: Some(leaf),
            proxy,
            leaving_since: None,
            runs: Vec::new(),
            identity,
        })
    }

    /// Registers it.
    pub fn register(&mut self, store: &Store) {
        if let Some(leaf) = &mut self.leaf {
            leaf.register_at(store, self.proxy.address());
        }
    }

    /// Returns who it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the key of its registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.identity.id)
    }

    /// Ends it; what it ran is kept.
    pub fn stop(&mut self) {
        if let Some(leaf) = self.leaf.take() {
            self.runs = leaf.timed_runs();
        }
    }

    /// Returns what it ran so far.
    pub fn all_runs(&self) -> Vec<Run> {
        match &self.leaf {
            Some(leaf) => leaf.timed_runs(),
            None => self.runs.clone(),
        }
    }
}

/// The records of a service: the same at all its leaves.
fn records(service: &str) -> Vec<u8> {
    let seed = service
        .bytes()
        .fold(7_u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    let bytes = 0..RECORDS_PER_LEAF * RECORD_BYTES;
    let mixed = bytes.map(|index| (index as u8).wrapping_mul(97) ^ seed.rotate_left(3));
    mixed.collect()
}
