//! Claims idempotency keys in the platform's service before dispatch.
//!
//! A few threads each hold some of the claim values. All claims that wait for
//! one value when its thread gets to it go into one write, so that the rate
//! of writes does not grow with that of requests.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{debug, warn};

use crate::core::claims::{self as core_claims, Action, Answer, Claim, KeyHash};
use crate::edge::platform::claim_store::ClaimStore;
use crate::edge::platform::{Platform, Written};
use crate::prelude::*;

/// Threads that write claims.
const WORKERS: u64 = 4;
/// Claims and releases that wait for one thread.
const QUEUE: usize = 1_024;
/// Failed calls in a row after which those who wait are answered.
const MAX_FAILURES: u32 = 2;
/// Wait before releases that failed are tried again.
const RELEASE_RETRY: Duration = Duration::from_secs(1);
/// When a caller may come back after the platform did not answer.
const COME_BACK: Duration = Duration::from_secs(1);

/// Claims keys; clones share the threads.
#[derive(Clone, Debug)]
pub struct Claims {
    workers: Vec<SyncSender<Event>>,
}

/// Shows that a key is held by this attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimToken {
    key: KeyHash,
    attempt: AttemptId,
}

#[derive(Debug)]
enum Event {
    Claim(Waiter),
    Release(ClaimToken),
}

/// A caller's thread that waits for its claim.
#[derive(Debug)]
struct Waiter {
    token: ClaimToken,
    reply: SyncSender<Result<(), Failure>>,
}

impl Claims {
    /// Starts the threads; they end when the last clone is dropped.
    pub fn start(platform: Platform) -> Claims {
        let start_worker = |_| {
            let (sender, events) = mpsc::sync_channel(QUEUE);
            let store = ClaimStore::new(platform.clone());
            thread::spawn(move || Worker::new(store).run(&events));
            sender
        };
        Claims {
            workers: (0..WORKERS).map(start_worker).collect(),
        }
    }

    /// Claims a caller's key for one request; waits at most until `deadline`.
    pub fn claim(
        &self,
        service: &str,
        key: &str,
        request: &RequestId,
        deadline: Instant,
    ) -> Result<ClaimToken, Failure> {
        let token = ClaimToken {
            key: core_claims::key_hash(service, key),
            attempt: rand::random(),
        };
        let (reply, answer) = mpsc::sync_channel(1);
        let waiter = Waiter { token, reply };
        if self.worker(token).try_send(Event::Claim(waiter)).is_err() {
            return Err(Failure::not_run(Reason::Shed).retry_after(COME_BACK));
        }
        let wait = deadline.saturating_duration_since(Instant::now());
        let Ok(answer) = answer.recv_timeout(wait) else {
            self.release(token);
            return Err(platform_down());
        };
        debug!("claims: request {request}: {answer:?}");
        answer.map(|()| token)
    }

    /// Gives a key back after its request was certainly not run.
    pub fn release(&self, token: ClaimToken) {
        // A release that is lost leaves the key refused until its window ends.
        let _ = self.worker(token).try_send(Event::Release(token));
    }

    fn worker(&self, token: ClaimToken) -> &SyncSender<Event> {
        &self.workers[(core_claims::value_index(token.key) % WORKERS) as usize]
    }
}

fn platform_down() -> Failure {
    Failure::not_run(Reason::PlatformDown).retry_after(COME_BACK)
}

/// One thread with the values that it holds, by index.
struct Worker {
    store: ClaimStore,
    values: Vec<ValueState>,
}

struct ValueState {
    index: u64,
    claims: core_claims::Claims,
    waiters: Vec<Waiter>,
}

impl Worker {
    fn new(store: ClaimStore) -> Worker {
        Worker {
            store,
            values: Vec::new(),
        }
    }

    fn run(mut self, events: &Receiver<Event>) {
        loop {
            match events.recv_timeout(RELEASE_RETRY) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(event) = events.try_recv() {
                self.take(event);
            }
            for value in &mut self.values {
                value.work(&self.store);
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Claim(waiter) => self.value(waiter.token).claim(waiter),
            Event::Release(token) => self.value(token).release(token),
        }
    }

    fn value(&mut self, token: ClaimToken) -> &mut ValueState {
        let index = core_claims::value_index(token.key);
        let place = self
            .values
            .binary_search_by_key(&index, |value| value.index);
        let place = place.unwrap_or_else(|place| {
            let value = ValueState {
                index,
                claims: core_claims::Claims::default(),
                waiters: Vec::new(),
            };
            self.values.insert(place, value);
            place
        });
        &mut self.values[place]
    }
}

impl ValueState {
    fn claim(&mut self, waiter: Waiter) {
        let claim = Claim {
            key: waiter.token.key,
            attempt: waiter.token.attempt,
            at_ms: wall_ms(),
        };
        self.waiters.push(waiter);
        if let Some(Action::Answer(attempt, answer)) = self.claims.claim(claim) {
            self.answer(attempt, answer);
        }
    }

    fn release(&mut self, token: ClaimToken) {
        self.waiters.retain(|waiter| waiter.token != token);
        self.claims.release(token.key, token.attempt);
    }

    /// Works until nothing waits or the platform fails.
    fn work(&mut self, store: &ClaimStore) {
        let mut failures = 0;
        while self.claims.is_busy() && failures < MAX_FAILURES {
            for action in self.claims.advance(wall_ms()) {
                if !self.perform(store, action) {
                    failures += 1;
                }
            }
        }
        if failures >= MAX_FAILURES {
            self.fail_all();
        }
    }

    /// Returns whether the platform answered, where it was asked.
    fn perform(&mut self, store: &ClaimStore, action: Action) -> bool {
        match action {
            Action::Answer(attempt, answer) => {
                self.answer(attempt, answer);
                true
            }
            Action::Read => match store.read(self.index) {
                Some((version, claims)) => {
                    self.claims.read(version, claims);
                    true
                }
                None => false,
            },
            Action::Write { version, claims } => {
                let written = store.write(self.index, version, &claims);
                match written {
                    Written::Done(version) => self.claims.written(version),
                    Written::Mismatch | Written::Unknown | Written::Refused => {
                        self.claims.unsettled();
                    }
                }
                matches!(written, Written::Done(_) | Written::Mismatch)
            }
        }
    }

    fn answer(&mut self, attempt: AttemptId, answer: Answer) {
        let place = self
            .waiters
            .iter()
            .position(|waiter| waiter.token.attempt == attempt);
        let Some(place) = place else {
            return;
        };
        let waiter = self.waiters.swap_remove(place);
        let answer = match answer {
            Answer::Granted => Ok(()),
            Answer::Duplicate => Err(Failure::may_have_run(Reason::DuplicateKey)),
            Answer::Full => Err(Failure::not_run(Reason::Shed).retry_after(COME_BACK)),
        };
        // The caller's thread releases the claim when it no longer waits.
        let _ = waiter.reply.try_send(answer);
    }

    /// Answers all who wait that the platform is down, and takes their claims
    /// out once it is back.
    fn fail_all(&mut self) {
        if !self.waiters.is_empty() {
            let count = self.waiters.len();
            warn!("claims: the platform does not answer; {count} requests are refused");
        }
        for waiter in std::mem::take(&mut self.waiters) {
            self.claims.release(waiter.token.key, waiter.token.attempt);
            let _ = waiter.reply.try_send(Err(platform_down()));
        }
    }
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
