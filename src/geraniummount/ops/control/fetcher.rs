//! Asks peers for changes that this VM lacks.

use std::sync::mpsc::{Receiver, SyncSender};

use log::debug;

use super::event::Event;
use super::shared::Shared;
use crate::core::change_log::Delta;
use crate::prelude::*;

/// Asks a peer for what it has after a revision; `None` when it did not
/// answer in time.
pub type Fetch = Box<dyn Fn(&Vm, Revision) -> Option<Delta> + Send>;

/// One call to a peer at a time; asked again by the next datagram.
pub(super) struct Fetcher {
    pub(super) fetch: Fetch,
    pub(super) shared: Shared,
    pub(super) events: SyncSender<Event>,
}

impl Fetcher {
    /// Runs until the control thread drops its end of `requests`.
    pub(super) fn run(self, requests: &Receiver<Vm>) {
        for vm in requests {
            let revision = self.shared.log.get().revision();
            if vm.revision <= revision {
                continue;
            }
            match (self.fetch)(&vm, revision) {
                Some(delta) => drop(self.events.send(Event::ChangesReceived(delta))),
                None => debug!("control: {} did not send changes", vm.name),
            }
        }
    }
}
