//! The threads that write claims.
//!
//! Each holds some of the claim values. All claims that wait for one value
//! when its thread gets to it go into one write.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::channel::oneshot;
use log::warn;

use crate::core::claims::{self as core_claims, Action, Answer, Claim, KeyHash, WriteLimiter};
use crate::edge::peer::Claimed;
use crate::edge::platform::claim_store::ClaimStore;
use crate::edge::platform::{Platform, PutOutcome};
use crate::prelude::*;

const WORKERS: u64 = 4;
/// Claims and releases that wait for one thread.
const QUEUE: usize = 1_024;
/// Failed calls in a row after which those who wait are answered.
const MAX_FAILURES: u32 = 2;
/// Wait before releases that failed are tried again.
const RELEASE_RETRY: Duration = Duration::from_secs(1);

/// Work for a thread.
#[derive(Debug)]
pub(super) enum Event {
    Claim(Waiter),
    Release(KeyHash, AttemptId),
}

/// One who waits for a claim.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) key: KeyHash,
    pub(super) attempt: AttemptId,
    /// Attempt of the same request that another VM may have claimed.
    pub(super) replaces: Option<AttemptId>,
    pub(super) reply: Reply,
}

/// Where an answer goes. One who no longer waits releases the claim.
#[derive(Debug)]
pub(super) enum Reply {
    /// To a caller's thread on this VM.
    Thread(SyncSender<Claimed>),
    /// To a peer's call.
    Peer(oneshot::Sender<Claimed>),
}

impl Reply {
    fn send(self, claimed: Claimed) {
        match self {
            Reply::Thread(sender) => drop(sender.try_send(claimed)),
            Reply::Peer(sender) => drop(sender.send(claimed)),
        }
    }
}

/// How a call to the platform ended.
enum End {
    Answered,
    Failed,
    /// The platform takes no more calls now.
    Limited,
}

/// Starts the threads; each ends when its channel closes.
pub(super) fn start(platform: &Platform) -> Vec<SyncSender<Event>> {
    let start_worker = |_| {
        let (sender, events) = mpsc::sync_channel(QUEUE);
        let store = ClaimStore::new(platform.clone());
        let values = Vec::new();
        thread::spawn(move || Worker { store, values }.run(&events));
        sender
    };
    (0..WORKERS).map(start_worker).collect()
}

/// One thread with the values that it holds, by index.
struct Worker {
    store: ClaimStore,
    values: Vec<ValueState>,
}

struct ValueState {
    index: u64,
    claims: core_claims::Bucket,
    pace: WriteLimiter,
    waiters: Vec<Waiter>,
    /// The platform failed; what does not wait is tried again then.
    retry_at: Option<Instant>,
}

