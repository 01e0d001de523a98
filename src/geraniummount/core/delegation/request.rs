//! State of one delegated request.

use std::time::{Duration, Instant};

use super::handoff::Handoff;
use super::{Action, Answer, Completion, Decline, End, Ending, Outcome, Peers, Purpose};
use crate::core::not_run::{NotRun, Progress, may_reach_caller};
use crate::core::route::Repeat;
use crate::core::scope::Scope;
use crate::prelude::*;

/// Maximum number of peers that a request is passed to. Most VMs may have lost their links, and
/// each of them declines within one round trip.
const MAX_PEERS: usize = 8;

/// Maximum time for which a request waits for peers whose routes are older than it requires. The
/// VMs apply a change of the routes within a fraction of a second of each other.
const MAX_OUTDATED_WAIT: Duration = Duration::from_millis(300);

/// Bounds of the retry delay that is sent to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of one delegated request.
#[derive(Debug)]
pub struct Request {
    /// Whether the request may run more than once.
    repeat: Repeat,
    /// When the request ends, even without an answer.
    end_by: Instant,
    /// Why the request is passed to a peer.
    purpose: Purpose,
    /// Minimum time before `end_by` that a peer needs.
    min_attempt_time: Duration,
    /// Failure domains whose VMs the request may be passed to.
    scope: Scope,
    /// Peers that the request was passed to.
    tried: Vec<VmName>,
    /// Failure domains of peers that have lost their links too.
    lost_domains: Vec<DomainName>,
    /// The peer that has the request.
    open: Option<Handoff>,
    /// Whether a leaf, or a peer that did not answer, may have run the request.
    may_have_run: bool,
    /// When the request began to wait for peers whose routes are older than it requires.
    waiting_since: Option<Instant>,
    /// When it is passed to one of them again; `None` while it does not wait.
    wait_until: Option<Instant>,
    /// Shortest time after which a peer that declined may serve the request.
    retry_after: Option<Duration>,
    is_finished: bool,
}

impl Request {
    /// Creates the state of a request that ends at `end_by`, without passing it to a peer.
    pub fn new(repeat: Repeat, end_by: Instant) -> Request {
        Request {
            repeat,
            end_by,
            purpose: Purpose::Necessity,
            min_attempt_time: Duration::ZERO,
            scope: Scope::ANY,
            tried: Vec::new(),
            lost_domains: Vec::new(),
            open: None,
            may_have_run: false,
            waiting_since: None,
            wait_until: None,
            retry_after: None,
            is_finished: false,
        }
    }

    /// Records that up to `sends` leaves of a shard may have received the request already, so that
    /// it may have run even if no peer serves it.
    #[must_use]
    pub fn with_sends(mut self, sends: u32) -> Request {
        self.may_have_run |= sends > 0;
        self
    }

    /// Records whether another VM may have run the request already.
    #[must_use]
    pub fn with_earlier_run(mut self, may_have_run: bool) -> Request {
        self.may_have_run |= may_have_run;
        self
    }

    /// Sets why the request is passed to a peer.
    #[must_use]
    pub fn with_purpose(mut self, purpose: Purpose) -> Request {
        self.purpose = purpose;
        self
    }

    /// Passes the request to a peer only if more than this time is left.
    #[must_use]
    pub fn with_min_attempt_time(mut self, time: Duration) -> Request {
        self.min_attempt_time = time;
        self
    }

    /// Passes the request only to peers of the failure domains in `scope`.
    #[must_use]
    pub fn within(mut self, scope: Scope) -> Request {
        self.scope = scope;
        self
    }

    /// Ends the request at `limit` at the latest.
    pub fn end_before(&mut self, limit: Instant) {
        self.end_by = self.end_by.min(limit);
    }

    /// Passes the request to the first peer.
    pub fn start(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        self.try_next(peers, now)
    }

    /// Returns the handoff that is open: that of the peer that has the request, or to which a
    /// connection is being opened.
    pub fn handoff(&self) -> Option<HandoffId> {
        self.open.as_ref().map(|open| open.id)
    }

    /// Returns whether the request may still be sent to the peer: it does not count as failed yet. A
    /// VM that was stalled while the connection was opened would give the request up right after
    /// sending it, and both VMs would serve it.
    pub fn may_send(&self, now: Instant) -> bool {
        let late_at = self
            .open
            .as_ref()
            .and_then(|open| open.late_at(self.purpose));
        late_at.is_none_or(|at| now < at)
    }

    /// Records that the peer of a handoff may have received the request.
    pub fn on_sent(&mut self, handoff: HandoffId, now: Instant) {
        if let Some(open) = self.open_handoff(handoff) {
            open.sent_at.get_or_insert(now);
        }
    }

