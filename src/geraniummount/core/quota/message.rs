//! Messages by which VMs share the quotas of tenants.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A message to another VM: a question, or the answer to one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "quota")]
pub enum Message {
    /// Asks a VM of the same failure domain for its portion of all quotas, for a while.
    AskLoan,
    /// Answers [`Message::AskLoan`].
    Loan {
        /// Share of the quotas, from 0 to 1; 0 if the VM lends nothing.
        portion: f64,
        /// Time since the lender's start for which it has used no portion and has not stated this
        /// yet, in seconds of the whole quota; 0 in answers of builds that do not state it.
        #[serde(default)]
        start: f64,
    },
    /// Ends the loan with which the question of the same number was answered.
    Release {
        /// Whether the VM is stopping, so that another one has to count.
        is_stopping: bool,
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
    /// Asks the counting VM of another failure domain for tokens that it does not need.
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
    /// Answers a question that only a counting VM can answer.
    NotCounting {
        /// VM that counts for the failure domain, if it is known.
        counter: Option<VmName>,
    },
    /// A message that this build does not know, from a newer one.
    #[serde(other)]
    Unknown,
}
