//! A call that waits for changes.

use std::time::{Duration, Instant};

use super::call::Call;
use super::client::read;
use super::{Error, Events, Store};

/// A call that waits for changes. Dropping it ends its connection.
#[derive(Debug)]
pub struct Watch<'a> {
    store: &'a mut Store,
    call: Call,
    /// When the answer is overdue.
    end: Instant,
}

/// What a while of waiting came to.
#[derive(Debug)]
pub enum Waited<'a> {
    /// The store answered.
    Answered(Events),
    /// It has not answered yet.
    Waiting(Watch<'a>),
}

impl<'a> Watch<'a> {
    pub(super) fn new(store: &'a mut Store, call: Call, end: Instant) -> Watch<'a> {
        Watch { store, call, end }
    }

    /// Waits so long for the answer.
    ///
    /// # Errors
    ///
    /// The history is gone, the answer is overdue, or the store can't be
    /// reached, refuses, or answers nonsense.
    pub fn wait(mut self, within: Duration) -> Result<Waited<'a>, Error> {
        let now = Instant::now();
        if now >= self.end {
            return Err(Error::timed_out());
        }
        match self.call.answer(self.end.min(now + within))? {
            None => Ok(Waited::Waiting(self)),
            Some(response) => {
                let response = self.store.take(self.call, response)?;
                read(&response).map(Waited::Answered)
            }
        }
    }
}
