//! What other threads tell the event loop.

use std::io;
use std::sync::{Arc, mpsc};

use mio::{Poll, Waker};

use super::token::EventSource;
use crate::core::instance::Instance;
use crate::core::route::Table;

/// What other threads tell the event loop.
#[derive(Debug)]
pub enum Update {
    /// A version of the routes.
    Table(Table),
    /// All leaves that are registered now.
    Leaves(Vec<Instance>),
    /// A planned stop begins.
    Stop,
}

/// Where updates are sent; cheap to clone.
#[derive(Clone, Debug)]
pub struct Sender {
    updates: mpsc::Sender<Update>,
    waker: Arc<Waker>,
}

/// Opens the channel of a loop.
pub(super) fn channel(poll: &Poll) -> io::Result<(Sender, mpsc::Receiver<Update>)> {
    let waker = Waker::new(poll.registry(), EventSource::Updates.token())?;
    let (updates, receiver) = mpsc::channel();
    let sender = Sender {
        updates,
        waker: Arc::new(waker),
    };
    Ok((sender, receiver))
}

impl Sender {
    /// Sends an update; returns whether the loop still runs.
    pub fn send(&self, update: Update) -> bool {
        self.updates.send(update).is_ok() && self.waker.wake().is_ok()
    }
}