    /// Records that the peer of a handoff has read the request. `is_newer` tells whether the peer handles
    /// it by newer routes than it was planned by; by those, it may be one that may run only once.
    pub fn on_acknowledged(&mut self, handoff: HandoffId, is_newer: bool) {
        let Some(open) = self.open_handoff(handoff) else {
            return;
        };
        open.is_acknowledged = true;
        if is_newer {
            self.repeat = Repeat::AtMostOnce;
        }
    }

    /// Processes the outcome of a handoff; does nothing if another one is open. `take_extra` takes what
    /// a repetition costs from the retry allowances, and returns whether they permit it.
    pub fn on_completion(
        &mut self,
        completion: Completion,
        peers: &mut Peers,
        take_extra: impl FnOnce() -> bool,
        now: Instant,
    ) -> Vec<Action> {
        let Some(open) = self.open.take_if(|open| open.id == completion.handoff) else {
            return Vec::new();
        };
        match completion.outcome {
            Outcome::Answered(answer) => self.forward(&open, answer, peers, now),
            Outcome::Declined {
                decline,
                retry_after,
            } => {
                self.record_decline(&open, decline, retry_after, peers, now);
                let is_final = match decline {
                    // The leaves are overloaded, whichever VM sends the request to them.
                    Decline::Overloaded => self.purpose == Purpose::Offload,
                    Decline::Shed => true,
                    _ => false,
                };
                match is_final {
                    true => self.give_up(peers, now),
                    false => self.try_next(peers, now),
                }
            }
            Outcome::Unreachable => {
                peers.end(&open.peer, Ending::Failed, now);
                self.try_next(peers, now)
            }
            Outcome::OutOfTime => {
                peers.end(&open.peer, Ending::Abandoned, now);
                self.give_up(peers, now)
            }
            Outcome::Lost => {
                peers.end(&open.peer, Ending::Failed, now);
                self.may_have_run = true;
                let may_repeat = self.repeat == Repeat::Idempotent;
                let is_permitted = match self.purpose {
                    Purpose::Necessity => !open.is_acknowledged || take_extra(),
                    // The peer may have used all attempts that the route permits.
                    Purpose::Offload => false,
                };
                if !may_repeat || !is_permitted {
                    return self.finish(End::Fail);
                }
                self.try_next(peers, now)
            }
        }
    }

    /// Does what is due when an outcome has arrived or a timer fires. `arrived` is the outcome that has
    /// arrived and was not processed. It goes before the timer, which counts the peer as late only if
    /// there is none.
    pub fn advance(
        &mut self,
        arrived: Option<Completion>,
        peers: &mut Peers,
        take_extra: impl FnOnce() -> bool,
        now: Instant,
    ) -> Vec<Action> {
        match arrived.filter(|arrived| self.handoff() == Some(arrived.handoff)) {
            Some(arrived) => self.on_completion(arrived, peers, take_extra, now),
            None => self.tick(peers, now),
        }
    }

    /// Ends the request if its time is over, or passes it to the next peer if the last one has not
    /// acknowledged it in time.
    fn tick(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        if now >= self.end_by {
            return self.time_out(peers, now);
        }
        if self.wait_until.is_some_and(|at| now >= at) {
            self.wait_until = None;
            return self.try_next(peers, now);
        }
        let Some(open) = &mut self.open else {
            return Vec::new();
        };
        let late_at = open.late_at(self.purpose);
        if open.is_late || late_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        open.is_late = true;
        if self.repeat == Repeat::AtMostOnce {
            return Vec::new();
        }
        // The peer closes the request unread once it runs again, as the connection is closed here.
        let peer = std::mem::take(&mut open.peer);
        let is_sent = open.sent_at.is_some();
        self.may_have_run |= is_sent;
        self.open = None;
        peers.end(&peer, Ending::Failed, now);
        let mut actions = vec![Action::Abandon];
        actions.extend(match self.purpose {
            Purpose::Offload if is_sent => self.finish(End::Fail),
            Purpose::Offload | Purpose::Necessity => self.try_next(peers, now),
        });
        actions
    }

    /// Abandons the request because its caller has disconnected.
    pub fn caller_gone(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        self.is_finished = true;
        self.abandon(peers, now)
    }

