//! What the event loop has to do for the quotas.

use std::time::Duration;

use super::Message;
use crate::prelude::*;

/// Number of a request that waits for a token.
pub type Ticket = u64;

/// What the event loop has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a VM; `id` is the number of the question that it asks or answers.
    Send {
        /// Name of the VM.
        to: VmName,
        /// Number of the question.
        id: u64,
        /// The message.
        message: Message,
    },
    /// End the wait of a request.
    Decide(Ticket, Decision),
    /// Write to the log who counts for this VM's domain.
    Report(Counter),
}

/// Who counts for the domain of this VM, as far as it knows.
#[derive(Clone, Debug, PartialEq)]
pub enum Counter {
    /// This VM.
    Own,
    /// Another VM, which has borrowed the portion of this one or may.
    Other(VmName),
    /// Nobody.
    Nobody,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It may run.
    Admitted(Source),
    /// It waits for a token.
    Waiting(Ticket),
    /// The quota of its tenant is used up.
    OverQuota {
        /// Time until there is a token again.
        retry_after: Duration,
    },
    /// It is not known whether its tenant's quota has room.
    Unknown {
        /// Time after which it may be known.
        retry_after: Duration,
    },
}

/// Where a token comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The tokens of this VM.
    Own,
    /// Tokens that a counting VM has granted for this request.
    Granted,
    /// Spare tokens of an earlier grant.
    Spare,
    /// None is needed: this VM knows no quota of the tenant.
    Unlimited,
}

impl Source {
    /// Returns the name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Granted => "granted",
            Source::Spare => "spare",
            Source::Unlimited => "unlimited",
        }
    }
}
