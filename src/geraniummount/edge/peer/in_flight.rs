//! Parts of this VM that are in flight at one peer.

use std::cell::RefCell;
use std::rc::Rc;

use futures::channel::oneshot;

use crate::prelude::*;

/// Maximum number of parts of this VM that are in flight at one peer.
const MAX_IN_FLIGHT: usize = 4096;

/// Parts in flight, sorted by attempt (the random id of one try to run a part), each with the
/// channel that cancels it.
#[derive(Debug, Default)]
pub struct InFlight {
    entries: RefCell<Vec<(AttemptId, oneshot::Sender<()>)>>,
}

/// Registration of a part as in flight. Dropping it ends the registration.
#[derive(Debug)]
pub struct Registration {
    in_flight: Rc<InFlight>,
    attempt: AttemptId,
}

impl InFlight {
    /// Registers a part by its attempt and returns a channel that receives its cancellation.
    /// Returns `None` if too many parts are in flight or this one already is.
    pub fn register(
        self: &Rc<InFlight>,
        attempt: AttemptId,
    ) -> Option<(Registration, oneshot::Receiver<()>)> {
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let index = entries.binary_search_by_key(&attempt, |entry| entry.0);
        let index = index.err()?;
        let (sender, receiver) = oneshot::channel();
        entries.insert(index, (attempt, sender));
        let registration = Registration {
            in_flight: Rc::clone(self),
            attempt,
        };
        Some((registration, receiver))
    }

    /// Cancels a part if it is in flight.
    pub fn cancel(&self, attempt: AttemptId) {
        let mut entries = self.entries.borrow_mut();
        if let Ok(index) = entries.binary_search_by_key(&attempt, |entry| entry.0) {
            // The entry stays until the registration is dropped. Its channel is replaced by a
            // closed one, because a channel can be used only once.
            let (spent, _) = oneshot::channel();
            let cancel = std::mem::replace(&mut entries[index].1, spent);
            let _ = cancel.send(());
        }
    }

    /// Returns the number of parts in flight.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns whether no part is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut entries = self.in_flight.entries.borrow_mut();
        if let Ok(index) = entries.binary_search_by_key(&self.attempt, |entry| entry.0) {
            entries.remove(index);
        }
    }
}
