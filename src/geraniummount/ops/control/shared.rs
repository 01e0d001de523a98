//! State that the control thread publishes to the other threads.
//!
//! The control thread manages the membership and configuration of this process. The view holds all
//! that this VM knows of the VMs and the resources at one moment. The platform consists of two
//! services that the users run: a key-value store, which holds the change log, and the membership
//! list, which lists all VMs and leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::core::config::change_log::ChangeLog;
use crate::prelude::*;
use crate::util::published::Published;

/// Published state. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    /// View that requests are routed by.
    pub(super) view: Arc<Published<View>>,
    /// This VM's copy of the change log.
    pub(super) log: Arc<Published<ChangeLog>>,
    is_ready: Arc<AtomicBool>,
    is_watcher: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
}

impl Shared {
    /// Creates the state of a VM that knows no other VMs and no configuration yet.
    pub(super) fn new(me: &Vm) -> Shared {
        let log = ChangeLog::default();
        let view = View {
            me: me.name.clone(),
            failure_domain: me.failure_domain.clone(),
            catalog: Arc::clone(log.catalog()),
            vms: vec![me.clone()].into(),
            draining: Vec::new(),
            health_draining: Vec::new(),
            stopping: false,
        };
        Shared {
            view: Arc::new(Published::new(view)),
            log: Arc::new(Published::new(log)),
            is_ready: Arc::new(AtomicBool::new(false)),
            is_watcher: Arc::new(AtomicBool::new(false)),
            is_stopped: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Returns whether this VM is ready for callers.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    pub(super) fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Release);
    }

    /// Returns whether this VM is one of those in its failure domain that watch the platform. The
    /// others receive changes from their peers, which limits the number of calls to the platform.
    pub(super) fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Acquire)
    }

    pub(super) fn set_watcher(&self, is_watcher: bool) {
        self.is_watcher.store(is_watcher, Ordering::Release);
    }

    /// Returns whether the control thread and the threads that serve it must end.
    pub(super) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
    }
}
