//! Watch for changes in the key-value store of the users' platform: a call that the store answers
//! once a watched key has changed, or without changes after the requested wait.

use std::time::{Duration, Instant};

use super::call::Call;
use super::client::{decode, read_era};
use super::{Error, Events, Store};

/// A watch in flight. Dropping it closes its connection.
#[derive(Debug)]
pub struct Watch<'a> {
    store: &'a mut Store,
    call: Call,
    /// Time by which the store must have answered.
    deadline: Instant,
}

/// Status of a watch after a wait.
#[derive(Debug)]
pub enum WatchStatus<'a> {
    /// The store answered.
    Answered(Events),
    /// The store has not answered yet.
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

    /// Waits up to `timeout` for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the store no longer keeps the requested changes, the answer is overdue,
    /// the store cannot be reached, rejects the call, or sends an invalid answer.
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
                let events = decode(&response)?;
                Ok(WatchStatus::Answered(Events {
                    era: read_era(&response),
                    ..events
                }))
            }
        }
    }
}
