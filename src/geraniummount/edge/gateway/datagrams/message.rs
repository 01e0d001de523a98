//! Messages that VMs send each other in datagrams.

use serde::{Deserialize, Serialize};

use crate::core::quota;
use crate::prelude::*;

/// A message to another VM: a question, or the answer to one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub(in crate::edge::gateway) enum Message {
    /// Asks how recently the VM has confirmed that its configuration is the newest.
    AskConfirmation,
    /// Answers [`Message::AskConfirmation`].
    Confirmation {
        /// Version of the configuration in force at the VM.
        version: u64,
        /// Era of the platform's store, as the VM knows it.
        #[serde(default)]
        era: Era,
        /// Time since the newest confirmation, in milliseconds; `None` if there is none.
        age_ms: Option<u64>,
    },
    /// A question on quotas of tenants, or the answer to one.
    Quota(quota::Message),
    /// A message that this build does not know, from a newer one.
    #[serde(other)]
    Unknown,
}