impl Worker {
    fn run(mut self, events: &Receiver<Event>) {
        loop {
            match events.recv_timeout(self.wait(Instant::now())) {
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

    /// Returns the time until some value has to be worked on.
    fn wait(&self, now: Instant) -> Duration {
        let due = self.values.iter().filter_map(|value| value.due(now));
        let wait = due.min().map(|due| due.saturating_duration_since(now));
        wait.unwrap_or(RELEASE_RETRY).min(RELEASE_RETRY)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Claim(waiter) => self.value(waiter.key).claim(waiter),
            Event::Release(key, attempt) => self.value(key).release(key, attempt),
        }
    }

    fn value(&mut self, key: KeyHash) -> &mut ValueState {
        let index = core_claims::bucket_index(key);
        let place = self
            .values
            .binary_search_by_key(&index, |value| value.index);
        let place = place.unwrap_or_else(|place| {
            self.values.insert(place, ValueState::new(index));
            place
        });
        &mut self.values[place]
    }
}

impl ValueState {
    fn new(index: u64) -> ValueState {
        ValueState {
            index,
            claims: core_claims::Bucket::default(),
            pace: WriteLimiter::default(),
            waiters: Vec::new(),
            retry_at: None,
        }
    }

    fn claim(&mut self, waiter: Waiter) {
        let claim = Claim {
            key: waiter.key,
            attempt: waiter.attempt,
            at_ms: wall_ms(),
        };
        let action = self.claims.claim(claim, waiter.replaces);
        self.waiters.push(waiter);
        if let Some(Action::Answer(attempt, answer)) = action {
            self.answer(attempt, answer);
        }
    }

    fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        self.waiters.retain(|waiter| waiter.attempt != attempt);
        self.claims.release(key, attempt);
    }

    /// Returns when the value has to be worked on; `None` if nothing waits.
    fn due(&self, now: Instant) -> Option<Instant> {
        let due = self.pace.next_write_at(now);
        match self.retry_at {
            Some(at) if !self.claims.has_pending_claims() => self.claims.has_work().then_some(at),
            _ => self.claims.has_work().then_some(due),
        }
    }

    /// Works until nothing waits, the next write is not due or the platform
    /// fails.
    fn work(&mut self, store: &ClaimStore) {
        let mut failures = 0;
        while self.claims.has_work() && failures < MAX_FAILURES {
            let now = Instant::now();
            if self.retry_at.is_some_and(|at| at > now) && !self.claims.has_pending_claims() {
                return;
            }
            let may_write = self.pace.next_write_at(now) <= now;
            let actions = self.claims.advance(wall_ms(), may_write);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match self.perform(store, action) {
                    End::Answered => {}
                    End::Failed => failures += 1,
                    End::Limited => {
                        return self.fail_all(Claimed {
                            answer: Answer::Full,
                            contended: true,
                        });
                    }
                }
            }
        }
        self.retry_at = None;
        if failures >= MAX_FAILURES {
            self.fail_all(Claimed::of(Answer::PlatformDown));
        }
    }

    fn perform(&mut self, store: &ClaimStore, action: Action) -> End {
        match action {
            Action::Answer(attempt, answer) => {
                self.answer(attempt, answer);
                End::Answered
            }
            Action::Read => match store.read(self.index) {
                Some((version, claims)) => {
                    self.claims.on_read(version, claims);
                    End::Answered
                }
                None => End::Failed,
            },
            Action::Write { version, claims } => {
                let written = store.write(self.index, version, &claims);
                if written != PutOutcome::Mismatch {
                    // Another VM's write came first: this one is due again.
                    self.pace.on_write(Instant::now());
                }
                match written {
                    PutOutcome::Done(version) => self.claims.on_written(version),
                    PutOutcome::Refused | PutOutcome::Limited => self.claims.on_rejected(),
                    PutOutcome::Mismatch | PutOutcome::Unknown => self.claims.invalidate(),
                }
                match written {
                    PutOutcome::Done(_) | PutOutcome::Mismatch => End::Answered,
                    PutOutcome::Limited => End::Limited,
                    PutOutcome::Refused | PutOutcome::Unknown => End::Failed,
                }
            }
        }
    }

    fn answer(&mut self, attempt: AttemptId, answer: Answer) {
        let contended = self.claims.is_contended();
        let place = self
            .waiters
            .iter()
            .position(|waiter| waiter.attempt == attempt);
        if let Some(place) = place {
            let waiter = self.waiters.swap_remove(place);
            waiter.reply.send(Claimed { answer, contended });
        }
    }

    /// Answers all who wait after the platform failed, and takes the claims
    /// that it may have taken out once it is back.
    fn fail_all(&mut self, claimed: Claimed) {
        self.retry_at = Some(Instant::now() + RELEASE_RETRY);
        if !self.waiters.is_empty() {
            let count = self.waiters.len();
            warn!("claims: the platform fails; {count} requests are refused");
        }
        for waiter in std::mem::take(&mut self.waiters) {
            self.claims.release(waiter.key, waiter.attempt);
            waiter.reply.send(claimed);
        }
    }
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
