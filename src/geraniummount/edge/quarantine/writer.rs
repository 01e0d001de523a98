//! Thread that adds to the shared list what a VM has seen.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use rand::RngExt;

use super::{Error, List, decode, encode, now_ms};
use crate::core::quarantine::{Record, merge_records};

/// Minimum time between two additions, which bounds the calls on the store.
const MIN_ADD_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum random delay after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum random delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Adds records to the shared list, one batch after the other.
pub struct Writer<L, F> {
    /// The store.
    pub list: L,
    /// Records to add. A later batch contains all that an earlier one has and the list lacks.
    pub batches: Receiver<Vec<Record>>,
    /// Called with the list after each addition.
    pub on_added: F,
}

impl<L: List, F: Fn(Vec<Record>)> Writer<L, F> {
    /// Runs until the channel of batches is closed.
    pub fn run(mut self) {
        while let Ok(batch) = self.batches.recv() {
            if !self.add_until_done(batch) {
                return;
            }
            thread::sleep(MIN_ADD_INTERVAL);
        }
    }

    /// Adds a batch, or the latest one that has arrived meanwhile, and tries again until this
    /// succeeds. Returns `false` if the channel of batches was closed.
    fn add_until_done(&mut self, mut batch: Vec<Record>) -> bool {
        let mut failures = 0;
        loop {
            let Err(error) = self.add(&batch) else {
                return true;
            };
            if failures == 0 && error != Error::Changed {
                warn!("quarantine event=not-shared action=retry error=\"{error}\"");
            }
            let backoff = INITIAL_BACKOFF
                .saturating_mul(1 << failures.min(8))
                .min(MAX_BACKOFF);
            failures += 1;
            let delay = backoff.mul_f64(rand::rng().random_range(0.2..1.0));
            match self.batches.recv_timeout(delay) {
                Ok(later) => batch = later,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn add(&mut self, batch: &[Record]) -> Result<(), Error> {
        let (version, value) = self.list.read()?;
        let list = decode(&value);
        let merged = merge_records(list.clone(), batch, now_ms());
        if merged != list {
            self.list.write(version, &encode(&merged))?;
            info!("quarantine event=shared requests={}", merged.len());
        }
        (self.on_added)(merged);
        Ok(())
    }
}
