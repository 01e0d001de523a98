//! What the other parts of a process ask of the control thread.

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

/// Time for the control thread to react.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Access to the control thread; clones share it.
#[derive(Clone)]
pub struct Handle {
    pub(super) shared: Shared,
    pub(super) events: SyncSender<Event>,
    registry: Registry,
}

impl Handle {
    pub(super) fn new(shared: Shared, events: SyncSender<Event>, platform: Platform) -> Handle {
        let changes = events.clone();
        let delta_sink = move |delta| drop(changes.send(Event::ChangesReceived(delta)));
        let store = LogStore::new(platform);
        let registry = Registry::new(Arc::clone(&shared.log), store, Box::new(delta_sink));
        Handle {
            shared,
            events,
            registry,
        }
    }

    /// Returns what traffic goes by; it is replaced as a whole.
    pub fn view(&self) -> Arc<Published<View>> {
        Arc::clone(&self.shared.view)
    }

    /// Returns the operators' access to the resources.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// Notes that a leaf says that it is leaving (`true`) or serves again.
    pub fn report_leaf_draining(&self, leaf: &LeafName, source: Source, draining: bool) {
        let event = Event::LeafDraining {
            leaf: leaf.clone(),
            source,
            draining,
        };
        // Fails only when the process's control has ended.
        let _ = self.events.send(event);
    }

    /// Returns whether this VM knows enough to be sent callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Tells the other VMs that this one stops. Returns once the published
    /// view says so.
    pub fn announce_leaving(&self) {
        let _ = self.events.send(Event::AnnounceLeaving);
        let is_stopping = |view: &View| view.stopping;
        self.shared.view.wait_until(is_stopping, ANNOUNCE_TIMEOUT);
    }

    /// Tells what holds across the fleet, as far as this VM knows.
    pub fn status(&self) -> Status {
        Status::of(&self.shared.view.get())
    }
}
