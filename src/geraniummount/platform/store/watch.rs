//! A call that waits for changes.

use std::time::{Duration, Instant};

use super::call::Call;
use super::client::decode;
use super::{Error, Events, Store};

/// A call that waits for changes. Dropping it ends its connection.
#[derive(Debug)]
pub struct Watch<'a> {
    store: &'a mut Store,
    call: Call,
    /// When the answer is overdue.
    deadline: Instant,
}

/// What a while of waiting came to.
#[derive(Debug)]
pub enum WatchStatus<'a> {
    /// The store answered.
    Answered(Events),
    /// It has not answered yet.
    Pending(Watch<'a>),
}

impl<'a> Watch<'a> {
    pub(super) fn new(store: &'a mut Store, call: Call, deadline: Instant) -> Watch<'a> {
        Watch {
            store,
            call,
            deadline,
        }
    }

    /// Waits so long for the answer.
    ///
    /// # Errors
    ///
    /// The history is gone, the answer is overdue, or the store can't be
    /// reached, refuses, or answers nonsense.
    pub fn wait(mut self, timeout: Duration) -> Result<WatchStatus<'a>, Error> {
        let now = Instant::now();
        if now >= self.deadline {
            return Err(Error::timed_out());
        }
        match self
            .call
            .wait_for_answer(self.deadline.min(now + timeout))?
        {
            None => Ok(WatchStatus::Pending(self)),
            Some(response) => {
                let response = self.store.finish(self.call, response)?;
                decode(&response).map(WatchStatus::Answered)
            }
        }
    }
}
