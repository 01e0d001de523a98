//! The parts that one peer holds for this VM.

use std::cell::RefCell;
use std::rc::Rc;

use futures::channel::oneshot;

use crate::prelude::*;

/// Parts that one peer holds for this VM at most.
const MAX_IN_FLIGHT: usize = 4096;

/// Parts in flight, by attempt, each with the channel that cancels it.
#[derive(Debug, Default)]
pub struct InFlight {
    entries: RefCell<Vec<(AttemptId, oneshot::Sender<()>)>>,
}

/// Registration of a part, which ends when it is dropped.
#[derive(Debug)]
pub struct Registration {
    in_flight: Rc<InFlight>,
    attempt: AttemptId,
}

impl InFlight {
    /// Registers a part; `None` when there are too many or it is here already.
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

    /// Cancels a part that is in flight.
    pub fn cancel(&self, attempt: AttemptId) {
        let mut entries = self.entries.borrow_mut();
        if let Ok(index) = entries.binary_search_by_key(&attempt, |entry| entry.0) {
            let (spent, _) = oneshot::channel();
            let cancel = std::mem::replace(&mut entries[index].1, spent);
            let _ = cancel.send(());
        }
    }

    /// Returns the count of parts.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns whether there is none.
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
