//! Claims idempotency keys in the key-value service of the platform (the services that the users
//! run) before the requests are sent to leaves.
//!
//! Claims are hashed by key over a fixed number of buckets. Each bucket is one stored value and is
//! written by compare-and-swap. A bucket is contended while the fleet claims many of its keys per
//! second, or while the platform accepts no more calls. This VM claims a key itself as long as it
//! has seen no contended bucket recently. Otherwise it forwards the claim to a VM that writes the
//! claims of many VMs together. If that VM does not answer in time or answers that the platform is
//! down, this VM claims the key itself, unless the platform recently left a call of this VM
//! unanswered. If this VM is itself the one that writes for many, it does not forward the claim. A
//! claim is made by an attempt, one try to claim a key, which has a random id.

mod worker;

use std::net::SocketAddr;
use std::sync::mpsc::{self, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::executor::block_on;
use log::debug;

use self::worker::{Event, Reply, Waiter};
use crate::core::claims::{self as core_claims, Answer, FORWARD_TIMEOUT, Forwarding, KeyHash};
use crate::edge::metrics::{Claimant, Metrics};
use crate::edge::peer::{self, ClaimReply, ClaimRequest};
use crate::edge::platform::Platform;
use crate::prelude::*;
use crate::util::published::Published;

/// Time after which a caller may retry a request that was rejected because the platform did not
/// answer, because too many claims were pending, because the platform accepted no more calls or
/// because the key's bucket was full.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of times that a forwarded claim is forwarded again. A VM that receives a claim
/// forwards it to the VM of its failure domain that ranks first for the key's bucket, unless that
/// is the VM itself.
const MAX_FURTHER_HOPS: u8 = 1;
/// Fraction (numerator, denominator) of a request's remaining time in which another VM has to
/// answer a forwarded claim. The rest is left for a claim by this VM.
const FORWARD_TIME_SHARE: (u32, u32) = (3, 4);

/// Claims and releases idempotency keys. Clones share the worker threads.
#[derive(Clone)]
pub struct Claims {
    /// Queues of the worker threads, each of which writes some of the buckets.
    workers: Vec<SyncSender<Event>>,
    /// State that decides to which VM a claim is forwarded. A lost VM, one that currently does not
    /// answer, gets none.
    forwarding: Arc<Mutex<Forwarding>>,
    /// What this VM knows of the other VMs.
    view: Arc<Published<View>>,
    peers: peer::Client,
    metrics: Metrics,
}

/// Proof that an attempt to claim a key succeeded; it is needed to release the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimToken {
    /// Hash of the claimed key.
    key: KeyHash,
    /// Random id of the attempt to claim the key.
    attempt: AttemptId,
    /// Peer address of the VM that claimed the key on behalf of this one; `None` if this VM claimed
    /// it. The log shows the field under this name.
    by: Option<SocketAddr>,
}

impl Claims {
    /// Starts the worker threads, which end when the last clone is dropped.
    pub fn start(
        platform: &Platform,
        view: Arc<Published<View>>,
        peers: peer::Client,
        metrics: Metrics,
    ) -> Claims {
        Claims {
            workers: worker::start(platform),
            forwarding: Arc::default(),
            view,
            peers,
            metrics,
        }
    }

    /// Claims a caller's key for one request and waits for the answer until
    /// `deadline` at most.
    ///
    /// Fails if another request holds the key, if too many claims are pending,
    /// or if the platform does not answer.
    pub fn claim(
        &self,
        service: &str,
        key: &str,
        request: &RequestId,
        deadline: Instant,
    ) -> Result<ClaimToken, Failure> {
        let key = core_claims::key_hash(service, key);
        let bucket = core_claims::bucket_index(key);
        let now = Instant::now();
        let is_lost = |vm: &Vm| self.peers.is_lost(vm.peer_address);
        let target = self
            .forwarding()
            .target(&self.view.get(), bucket, now, is_lost);
        let claimed = match target {
            Some(vm) => self.forward_claim(key, &vm, deadline),
            None => self.claim_locally(key, None, deadline),
        };
        debug!("claims: claim of request {request} ended: {claimed:?}");
        claimed
    }

