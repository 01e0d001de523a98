//! Fields of the shared list that this version does not know.
//!
//! While VMs are replaced by a later version, VMs of both versions write the list. What the later
//! version has added is written again as it was read.

use std::collections::BTreeMap;

use serde_json::Value;

/// Fields of a record, a crash or a trial that this version does not know, by name.
pub type Fields = BTreeMap<String, Value>;
