//! Messages that VMs send each other in datagrams.

use serde::{Deserialize, Serialize};

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
    /// Asks for the VM's portion of the quotas of all tenants, for a while.
    AskLoan,
    /// Answers [`Message::AskLoan`].
    Loan {
        /// Share of the quotas, from 0 to 1; 0 if the VM lends nothing.
        portion: f64,
    },
    /// Asks for permission to run one request of a tenant.
    AskToken {
        /// Name of the tenant.
        tenant: TenantName,
    },
    /// Answers [`Message::AskToken`].
    Token {
        /// Number of requests that may run; 0 if the tenant's quota is used up.
        granted: u32,
        /// Time until the tenant's quota has room again, in milliseconds.
        wait_ms: u64,
    },
    /// Asks for tokens that the VM does not need.
    AskTransfer {
        /// Name of the tenant.
        tenant: TenantName,
        /// Number of tokens that are wanted.
        wanted: f64,
    },
    /// Answers [`Message::AskTransfer`].
    Transfer {
        /// Name of the tenant.
        tenant: TenantName,
        /// Number of tokens that the VM gives away.
        given: f64,
    },
    /// A message that this build does not know, from a newer one.
    #[serde(other)]
    Unknown,
}
