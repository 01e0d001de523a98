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
use crate::edge::peer::ClaimReply;
use crate::edge::platform::claim_store::ClaimStore;
use crate::edge::platform::{Platform, Written};
use crate::prelude::*;

const WORKERS: u64 = 4;
/// Claims and releases that wait for one thread.
const QUEUE_CAPACITY: usize = 1_024;
/// Failed calls in a row after which those who wait are answered.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Wait before releases that failed are tried again.
const RELEASE_BACKOFF: Duration = Duration::from_secs(1);

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
    /// Attempt of the same request that another VM may have reply.
    pub(super) replaces: Option<AttemptId>,
    pub(super) reply: Reply,
}

/// Where an answer goes. One who no longer waits releases the claim.
#[derive(Debug)]
pub(super) enum Reply {
    /// To a caller's thread on this VM.
    Thread(SyncSender<ClaimReply>),
    /// To a peer's call.
    Peer(oneshot::Sender<ClaimReply>),
}

impl Reply {
    fn send(self, reply: ClaimReply) {
        match self {
            Reply::Thread(sender) => drop(sender.try_send(reply)),
            Reply::Peer(sender) => drop(sender.send(reply)),
        }
    }
}

/// How a call to the platform ended.
enum CallResult {
    Answered,
    Failed,
    /// The platform takes no more calls now.
    Limited,
}

/// Starts the threads; each ends when its channel closes.
pub(super) fn start(platform: &Platform) -> Vec<SyncSender<Event>> {
    let start_worker = |_| {
        let (sender, events) = mpsc::sync_channel(QUEUE_CAPACITY);
        let store = ClaimStore::new(platform.clone());
        let buckets = Vec::new();
        thread::spawn(move || Worker { store, buckets }.run(&events));
        sender
    };
    (0..WORKERS).map(start_worker).collect()
}

/// One thread with the values that it holds, by index.
struct Worker {
    store: ClaimStore,
    buckets: Vec<BucketState>,
}

struct BucketState {
    index: u64,
    bucket: core_claims::Bucket,
    limiter: WriteLimiter,
    waiters: Vec<Waiter>,
    /// The platform failed; what does not wait is tried again then.
    retry_at: Option<Instant>,
}

impl Worker {
    fn run(mut self, events: &Receiver<Event>) {
        loop {
            match events.recv_timeout(self.time_until_due(Instant::now())) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            for bucket in &mut self.buckets {
                bucket.process(&self.store);
            }
        }
    }

    /// Returns the time until some value has to be worked on.
    fn time_until_due(&self, now: Instant) -> Duration {
        let due_at = self.buckets.iter().filter_map(|bucket| bucket.due_at(now));
        let wait = due_at
            .min()
            .map(|due_at| due_at.saturating_duration_since(now));
        wait.unwrap_or(RELEASE_BACKOFF).min(RELEASE_BACKOFF)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Claim(waiter) => self.bucket(waiter.key).claim(waiter),
            Event::Release(key, attempt) => self.bucket(key).release(key, attempt),
        }
    }

    fn bucket(&mut self, key: KeyHash) -> &mut BucketState {
        let bucket_index = core_claims::bucket_index(key);
        let index = self
            .buckets
            .binary_search_by_key(&bucket_index, |bucket| bucket.index);
        let index = index.unwrap_or_else(|index| {
            self.buckets.insert(index, BucketState::new(bucket_index));
            index
        });
        &mut self.buckets[index]
    }
}

impl BucketState {
    fn new(index: u64) -> BucketState {
        BucketState {
            index,
            bucket: core_claims::Bucket::default(),
            limiter: WriteLimiter::default(),
            waiters: Vec::new(),
            retry_at: None,
        }
    }

    fn claim(&mut self, waiter: Waiter) {
        let claim = Claim {
            key: waiter.key,
            attempt: waiter.attempt,
            at_ms: unix_time_ms(),
        };
        let action = self.bucket.claim(claim, waiter.replaces);
        self.waiters.push(waiter);
        if let Some(Action::Answer(attempt, answer)) = action {
            self.answer(attempt, answer);
        }
    }

    fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        self.waiters.retain(|waiter| waiter.attempt != attempt);
        self.bucket.release(key, attempt);
    }

    /// Returns when the value has to be worked on; `None` if nothing waits.
    fn due_at(&self, now: Instant) -> Option<Instant> {
        let due_at = self.limiter.next_write_at(now);
        match self.retry_at {
            Some(at) if !self.bucket.has_pending_claims() => self.bucket.has_work().then_some(at),
            _ => self.bucket.has_work().then_some(due_at),
        }
    }

    /// Works until nothing waits, the next write is not due or the platform
    /// fails.
    fn process(&mut self, store: &ClaimStore) {
        let mut failures = 0;
        while self.bucket.has_work() && failures < MAX_CONSECUTIVE_FAILURES {
            let now = Instant::now();
            if self.retry_at.is_some_and(|at| at > now) && !self.bucket.has_pending_claims() {
                return;
            }
            let may_write = self.limiter.next_write_at(now) <= now;
            let actions = self.bucket.advance(unix_time_ms(), may_write);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match self.perform(store, action) {
                    CallResult::Answered => {}
                    CallResult::Failed => failures += 1,
                    CallResult::Limited => {
                        return self.fail_all(ClaimReply {
                            answer: Answer::Full,
                            is_contended: true,
                        });
                    }
                }
            }
        }
        self.retry_at = None;
        if failures >= MAX_CONSECUTIVE_FAILURES {
            self.fail_all(ClaimReply::uncontended(Answer::PlatformDown));
        }
    }

    fn perform(&mut self, store: &ClaimStore, action: Action) -> CallResult {
        match action {
            Action::Answer(attempt, answer) => {
                self.answer(attempt, answer);
                CallResult::Answered
            }
            Action::Read => match store.read(self.index) {
                Some((version, claims)) => {
                    self.bucket.on_read(version, claims);
                    CallResult::Answered
                }
                None => CallResult::Failed,
            },
            Action::Write { version, claims } => {
                let written = store.write(self.index, version, &claims);
                if written != Written::Mismatch {
                    // Another VM's write came first: this one is due again.
                    self.limiter.on_write(Instant::now());
                }
                match written {
                    Written::Done(version) => self.bucket.on_written(version),
                    Written::Refused | Written::Limited => self.bucket.on_rejected(),
                    Written::Mismatch | Written::Unknown => self.bucket.invalidate(),
                }
                match written {
                    Written::Done(_) | Written::Mismatch => CallResult::Answered,
                    Written::Limited => CallResult::Limited,
                    Written::Refused | Written::Unknown => CallResult::Failed,
                }
            }
        }
    }

    fn answer(&mut self, attempt: AttemptId, answer: Answer) {
        let is_contended = self.bucket.is_contended();
        let index = self
            .waiters
            .iter()
            .position(|waiter| waiter.attempt == attempt);
        if let Some(index) = index {
            let waiter = self.waiters.swap_remove(index);
            waiter.reply.send(ClaimReply {
                answer,
                is_contended,
            });
        }
    }

    /// Answers all who wait after the platform failed, and takes the claims
    /// that it may have taken out once it is back.
    fn fail_all(&mut self, reply: ClaimReply) {
        self.retry_at = Some(Instant::now() + RELEASE_BACKOFF);
        if !self.waiters.is_empty() {
            let count = self.waiters.len();
            warn!("claims: the platform fails; {count} requests are refused");
        }
        for waiter in std::mem::take(&mut self.waiters) {
            self.bucket.release(waiter.key, waiter.attempt);
            waiter.reply.send(reply);
        }
    }
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
