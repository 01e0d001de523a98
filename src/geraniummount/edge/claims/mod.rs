//! Claims idempotency keys in the platform's service before dispatch.
//!
//! A key is claimed by this VM, or by another one that claims for many where
//! the fleet claims so many keys a second that this pays. When that VM gives
//! no useful answer in time, this VM claims the key itself.

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
use crate::edge::peer::{self, Claimed, Wanted};
use crate::edge::platform::Platform;
use crate::prelude::*;
use crate::util::published::Published;

/// When a caller may come back after the platform did not answer.
const COME_BACK: Duration = Duration::from_secs(1);
/// Hops of a forwarded claim beyond the first: from a VM of another failure
/// domain to the one that ranks first there.
const HOPS: u8 = 1;
/// Share of a request's time, as a fraction, for which another VM is waited
/// for; the rest is for an own claim.
const FORWARD_SHARE: (u32, u32) = (3, 4);

/// Claims keys; clones share the threads.
#[derive(Clone)]
pub struct Claims {
    workers: Vec<SyncSender<Event>>,
    forward: Arc<Mutex<Forwarding>>,
    view: Arc<Published<View>>,
    peers: peer::Client,
    metrics: Metrics,
}

/// Shows that a key is held by this attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimToken {
    key: KeyHash,
    attempt: AttemptId,
    /// VM that claimed the key for this one.
    by: Option<SocketAddr>,
}

