//! Runs a leaf of the cluster behind a proxy.
//!
//! A record is one result of a fixed size. The reply to a search holds the greatest records of all
//! shards.

use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use super::crash::CRASH_BODY;
use crate::platform::users::{Answer, Leaf, Run, Store};
use crate::proxy::Proxy;

/// Number of records that each leaf holds.
const RECORDS_PER_LEAF: usize = 8;

/// How a leaf without a fault answers. The delay ensures that requests are in flight when
/// processes stop.
pub const HEALTHY_ANSWER: Answer = Answer::Late(Duration::from_millis(25));

/// Size of a record.
pub const RECORD_BYTES: usize = 16;

/// Header fields of a request, names and values as received.
pub type Head = Vec<(String, String)>;

/// A leaf and its proxy.
#[derive(Debug)]
pub struct ProxiedLeaf {
    /// The leaf; `None` once it has stopped.
    pub leaf: Option<Leaf>,
    /// The proxy in front of the leaf, whose address the leaf registers.
    pub proxy: Proxy,
    /// When the leaf registered as leaving; `None` if it has not.
    pub leaving_since: Option<Instant>,
    /// When the leaf began to say in its answers that it is leaving; `None` if it has not.
    pub said_leaving_since: Option<Instant>,
    /// When the leaf began to name a limit, and when it ended; `None` if it has not.
    pub limited_from: Option<Instant>,
    pub limited_until: Option<Instant>,
    /// Failure domain of the leaf.
    pub domain: &'static str,
    /// Requests that the leaf ran before it stopped; empty while it runs.
    pub runs: Vec<Run>,
    /// Requests that reached the leaf before it stopped, also those that it did not run.
    arrivals: Vec<Run>,
    /// Header fields of these requests.
    heads: Vec<Head>,
    /// Requests that the leaf rejected with a time without requests before it stopped.
    pauses: Vec<Run>,
    identity: Identity,
}

/// The identity of a leaf and the records that it holds.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Id of the leaf.
    pub id: String,
    /// Service that the leaf belongs to.
    pub service: String,
    /// Records that the leaf holds, one after the other.
    pub records: Vec<u8>,
}

impl ProxiedLeaf {
    /// Starts a leaf and its proxy without registering the leaf.
    pub fn start(service: &str, domain: &'static str, seed: u64) -> io::Result<ProxiedLeaf> {
        let records = records(service);
        let leaf = Leaf::unregistered(service, domain, &records);
        leaf.set_answer(HEALTHY_ANSWER);
        leaf.set_crash_body(CRASH_BODY);
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
            said_leaving_since: None,
            limited_from: None,
            limited_until: None,
            domain,
            runs: Vec::new(),
            arrivals: Vec::new(),
            heads: Vec::new(),
            pauses: Vec::new(),
            identity,
        })
    }

    /// Registers the leaf under the address of its proxy.
    pub fn register(&mut self, store: &Store) {
        if let Some(leaf) = &mut self.leaf {
            leaf.register_at(store, self.proxy.address());
        }
    }

    /// Returns the identity of the leaf.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the store key of the leaf's registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.identity.id)
    }

    /// Stops the leaf; the requests that it ran stay available.
    pub fn stop(&mut self) {
        if let Some(leaf) = self.leaf.take() {
            self.runs = leaf.timed_runs();
            self.arrivals = leaf.arrivals();
            self.heads = leaf.heads();
            self.pauses = leaf.pauses();
        }
    }

    /// Returns the requests that have reached the leaf so far, whether or not it ran them.
    pub fn all_arrivals(&self) -> Vec<Run> {
        match &self.leaf {
            Some(leaf) => leaf.arrivals(),
            None => self.arrivals.clone(),
        }
    }

    /// Returns the header fields of the requests that have reached the leaf so far.
    pub fn all_heads(&self) -> Vec<Head> {
        match &self.leaf {
            Some(leaf) => leaf.heads(),
            None => self.heads.clone(),
        }
    }

    /// Returns the IP address of the gateway that sent a request to the leaf.
    pub fn source_of(&self, run: &Run) -> Option<IpAddr> {
        self.proxy.source_of(run.peer?, run.arrived)
    }

    /// Returns the requests that the leaf has rejected so far with a time without requests.
    pub fn all_pauses(&self) -> Vec<Run> {
        match &self.leaf {
            Some(leaf) => leaf.pauses(),
            None => self.pauses.clone(),
        }
    }

    /// Returns the requests that the leaf has run so far, whether or not it has stopped.
    pub fn all_runs(&self) -> Vec<Run> {
        match &self.leaf {
            Some(leaf) => leaf.timed_runs(),
            None => self.runs.clone(),
        }
    }
}

/// Returns the records of a service, which are the same at all its leaves.
fn records(service: &str) -> Vec<u8> {
    let seed = service
        .bytes()
        .fold(7_u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    let bytes = 0..RECORDS_PER_LEAF * RECORD_BYTES;
    let mixed = bytes.map(|index| (index as u8).wrapping_mul(97) ^ seed.rotate_left(3));
    mixed.collect()
}
