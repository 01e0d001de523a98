//! Reasons for which a VM does not serve a delegated request.

use std::fmt;
use std::str::FromStr;

/// Reason for which a VM does not serve a delegated request. The request has not run and will not
/// run there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decline {
    /// The request has a key, and the VM can't confirm that it may still be used.
    KeysUnconfirmed,
    /// The VM has lost its links to the leaves too.
    LinksLost,
    /// The VM knows no routes or no leaves yet.
    NotReady,
    /// The VM has an older version of the routes in force than the request requires.
    Outdated,
    /// The VM rejects some requests because leaves are overloaded.
    Overloaded,
    /// The VM sheds requests of this tenant or priority, because leaves are overloaded.
    Shed,
    /// The VM has no time for queries that others could serve themselves.
    Busy,
    /// The VM is stopping.
    Stopping,
    /// The request does not contain the VM's key.
    Unauthorized,
}

impl Decline {
    const ALL: [Decline; 9] = [
        Decline::KeysUnconfirmed,
        Decline::LinksLost,
        Decline::NotReady,
        Decline::Outdated,
        Decline::Overloaded,
        Decline::Shed,
        Decline::Busy,
        Decline::Stopping,
        Decline::Unauthorized,
    ];

    /// Returns the name used between VMs, in logs and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Decline::KeysUnconfirmed => "keys-unconfirmed",
            Decline::LinksLost => "links-lost",
            Decline::NotReady => "not-ready",
            Decline::Outdated => "outdated",
            Decline::Overloaded => "overloaded",
            Decline::Shed => "shed",
            Decline::Busy => "busy",
            Decline::Stopping => "stopping",
            Decline::Unauthorized => "unauthorized",
        }
    }
}

impl fmt::Display for Decline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Decline {
    type Err = ();

    fn from_str(text: &str) -> Result<Decline, ()> {
        let mut all = Decline::ALL.into_iter();
        all.find(|decline| decline.as_str() == text).ok_or(())
    }
}