    /// Forwards a claim to another VM. If that VM does not answer in time or answers that the
    /// platform is down, claims the key locally, unless the platform recently left a call of this
    /// VM unanswered.
    fn forward_claim(
        &self,
        key: KeyHash,
        vm: &Vm,
        deadline: Instant,
    ) -> Result<ClaimToken, Failure> {
        let token = ClaimToken {
            key,
            attempt: rand::random(),
            by: Some(vm.peer_address),
        };
        if let Some(answer) = self.request_claim(vm, token, deadline) {
            return to_result(answer).map(|()| token);
        }
        if !self.forwarding().may_fall_back(Instant::now()) {
            // The other VM may have claimed the key even though its answer is missing.
            self.release(token);
            return Err(platform_down());
        }
        let claimed = self.claim_locally(key, Some(token.attempt), deadline);
        // If the platform answered this VM, the missing answer was the fault of the other VM.
        let is_down = |failure: &Failure| failure.reason == Reason::PlatformDown;
        if !claimed.as_ref().is_err_and(is_down) {
            self.forwarding().avoid(&vm.name, Instant::now());
        }
        claimed
    }

    /// Releases a key. Only call this if the request certainly did not run.
    pub fn release(&self, token: ClaimToken) {
        let Some(vm) = token.by else {
            return self.release_locally(token.key, token.attempt);
        };
        let claims = self.clone();
        let on_failure = move || claims.release_locally(token.key, token.attempt);
        let request = ClaimRequest {
            key: token.key,
            attempt: token.attempt,
            hops_left: MAX_FURTHER_HOPS,
            is_release: true,
        };
        self.peers
            .release_claim(vm, request, FORWARD_TIMEOUT, on_failure);
    }

    /// Serves a claim or release that a peer requests. Forwards it to the VM of
    /// this failure domain that ranks first, or processes it locally.
    pub(super) async fn serve(&self, request: ClaimRequest) -> ClaimReply {
        if request.hops_left > 0
            && let Some(vm) = self.forward_target(request.key)
        {
            let onward_request = ClaimRequest {
                hops_left: request.hops_left - 1,
                ..request
            };
            let call = self
                .peers
                .claim(vm.peer_address, onward_request, FORWARD_TIMEOUT);
            if let Ok(reply) = call.await {
                return reply;
            }
            // The requesting VM then claims or releases the key itself. If this VM did so too, the
            // claim of the same attempt could be written or released twice.
            self.forwarding().avoid(&vm.name, Instant::now());
            return ClaimReply::uncontended(Answer::PlatformDown);
        }
        if request.is_release {
            self.release_locally(request.key, request.attempt);
            // A release has no result of its own.
            return ClaimReply::uncontended(Answer::Granted);
        }
        self.serve_claim_locally(request).await
    }

