//! The parts that one peer holds for this VM.
//!
//! One timer serves all of them: it goes by the part that is due first, and
//! a part that has its outcome costs it nothing. With a timer a part each
//! part would wake the thread that waits for timers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::{self, FutureExt};

use crate::edge::executor::Spawner;
use crate::prelude::*;

/// Parts that one peer holds for this VM at most.
const MAX_IN_FLIGHT: usize = 4096;

/// Why a part is no longer waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// It is not wanted any more.
    Cancelled,
    /// Its outcome is overdue.
    Late,
}

/// Parts in flight, by attempt.
pub struct InFlight {
    spawner: Spawner,
    parts: RefCell<Vec<Waiting>>,
    watch: RefCell<Option<Watch>>,
}

struct Waiting {
    attempt: AttemptId,
    due: Instant,
    /// Gone once it was used.
    stop: Option<oneshot::Sender<Stop>>,
}

/// The future that waits for the part that is due first.
struct Watch {
    at: Instant,
    /// Wakes it when dropped.
    sleep: Option<oneshot::Sender<()>>,
}

/// Registration of a part, which ends when it is dropped.
pub struct Entry {
    in_flight: Rc<InFlight>,
    attempt: AttemptId,
}

impl InFlight {
    /// Makes an empty set, whose timer runs by the spawner.
    pub fn new(spawner: Spawner) -> Rc<InFlight> {
        Rc::new(InFlight {
            spawner,
            parts: RefCell::default(),
            watch: RefCell::default(),
        })
    }

    /// Registers a part, which is stopped when its outcome is due; `None` when
    /// there are too many or it is here already.
    pub fn enter(
        self: &Rc<InFlight>,
        attempt: AttemptId,
        due: Instant,
    ) -> Option<(Entry, oneshot::Receiver<Stop>)> {
        let mut parts = self.parts.borrow_mut();
        if parts.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let place = parts.binary_search_by_key(&attempt, |part| part.attempt);
        let place = place.err()?;
        let (stop, stopped) = oneshot::channel();
        let waiting = Waiting {
            attempt,
            due,
            stop: Some(stop),
        };
        parts.insert(place, waiting);
        self.watch_until(due);
        let entry = Entry {
            in_flight: Rc::clone(self),
            attempt,
        };
        Some((entry, stopped))
    }

    /// Cancels a part that is in flight.
    pub fn cancel(&self, attempt: AttemptId) {
        let mut parts = self.parts.borrow_mut();
        if let Ok(place) = parts.binary_search_by_key(&attempt, |part| part.attempt) {
            parts[place].end(Stop::Cancelled);
        }
    }

    /// Returns the count of parts.
    pub fn len(&self) -> usize {
        self.parts.borrow().len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Makes sure that the timer goes off at `due` at the latest.
    fn watch_until(self: &Rc<InFlight>, due: Instant) {
        let mut watch = self.watch.borrow_mut();
        match &mut *watch {
            Some(watch) if watch.at <= due => {}
            Some(watch) => {
                watch.at = due;
                watch.sleep = None;
            }
            None => {
                *watch = Some(Watch {
                    at: due,
                    sleep: None,
                });
                let watching = Rc::clone(self).end_late();
                drop(self.spawner.unbounded_send(watching.boxed_local()));
            }
        }
    }

    /// Stops each part when it is due, until there is none left.
    async fn end_late(self: Rc<InFlight>) {
        while let Some(at) = self.first_due() {
            let (sleep, woken) = oneshot::channel();
            *self.watch.borrow_mut() = Some(Watch {
                at,
                sleep: Some(sleep),
            });
            future::select(Timer::at(at), woken).await;
            let now = Instant::now();
            let mut parts = self.parts.borrow_mut();
            let late = parts.iter_mut().filter(|part| part.due <= now);
            late.for_each(|part| part.end(Stop::Late));
        }
        *self.watch.borrow_mut() = None;
    }

    fn first_due(&self) -> Option<Instant> {
        let parts = self.parts.borrow();
        let waiting = parts.iter().filter(|part| part.stop.is_some());
        waiting.map(|part| part.due).min()
    }
}

impl Waiting {
    fn end(&mut self, why: Stop) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(why);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut parts = self.in_flight.parts.borrow_mut();
        if let Ok(place) = parts.binary_search_by_key(&self.attempt, |part| part.attempt) {
            parts.remove(place);
        }
    }
}
