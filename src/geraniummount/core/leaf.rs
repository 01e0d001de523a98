//! A leaf: the process on a backend server that holds shard replicas.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::contract::Contract;
use crate::core::records::Named;
use crate::prelude::*;

/// A leaf as its operator declares it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Name, unique among leaves.
    pub name: LeafName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain of its backend server.
    pub failure_domain: DomainName,
    /// Limits that it grants.
    pub contract: Contract,
    /// What the operator wants of it.
    #[serde(default)]
    pub state: State,
}

impl Named for Leaf {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Whether a leaf takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work.
    #[default]
    Serving,
    /// Just started: takes little work at first.
    Cold,
    /// Is leaving: takes no new work.
    Draining,
}
