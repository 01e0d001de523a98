//! Worker threads that write claims to the key-value service of the platform, which the users run.
//!
//! A claim records that an idempotency key was taken by one attempt (one try to run the request
//! that carries the key), which has a random id. Claims are hashed by key over buckets, each of
//! which is one stored value. Each thread handles some of the buckets and writes all claims that
//! are pending in a bucket with one call. A bucket is contended while claims come so fast, or the
//! platform's rate limit rejects calls, that one VM should write it for all.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::channel::oneshot;
use log::warn;

use crate::core::claims::{self as core_claims, Action, Answer, Claim, KeyHash, WriteLimiter};
use crate::edge::peer::ClaimReply;
use crate::edge::platform::claim_store::ClaimStore;
use crate::edge::platform::{Platform, PutOutcome};
use crate::prelude::*;

/// Number of worker threads.
const WORKERS: u64 = 4;
/// Maximum number of claims and releases that are queued for one worker.
const QUEUE_CAPACITY: usize = 1_024;
/// Number of failed platform calls, within one round of processing a bucket, after which all
/// requests that wait for the bucket are answered with a failure.
const MAX_FAILURES: u32 = 2;
/// Wait after a platform failure before pending releases are retried.
const RELEASE_BACKOFF: Duration = Duration::from_secs(1);

/// Task for a worker thread.
#[derive(Debug)]
pub(super) enum Event {
    /// Claims a key for a request that waits.
    Claim(Waiter),
    /// Removes the claim that an attempt has on a key.
    Release(KeyHash, AttemptId),
}

/// Request that waits for the answer to its claim.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) key: KeyHash,
    /// Attempt that is to hold the key.
    pub(super) attempt: AttemptId,
    /// Earlier attempt of the same request, for which another VM was asked to claim the key and may
    /// have done so, although its answer is missing. The new claim replaces the claim of that
    /// attempt.
    pub(super) replaces: Option<AttemptId>,
    pub(super) reply: Reply,
}

/// Channel to which an answer is sent. A send to a closed channel is ignored,
/// because a receiver that stops waiting releases the claim itself.
#[derive(Debug)]
pub(super) enum Reply {
    /// To the thread of a caller's request on this VM.
    Thread(SyncSender<ClaimReply>),
    /// To a peer (another VM) that asked this VM to claim the key.
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

/// Result of performing an action.
enum CallResult {
    /// No call was needed, or the platform answered it, if only that another VM wrote first.
    Answered,
    /// Not answered, or rejected for another reason than the rate limit.
    Failed,
    /// Rejected because the platform accepts no more calls at the moment.
    Limited,
}

/// Starts the worker threads and returns their queues. All events of a bucket must be sent to the
/// same queue. Each thread ends when its queue closes.
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

/// State of one worker thread: its buckets, sorted by index.
struct Worker {
    store: ClaimStore,
    buckets: Vec<BucketState>,
}

/// A bucket and the requests that wait for it.
struct BucketState {
    index: u64,
    /// Stored claims, as far as they are known, and those that are pending.
    bucket: core_claims::Bucket,
    /// Limits how often the bucket is written.
    limiter: WriteLimiter,
    /// Requests that wait for the answer to their claims.
    waiters: Vec<Waiter>,
    /// Time before which no call is made after a platform failure if only releases are pending.
    /// Pending claims are not delayed, because requests wait for them.
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

    /// Returns the time until the first bucket has to be processed, at most [`RELEASE_BACKOFF`],
    /// which is the longest time that a bucket waits.
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
        let position = self
            .buckets
            .binary_search_by_key(&bucket_index, |bucket| bucket.index);
        let position = position.unwrap_or_else(|position| {
            self.buckets
                .insert(position, BucketState::new(bucket_index));
            position
        });
        &mut self.buckets[position]
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

    /// Returns when the bucket has to be processed; `None` if nothing is pending.
    fn due_at(&self, now: Instant) -> Option<Instant> {
        let next_write_at = self.limiter.next_write_at(now);
        match self.retry_at {
            Some(at) if !self.bucket.has_pending_claims() => self.bucket.has_work().then_some(at),
            _ => self.bucket.has_work().then_some(next_write_at),
        }
    }

    /// Processes the bucket until nothing is pending, the next write is not due
    /// yet, or the platform fails.
    fn process(&mut self, store: &ClaimStore) {
        let mut failures = 0;
        while self.bucket.has_work() && failures < MAX_FAILURES {
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
                        // `Full` says that the key is not claimed because no more calls are
                        // accepted; `is_contended` lets the VMs that receive the reply forward
                        // their claims to one VM.
                        return self.fail_all(ClaimReply {
                            answer: Answer::Full,
                            is_contended: true,
                        });
                    }
                }
            }
        }
        self.retry_at = None;
        if failures >= MAX_FAILURES {
            self.fail_all(ClaimReply::uncontended(Answer::PlatformDown));
        }
    }

    /// Performs an action. A call that the platform rejected had no effect, so the bucket stays as
    /// it was last read. After a mismatch or an unknown result it is read again.
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
                if written != PutOutcome::Mismatch {
                    // A mismatch means that another VM wrote first. It does not
                    // advance the limiter, and the write can be retried at once.
                    self.limiter.on_write(Instant::now());
                }
                match written {
                    PutOutcome::Done(version) => self.bucket.on_written(version),
                    PutOutcome::Refused | PutOutcome::Limited => self.bucket.on_rejected(),
                    PutOutcome::Mismatch | PutOutcome::Unknown => self.bucket.invalidate(),
                }
                match written {
                    PutOutcome::Done(_) | PutOutcome::Mismatch => CallResult::Answered,
                    PutOutcome::Limited => CallResult::Limited,
                    PutOutcome::Refused | PutOutcome::Unknown => CallResult::Failed,
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

    /// Answers all waiting requests after the platform failed or rejected a call. Releases their
    /// claims, which the platform may have stored, once it accepts calls again.
    fn fail_all(&mut self, reply: ClaimReply) {
        self.retry_at = Some(Instant::now() + RELEASE_BACKOFF);
        if !self.waiters.is_empty() {
            let count = self.waiters.len();
            warn!(
                "cannot claim idempotency keys: the platform failed or its rate limit was \
                 exceeded; rejecting {count} requests"
            );
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
