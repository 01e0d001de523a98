//! Access of the rest of the process to the control thread, which manages the membership and the
//! configuration.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use super::event::Event;
use super::shared::Shared;
use crate::core::gossip::Source;
use crate::core::status::Status;
use crate::edge::platform::Platform;
use crate::edge::platform::log_store::LogStore;
use crate::edge::registry::Registry;
use crate::prelude::*;
use crate::util::published::Published;

/// Maximum time to wait until the control thread has published that this VM is stopping.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle to the control thread. Clones refer to the same thread.
#[derive(Clone)]
pub struct Handle {
    pub(super) shared: Shared,
    pub(super) events: SyncSender<Event>,
    registry: Registry,
}

impl Handle {
    pub(super) fn new(shared: Shared, events: SyncSender<Event>, platform: Platform) -> Handle {
        let sender = events.clone();
        let delta_sink = move |delta| drop(sender.send(Event::ChangesReceived(delta)));
        let store = LogStore::new(platform);
        let registry = Registry::new(Arc::clone(&shared.log), store, Box::new(delta_sink));
        Handle {
            shared,
            events,
            registry,
        }
    }

    /// Returns the view that requests are routed by: all that this VM knows of the VMs and the
    /// resources at one moment. Each update replaces it as a whole.
    pub fn view(&self) -> Arc<Published<View>> {
        Arc::clone(&self.shared.view)
    }

    /// Returns the registry, which reads and changes the resources for operators.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// Reports that a leaf is leaving (`draining` is true), that is, finishes the work in hand and
    /// accepts no more, or that it is serving again, according to `source`.
    pub fn report_leaf_draining(&self, leaf: &LeafName, source: Source, draining: bool) {
        let event = Event::LeafDraining {
            leaf: leaf.clone(),
            source,
            draining,
        };
        // Sending fails only if the control thread has ended.
        let _ = self.events.send(event);
    }

    /// Returns whether this VM is ready for callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Announces to the other VMs that this VM is stopping. Returns once the published view shows
    /// it, or after `ANNOUNCE_TIMEOUT`.
    pub fn announce_leaving(&self) {
        let _ = self.events.send(Event::AnnounceLeaving);
        let is_stopping = |view: &View| view.stopping;
        self.shared.view.wait_until(is_stopping, ANNOUNCE_TIMEOUT);
    }

    /// Returns the status of the fleet as far as this VM knows it.
    pub fn status(&self) -> Status {
        Status::of(&self.shared.view.get())
    }
}