    /// Returns when `tick` is due next, or `None` if the request is finished.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let open = self.open.as_ref().filter(|open| !open.is_late);
        let late_at = open.and_then(|open| open.late_at(self.purpose));
        let times = [late_at, self.wait_until, Some(self.end_by)];
        times.into_iter().flatten().min()
    }

    fn open_handoff(&mut self, id: HandoffId) -> Option<&mut Handoff> {
        self.open.as_mut().filter(|open| open.id == id)
    }

    fn forward(
        &mut self,
        open: &Handoff,
        answer: Answer,
        peers: &mut Peers,
        now: Instant,
    ) -> Vec<Action> {
        peers.end(&open.peer, Ending::Answered, now);
        let repeat = match answer.is_examined {
            true => Repeat::Idempotent,
            false => self.repeat,
        };
        if !may_reach_caller(answer.status, answer.author, repeat, self.may_have_run) {
            return self.finish(End::Fail);
        }
        self.finish(End::Forward(answer))
    }

    fn record_decline(
        &mut self,
        open: &Handoff,
        decline: Decline,
        retry_after: Option<Duration>,
        peers: &mut Peers,
        now: Instant,
    ) {
        peers.end(&open.peer, Ending::Declined(decline), now);
        if decline == Decline::LinksLost
            && let Some(peer) = peers.get(&open.peer)
        {
            self.lost_domains.push(peer.domain.clone());
        }
        if decline == Decline::Outdated && self.purpose == Purpose::Necessity {
            self.tried.retain(|name| *name != open.peer);
        }
        let shortest = self.retry_after.into_iter().chain(retry_after).min();
        self.retry_after = shortest;
    }

    /// Passes the request to another peer. If there is none, the request waits or ends.
    fn try_next(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        if now >= self.end_by {
            return self.time_out(peers, now);
        }
        let time_left = self.end_by.saturating_duration_since(now);
        if time_left <= self.min_attempt_time && self.purpose == Purpose::Necessity {
            return self.give_up(peers, now);
        }
        let Some(peer) = self.choose_peer(peers, now) else {
            return match self.purpose {
                Purpose::Necessity => self.wait_or_give_up(peers, now),
                Purpose::Offload => self.serve_here(),
            };
        };
        let handoff = peers.begin(&peer);
        self.tried.push(peer.clone());
        self.open = Some(Handoff::new(handoff, peer.clone(), now));
        vec![Action::Send { handoff, peer }]
    }

    /// Chooses the next peer. An offloaded request is passed to one peer only.
    fn choose_peer(&self, peers: &mut Peers, now: Instant) -> Option<VmName> {
        match self.purpose {
            Purpose::Necessity if self.tried.len() < MAX_PEERS => {
                peers.choose_within(&self.scope, &self.tried, &self.lost_domains, now)
            }
            Purpose::Offload if self.tried.is_empty() => peers.choose_stronger(&self.tried, now),
            Purpose::Necessity | Purpose::Offload => None,
        }
    }

    /// Ends an offloaded request that no peer has served.
    fn serve_here(&mut self) -> Vec<Action> {
        let may_have_run = self.may_have_run;
        self.finish(End::ServeHere { may_have_run })
    }

    /// Waits for a peer whose routes are older than the request requires, or ends the request.
    fn wait_or_give_up(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        let Some(until) = peers.outdated_until(now) else {
            return self.give_up(peers, now);
        };
        let since = *self.waiting_since.get_or_insert(now);
        if until > since + MAX_OUTDATED_WAIT {
            return self.give_up(peers, now);
        }
        self.wait_until = Some(until);
        Vec::new()
    }

    /// Ends a request that no further peer is asked to serve.
    fn give_up(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        if self.lost_domains.len() == MAX_PEERS {
            peers.on_all_lost(now);
        }
        let Some(not_run) = self.not_run() else {
            return self.finish(End::Fail);
        };
        // No other peer is asked to serve an offloaded request, so it does not matter when one can be.
        let usable_at = match self.purpose {
            Purpose::Necessity => peers.usable_at(now),
            Purpose::Offload => None,
        };
        let usable_in = usable_at.map(|at| at.saturating_duration_since(now));
        let wait = self.retry_after.into_iter().chain(usable_in).min();
        let wait = wait.unwrap_or(MAX_RETRY_AFTER);
        self.finish(End::Refuse {
            not_run,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        })
    }

    fn time_out(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        let not_run = self.not_run();
        let mut actions = self.abandon(peers, now);
        let end = match not_run {
            None => End::TimeOut,
            Some(not_run) => End::Refuse {
                not_run,
                retry_after: MIN_RETRY_AFTER,
            },
        };
        actions.extend(self.finish(end));
        actions
    }

    /// Returns the proof that the request has not run, unless a leaf or a peer may have run it or
    /// may run it yet.
    fn not_run(&self) -> Option<NotRun> {
        let earlier = self.may_have_run.then_some(Progress::Sent);
        let open = self.open.as_ref().map(Handoff::progress);
        NotRun::prove(earlier.into_iter().chain(open))
    }

    fn abandon(&mut self, peers: &mut Peers, now: Instant) -> Vec<Action> {
        let Some(open) = self.open.take() else {
            return Vec::new();
        };
        let ending = if open.is_late {
            Ending::Failed
        } else {
            Ending::Abandoned
        };
        peers.end(&open.peer, ending, now);
        vec![Action::Abandon]
    }

    fn finish(&mut self, end: End) -> Vec<Action> {
        self.is_finished = true;
        vec![Action::Finish(end)]
    }
}
