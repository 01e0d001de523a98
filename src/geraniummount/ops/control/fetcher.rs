//! Fetches from peers the changes to the configuration that this VM lacks.

use std::sync::mpsc::{Receiver, SyncSender};

use log::debug;

use super::event::Event;
use super::shared::Shared;
use crate::core::config::change_log::Delta;
use crate::prelude::*;

/// Requests the changes after a revision (position in the log of accepted changes) from a peer.
/// Returns `None` if the peer does not send readable changes in time.
pub type Fetch = Box<dyn Fn(&Vm, Revision) -> Option<Delta> + Send>;

/// Thread that calls one peer at a time. A failed call is not retried, because the next datagram
/// from a peer with a newer revision causes the changes to be requested again.
pub(super) struct Fetcher {
    pub(super) fetch: Fetch,
    pub(super) shared: Shared,
    pub(super) events: SyncSender<Event>,
}

impl Fetcher {
    /// Runs until the control thread drops the sender of `requests`.
    pub(super) fn run(self, requests: &Receiver<Vm>) {
        for vm in requests {
            let revision = self.shared.log.get().revision();
            if vm.revision <= revision {
                continue;
            }
            match (self.fetch)(&vm, revision) {
                Some(delta) => drop(self.events.send(Event::ChangesReceived(delta))),
                None => debug!("control: failed to fetch changes from {}", vm.name),
            }
        }
    }
}
