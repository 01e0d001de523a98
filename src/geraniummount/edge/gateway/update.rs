//! Channel over which other threads send updates to the event loop.

use std::io;
use std::sync::{Arc, Weak, mpsc};

use mio::{Poll, Waker};

use super::key_lease;
use super::token::EventSource;
use crate::core::delegation::Peer;
use crate::core::fingerprint::Fingerprint;
use crate::core::fleet;
use crate::core::instance::Instance;
use crate::core::quarantine::Record;
use crate::core::route::Table;
use crate::prelude::*;

/// An update that another thread sends to the event loop.
#[derive(Debug)]
pub enum Update {
    /// A new version of the routes.
    Table(Table),
    /// Some version of the routes has had a list of tenants.
    KeysRequired,
    /// The complete list of registered leaves, and the era of the store that listed them.
    Leaves(Vec<Instance>, Era),
    /// The complete list of evacuated failure domains, sorted.
    Evacuated(Vec<DomainName>),
    /// This VM's share in the requests of all VMs.
    FleetShare(fleet::Share),
    /// The VMs to which requests can be delegated, and this VM.
    Peers(Vec<Peer>),
    /// The list of requests during which leaves crashed, as the VMs share it.
    Quarantine(Vec<Record>),
    /// Whether this VM has got the trial of a request that it has claimed.
    Trial(Fingerprint, bool),
    /// What is known of how new the configuration in force is.
    Keys(key_lease::Event),
    /// A request to begin a planned stop.
    Stop,
}

/// Sending side of the channel; cheap to clone.
#[derive(Clone, Debug)]
pub struct Sender {
    updates: mpsc::Sender<Update>,
    waker: Arc<Waker>,
    /// Dead once the receiving side is gone.
    receiver: Weak<()>,
}

/// Receiving side of the channel.
#[derive(Debug)]
pub(super) struct Receiver {
    updates: mpsc::Receiver<Update>,
    /// Lives as long as the receiving side.
    _alive: Arc<()>,
}

/// Creates the channel of updates to an event loop. Each update wakes the event loop.
pub(super) fn channel(poll: &Poll) -> io::Result<(Sender, Receiver)> {
    let waker = Waker::new(poll.registry(), EventSource::Updates.token())?;
    let (updates, receiver) = mpsc::channel();
    let alive = Arc::new(());
    let sender = Sender {
        updates,
        waker: Arc::new(waker),
        receiver: Arc::downgrade(&alive),
    };
    let receiver = Receiver {
        updates: receiver,
        _alive: alive,
    };
    Ok((sender, receiver))
}

impl Receiver {
    /// Returns the next update; `None` if there is none.
    pub(super) fn next(&self) -> Option<Update> {
        self.updates.try_recv().ok()
    }
}

impl Sender {
    /// Returns whether the event loop is still running. A thread that has nothing to send ends by this.
    pub(super) fn is_open(&self) -> bool {
        self.receiver.strong_count() > 0
    }

    /// Sends an update; returns whether the event loop is still running.
    pub fn send(&self, update: Update) -> bool {
        self.updates.send(update).is_ok() && self.waker.wake().is_ok()
    }
}