    /// Claims a key on this VM for a peer.
    async fn serve_claim_locally(&self, request: ClaimRequest) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            key: request.key,
            attempt: request.attempt,
            replaces: None,
            reply: Reply::Peer(sender),
        };
        if self.enqueue(request.key, Event::Claim(waiter)).is_err() {
            return ClaimReply::uncontended(Answer::Full);
        }
        let mut guard = ReleaseOnDrop {
            claims: self,
            request,
            is_answered: false,
        };
        let reply = receiver.await;
        guard.is_answered = true;
        reply.unwrap_or(ClaimReply::uncontended(Answer::PlatformDown))
    }

    /// Returns the VM to which a peer's claim is forwarded; `None` if this VM processes it.
    fn forward_target(&self, key: KeyHash) -> Option<Vm> {
        let bucket = core_claims::bucket_index(key);
        let is_lost = |vm: &Vm| self.peers.is_lost(vm.peer_address);
        let view = self.view.get();
        self.forwarding()
            .target_in_domain(&view, bucket, Instant::now(), is_lost)
    }

    /// Requests a claim from another VM. Returns `None` if it does not answer in time or answers
    /// that the platform is down.
    fn request_claim(&self, vm: &Vm, token: ClaimToken, deadline: Instant) -> Option<Answer> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let (numerator, denominator) = FORWARD_TIME_SHARE;
        let timeout = FORWARD_TIMEOUT.min(time_left * numerator / denominator);
        let request = ClaimRequest {
            key: token.key,
            attempt: token.attempt,
            hops_left: MAX_FURTHER_HOPS,
            is_release: false,
        };
        let call = self.peers.claim(vm.peer_address, request, timeout);
        let reply = block_on(call).unwrap_or(ClaimReply::uncontended(Answer::PlatformDown));
        self.metrics.count_claim(Claimant::Peer, reply.answer);
        self.forwarding()
            .note_contention(reply.is_contended, Instant::now());
        (reply.answer != Answer::PlatformDown).then_some(reply.answer)
    }

    /// Claims a key on this VM. `replaces` is the attempt under which another VM may already have
    /// claimed the key for the same request. That claim does not make this one a duplicate.
    fn claim_locally(
        &self,
        key: KeyHash,
        replaces: Option<AttemptId>,
        deadline: Instant,
    ) -> Result<ClaimToken, Failure> {
        let attempt = rand::random();
        let (sender, receiver) = mpsc::sync_channel(1);
        let waiter = Waiter {
            key,
            attempt,
            replaces,
            reply: Reply::Thread(sender),
        };
        if self.enqueue(key, Event::Claim(waiter)).is_err() {
            return Err(Failure::not_run(Reason::Shed).with_retry_after(RETRY_AFTER));
        }
        let timeout = deadline.saturating_duration_since(Instant::now());
        let Ok(reply) = receiver.recv_timeout(timeout) else {
            self.release_locally(key, attempt);
            self.forwarding().note_platform_failure(Instant::now());
            self.metrics
                .count_claim(Claimant::Own, Answer::PlatformDown);
            return Err(platform_down());
        };
        self.metrics.count_claim(Claimant::Own, reply.answer);
        if reply.answer == Answer::PlatformDown {
            self.forwarding().note_platform_failure(Instant::now());
        }
        self.forwarding()
            .note_contention(reply.is_contended, Instant::now());
        to_result(reply.answer).map(|()| ClaimToken {
            key,
            attempt,
            by: None,
        })
    }

    fn release_locally(&self, key: KeyHash, attempt: AttemptId) {
        // If the queue is full, the release is lost, and requests with the key are rejected until
        // its claim expires.
        let _ = self.enqueue(key, Event::Release(key, attempt));
    }

    /// Passes a claim or release to the worker thread of the key's bucket. Fails if its queue is
    /// full.
    fn enqueue(&self, key: KeyHash, event: Event) -> Result<(), mpsc::TrySendError<Event>> {
        let bucket = core_claims::bucket_index(key);
        let worker = bucket as usize % self.workers.len();
        self.workers[worker].try_send(event)
    }

    fn forwarding(&self) -> MutexGuard<'_, Forwarding> {
        self.forwarding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Releases the claim of a peer that no longer waits for the answer. In that case, the future of
/// `serve_claim_locally` is dropped before the answer is received.
struct ReleaseOnDrop<'a> {
    claims: &'a Claims,
    request: ClaimRequest,
    /// Whether the answer was received.
    is_answered: bool,
}

impl Drop for ReleaseOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.claims
                .release_locally(self.request.key, self.request.attempt);
        }
    }
}

fn to_result(answer: Answer) -> Result<(), Failure> {
    match answer {
        Answer::Granted => Ok(()),
        Answer::Duplicate => Err(Failure::may_have_run(Reason::DuplicateKey)),
        Answer::Full => Err(Failure::not_run(Reason::Shed).with_retry_after(RETRY_AFTER)),
        Answer::PlatformDown => Err(platform_down()),
    }
}

fn platform_down() -> Failure {
    Failure::not_run(Reason::PlatformDown).with_retry_after(RETRY_AFTER)
}
