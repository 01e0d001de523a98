//! The leaf resource: a process on a backend server that holds shard replicas.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::config::contract::Contract;
use crate::core::records::Named;
use crate::prelude::*;

/// A leaf, as the operator declares it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Name of the leaf, unique among leaves.
    pub name: LeafName,
    /// Address that the leaf listens on.
    pub address: SocketAddr,
    /// Failure domain of the backend server.
    pub failure_domain: DomainName,
    /// Limits within which the VMs of the query tier may use the leaf.
    pub contract: Contract,
    /// State that the operator wants the leaf to be in.
    #[serde(default)]
    pub state: State,
}

impl Named for Leaf {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Whether a leaf accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The leaf accepts work.
    #[default]
    Serving,
    /// The leaf has just started and accepts only little work at first.
    Cold,
    /// The leaf is leaving: it finishes the work in hand and accepts no new work.
    Draining,
}