impl Claims {
    /// Starts the threads; they end when the last clone is dropped.
    pub fn start(
        platform: &Platform,
        view: Arc<Published<View>>,
        peers: peer::Client,
        metrics: Metrics,
    ) -> Claims {
        Claims {
            workers: worker::start(platform),
            forward: Arc::default(),
            view,
            peers,
            metrics,
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
        let key = core_claims::key_hash(service, key);
        let value = core_claims::bucket_index(key);
        let now = Instant::now();
        let is_lost = |vm: &Vm| self.peers.has_lost(vm.peer_address);
        let to = self.forward().target(&self.view.get(), value, now, is_lost);
        let claimed = match to {
            Some(vm) => self.claim_elsewhere(key, &vm, deadline),
            None => self.claim_here(key, None, deadline),
        };
        debug!("claims: request {request}: {claimed:?}");
        claimed
    }

    /// Lets another VM claim, and claims by this one if that fails.
    fn claim_elsewhere(
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
        if let Some(answer) = self.claim_by(vm, token, deadline) {
            return to_result(answer).map(|()| token);
        }
        if !self.forward().may_fall_back(Instant::now()) {
            // The other VM may have claimed it all the same.
            self.release(token);
            return Err(platform_down());
        }
        let claimed = self.claim_here(key, Some(token.attempt), deadline);
        let is_down = |failure: &Failure| failure.reason == Reason::PlatformDown;
        if !claimed.as_ref().is_err_and(is_down) {
            self.forward().avoid(&vm.name, Instant::now());
        }
        claimed
    }

    /// Gives a key back after its request was certainly not run.
    pub fn release(&self, token: ClaimToken) {
        let Some(vm) = token.by else {
            return self.release_here(token.key, token.attempt);
        };
        let claims = self.clone();
        let otherwise = move || claims.release_here(token.key, token.attempt);
        let wanted = Wanted {
            key: token.key,
            attempt: token.attempt,
            hops_left: HOPS,
            release: true,
        };
        self.peers
            .release_claim(vm, wanted, FORWARD_TIMEOUT, otherwise);
    }

    /// Does what a peer asks for: claims or releases a key here, or sends it
    /// on to the member of this failure domain that ranks first.
    pub(super) async fn serve(&self, wanted: Wanted) -> Claimed {
        if wanted.hops_left > 0
            && let Some(vm) = self.onward(wanted.key)
        {
            let onward = Wanted {
                hops_left: wanted.hops_left - 1,
                ..wanted
            };
            let asked = self.peers.claim(vm.peer_address, onward, FORWARD_TIMEOUT);
            if let Ok(claimed) = asked.await {
                return claimed;
            }
            // The one who asked tries by itself: a claim here as well could
            // set or release the same attempt twice.
            self.forward().avoid(&vm.name, Instant::now());
            return Claimed::of(Answer::PlatformDown);
        }
        if wanted.release {
            self.release_here(wanted.key, wanted.attempt);
            return Claimed::of(Answer::Granted);
        }
        self.serve_here(wanted).await
    }

    async fn serve_here(&self, wanted: Wanted) -> Claimed {
        let (reply, answer) = oneshot::channel();
        let waiter = Waiter {
            key: wanted.key,
            attempt: wanted.attempt,
            replaces: None,
            reply: Reply::Peer(reply),
        };
        if self.send(wanted.key, Event::Claim(waiter)).is_err() {
            return Claimed::of(Answer::Full);
        }
        let mut guard = Guard {
            claims: self,
            wanted,
            answered: false,
        };
        let claimed = answer.await;
        guard.answered = true;
        claimed.unwrap_or(Claimed::of(Answer::PlatformDown))
    }

    fn onward(&self, key: KeyHash) -> Option<Vm> {
        let value = core_claims::bucket_index(key);
        let is_lost = |vm: &Vm| self.peers.has_lost(vm.peer_address);
        let view = self.view.get();
        self.forward()
            .target_in_domain(&view, value, Instant::now(), is_lost)
    }

    /// Asks another VM for a claim; `None` when it gave no useful answer.
    fn claim_by(&self, vm: &Vm, token: ClaimToken, deadline: Instant) -> Option<Answer> {
        let left = deadline.saturating_duration_since(Instant::now());
        let (part, whole) = FORWARD_SHARE;
        let limit = FORWARD_TIMEOUT.min(left * part / whole);
        let wanted = Wanted {
            key: token.key,
            attempt: token.attempt,
            hops_left: HOPS,
            release: false,
        };
        let asked = self.peers.claim(vm.peer_address, wanted, limit);
        let claimed = block_on(asked).unwrap_or(Claimed::of(Answer::PlatformDown));
        self.metrics.count_claim(Claimant::Peer, claimed.answer);
        self.forward()
            .note_contention(claimed.contended, Instant::now());
        (claimed.answer != Answer::PlatformDown).then_some(claimed.answer)
    }

    /// Claims by this VM; `replaces` is the attempt of this request that
    /// another one may have claimed.
    fn claim_here(
        &self,
        key: KeyHash,
        replaces: Option<AttemptId>,
        deadline: Instant,
    ) -> Result<ClaimToken, Failure> {
        let attempt = rand::random();
        let (reply, answer) = mpsc::sync_channel(1);
        let waiter = Waiter {
            key,
            attempt,
            replaces,
            reply: Reply::Thread(reply),
        };
        if self.send(key, Event::Claim(waiter)).is_err() {
            return Err(Failure::not_run(Reason::Shed).with_retry_after(COME_BACK));
        }
        let wait = deadline.saturating_duration_since(Instant::now());
        let Ok(claimed) = answer.recv_timeout(wait) else {
            self.release_here(key, attempt);
            self.forward().note_platform_failure(Instant::now());
            self.metrics
                .count_claim(Claimant::Own, Answer::PlatformDown);
            return Err(platform_down());
        };
        self.metrics.count_claim(Claimant::Own, claimed.answer);
        if claimed.answer == Answer::PlatformDown {
            self.forward().note_platform_failure(Instant::now());
        }
        self.forward()
            .note_contention(claimed.contended, Instant::now());
        to_result(claimed.answer).map(|()| ClaimToken {
            key,
            attempt,
            by: None,
        })
    }

    fn release_here(&self, key: KeyHash, attempt: AttemptId) {
        // A release that is lost leaves the key refused until its window ends.
        let _ = self.send(key, Event::Release(key, attempt));
    }

    fn send(&self, key: KeyHash, event: Event) -> Result<(), mpsc::TrySendError<Event>> {
        let value = core_claims::bucket_index(key);
        let worker = value as usize % self.workers.len();
        self.workers[worker].try_send(event)
    }

    fn forward(&self) -> MutexGuard<'_, Forwarding> {
        self.forward.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes out the claim for a peer that no longer waits for it: the call's
/// future is then dropped before its end.
struct Guard<'a> {
    claims: &'a Claims,
    wanted: Wanted,
    answered: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.claims
                .release_here(self.wanted.key, self.wanted.attempt);
        }
    }
}

fn to_result(answer: Answer) -> Result<(), Failure> {
    match answer {
        Answer::Granted => Ok(()),
        Answer::Duplicate => Err(Failure::may_have_run(Reason::DuplicateKey)),
        Answer::Full => Err(Failure::not_run(Reason::Shed).with_retry_after(COME_BACK)),
        Answer::PlatformDown => Err(platform_down()),
    }
}

fn platform_down() -> Failure {
    Failure::not_run(Reason::PlatformDown).with_retry_after(COME_BACK)
}
