//! State machine of one caller's request. A gather is a request that goes to a leaf of each shard,
//! where each shard is a service of its own. Any other request goes to a leaf of one service and is
//! handled as a request with one shard.
//!
//! A part is the share of the request that goes to one shard, and an attempt is one try to run a
//! part at a leaf. A hedge is a second attempt at a late part, at another leaf. A shard is settled
//! once no further reply to its part is awaited: either included in the answer or missing. A part
//! is overdue if the leaves had no capacity for it or did not answer it in time.
//!
//! From `answer_by` of the [`Plan`] on, an answer that covers enough shards is sent without waiting
//! for the others. At `end_by`, the request ends in any case.
//!
//! Leaves pause now and then, and nearly every query over many shards reaches a leaf that is
//! pausing at that moment. A late part is therefore hedged early, as soon as most other parts of
//! the query are answered, within the retry allowance of the service (its limit on retries and
//! hedges). An answer that covers enough shards does not wait for the last shard. A request that
//! can no longer reach enough shards ends at once.
//!
//! A request may crash each leaf that runs it. Once leaves have crashed and none has answered, the
//! request is unproven: it is sent to one leaf at a time, and further parts wait for the first
//! answer. If the last leaf that has it crashes too, it ends at once, and the other leaves of each
//! shard are left for other requests.
//!
//! The inputs are events and the current time; the outputs are [`Action`]s. A request that may run
//! only once is sent again only if no leaf can have run it.

mod action;
mod finish;
mod overdue;
mod pace;
mod plan;

mod reply;
mod send;
mod shard;

use std::sync::Arc;
use std::time::Instant;

use self::overdue::Overdue;
use self::pace::Pace;
use self::send::RECHECK_INTERVAL;
use self::shard::{Settled, Shard};
use crate::core::cost::Profile;
use crate::core::not_run::{NotRun, Progress};
use crate::core::placement::{Ending, Placement, ReplicaKey};
use crate::core::quarantine::UNPROVEN_CRASHES;
use crate::core::route::Repeat;
use crate::prelude::*;

pub use self::action::{Action, End, Refusal};
pub use self::plan::{Plan, Requirements};
pub use self::reply::{Reply, Response};
pub use self::shard::ShardSummary;

/// State of one request.
#[derive(Debug)]
pub struct Call {
    plan: Plan,
    /// What decides the expected cost of the request.
    profile: Arc<Profile>,
    shards: Vec<Shard>,
    /// When `advance` last ran, which hedges late parts or ends the request.
    advanced_at: Instant,
    /// Number of parts that were overdue at `answer_by` of the plan, or at the end of the request
    /// if that came earlier.
    overdue: Overdue,
    /// Progress of the parts, by which late ones are hedged.
    pace: Pace,
    /// Number of leaves that crashed at earlier arrivals of the request.
    earlier_crashes: usize,
    /// Number of leaves that closed the connection while they had the request.
    crashes: usize,
    /// Actions that the gateway has not been given yet.
    actions: Vec<Action>,
    is_finished: bool,
}

impl Call {
    /// Creates the state of a request without sending anything.
    pub fn new(plan: Plan, now: Instant) -> Call {
        let shards: Vec<Shard> = plan.services.iter().cloned().map(Shard::new).collect();
        let profile = Profile::new(plan.route.clone(), None, 0);
        Call {
            profile: Arc::new(profile),
            pace: Pace::new(shards.len(), plan.answer_by, now),
            plan,
            shards,
            advanced_at: now,
            overdue: Overdue::Pending,
            earlier_crashes: 0,
            crashes: 0,
            actions: Vec::new(),
            is_finished: false,
        }
    }

    /// Sets the number of leaves that crashed at earlier arrivals of the request.
    pub fn with_earlier_crashes(self, crashes: usize) -> Call {
        Call {
            earlier_crashes: crashes,
            ..self
        }
    }

    /// Sets what decides the expected cost of the request.
    pub fn with_profile(self, profile: Profile) -> Call {
        Call {
            profile: Arc::new(profile),
            ..self
        }
    }

    /// Returns whether the request has ended.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns the plan of the request.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Sends the first attempt of each shard, or refuses the request.
    pub fn start(&mut self, placement: &mut Placement, now: Instant) -> Vec<Action> {
        self.plan.record_requests(placement, now);
        if let Err(refusal) = self.send_first(placement, now) {
            self.refuse(refusal, NotRun::without_attempts(), placement, now);
        }
        self.take_actions()
    }

    /// Sends the first attempt of each shard.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal if nothing was sent.
    fn send_first(&mut self, placement: &mut Placement, now: Instant) -> Result<(), Refusal> {
        let scope = &self.plan.scope;
        let can_try = |shard: &&Shard| placement.can_try_within(&shard.service, scope, &[], now);
        let servable_count = self.shards.iter().filter(can_try).count();
        if servable_count < self.plan.min_shards() || servable_count == 0 {
            return Err(Refusal::NoLeaf);
        }
        if !self.plan.has_time_for_attempt(now) {
            return Err(Refusal::NoTime);
        }
        let profile = &self.profile;
        let choose = |shard: &Shard| placement.choose_for(profile, &shard.service, scope, &[], now);
        let chosen: Vec<Option<ReplicaKey>> = self.shards.iter().map(choose).collect();
        let chosen_count = chosen.iter().flatten().count();
        if chosen_count < self.plan.min_shards() || chosen_count == 0 {
            return Err(Refusal::Limited);
        }
        for (index, replica) in chosen.into_iter().enumerate() {
            match replica {
                Some(_) if self.is_unproven() && !self.actions.is_empty() => {
                    self.shards[index].next_attempt_at = Some(now + RECHECK_INTERVAL);
                }
                Some(replica) => self.send(index, replica, placement, now),
                None => self.shards[index].settle(Settled::Missing),
            }
        }
        Ok(())
    }

    /// Records that the attempt was sent, so that the leaf may have received it.
    pub fn on_sent(&mut self, attempt: AttemptId) {
        let mut open = self
            .shards
            .iter_mut()
            .flat_map(|shard| &mut shard.open_attempts);
        if let Some(open) = open.find(|open| open.attempt == attempt) {
            open.progress = Progress::Sent;
        }
    }

    /// Processes the reply to an attempt.
    pub fn on_reply(
        &mut self,
        attempt: AttemptId,
        reply: Reply,
        placement: &mut Placement,
        now: Instant,
    ) -> Vec<Action> {
        let Some((index, replica)) = self.close_attempt(attempt) else {
            return Vec::new();
        };
        let reply = match self.plan.is_gather() {
            true => reply.into_part(),
            false => reply,
        };
        let service = &self.shards[index].service;
        let latency = placement.end_attempt(service, replica, attempt, reply.ending(), now);
        if let Some(latency) = latency.filter(|_| reply.ending() == Ending::Answered) {
            placement.record_latency(&self.plan.route, latency);
        }
        if self.is_finished {
            return Vec::new();
        }
        self.crashes += usize::from(matches!(reply, Reply::Disconnected));
        match reply {
            Reply::Success(response) => self.include(index, response, placement, now),
            Reply::Failure(response) => {
                let shard = &mut self.shards[index];
                shard.may_have_run = true;
                shard.failure_response = Some(response);
                self.retry_or_settle(index, placement, now);
            }
            Reply::Disconnected | Reply::Lost => {
                self.shards[index].may_have_run = true;
                self.retry_or_settle(index, placement, now);
            }
            Reply::Rejected | Reply::Misdirected => {
                self.shards[index].is_rejected = true;
                self.retry_or_settle(index, placement, now);
            }
            Reply::Unreachable | Reply::Withheld => {
                // The attempt did not reach a leaf and is not counted.
                self.shards[index].sends -= 1;
                self.retry_or_settle(index, placement, now);
            }
        }
        self.advance(placement, now);
        self.take_actions()
    }

    /// Hedges late parts, or finishes the request if it can be answered or must end now.
    pub fn tick(&mut self, placement: &mut Placement, now: Instant) -> Vec<Action> {
        self.advance(placement, now);
        self.take_actions()
    }

    /// Abandons the request because its caller has disconnected.
    pub fn caller_gone(&mut self, placement: &mut Placement, now: Instant) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        self.is_finished = true;
        self.abandon_all(placement, now);
        self.take_actions()
    }

    /// Ends the request so that another VM can serve it instead, if it has no answer yet and may be
    /// repeated. Returns the number of leaves of a shard that may have received it, and the actions
    /// that cancel its attempts. Each part that a leaf may have received is charged to the retry
    /// allowance of its service.
    pub fn hand_over(
        &mut self,
        placement: &mut Placement,
        now: Instant,
    ) -> Option<(u32, Vec<Action>)> {
        let has_time = self.plan.has_time_for_attempt(now);
        if self.is_finished || self.included_count() > 0 || !has_time {
            return None;
        }
        let is_sent = |shard: &&Shard| shard.progress() == Progress::Sent;
        let sent: Vec<&ServiceName> = self
            .shards
            .iter()
            .filter(is_sent)
            .map(|shard| &shard.service)
            .collect();
        let sends = self.shards.iter().map(|shard| shard.sends).max();
        let sends = sends.filter(|_| !sent.is_empty()).unwrap_or_default();
        if !sent.is_empty() && self.plan.repeat == Repeat::AtMostOnce {
            return None;
        }
        let has_attempts = sends < self.plan.max_attempts;
        if !has_attempts || !placement.take_extra_attempts(sent.iter().map(|name| name.as_str())) {
            return None;
        }
        self.is_finished = true;
        self.abandon_all(placement, now);
        Some((sends, self.take_actions()))
    }

    /// Ends the request at `limit` at the latest.
    pub fn end_before(&mut self, limit: Instant) {
        self.plan.end_before(limit);
    }

    /// Returns when `tick` is due next, or `None` if the request is finished.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let next_attempts = self.shards.iter().filter_map(|shard| shard.next_attempt_at);
        // `answer_by` was already handled if the request was advanced at that time or later.
        let answer_by = self.plan.is_gather().then_some(self.plan.answer_by);
        let answer_by = answer_by.filter(|at| *at > self.advanced_at);
        next_attempts
            .chain(answer_by)
            .chain([self.plan.end_by])
            .min()
    }

    /// Returns a summary of each shard, for logs.
    pub fn shard_summaries(&self) -> Vec<ShardSummary<'_>> {
        self.shards.iter().map(Shard::summary).collect()
    }

    /// Returns the number of parts that the leaves had no capacity for or did not answer in time.
    ///
    /// The number is available from `answer_by` on, even if the answer is sent later, or from the
    /// end of the request if that is earlier. It is returned only once.
    pub fn take_overdue(&mut self) -> Option<usize> {
        self.overdue.take()
    }

    /// Returns whether a leaf has rejected a part of the request as not run.
    pub fn is_rejected(&self) -> bool {
        self.shards.iter().any(|shard| shard.is_rejected)
    }

    /// Returns the service and the leaf of each attempt without a reply.
    pub fn unanswered_attempts(&self) -> impl Iterator<Item = (&ServiceName, ReplicaKey)> {
        let shards = self.shards.iter();
        shards.flat_map(|shard| {
            let open = shard.open_attempts.iter();
            open.map(|open| (&shard.service, open.replica))
        })
    }

    /// Returns whether the request is unfinished and too few shards are included for an answer.
    pub fn lacks_parts(&self) -> bool {
        !self.is_finished && self.included_count() < self.plan.min_shards()
    }

    /// Returns the number of shards that are included in the answer so far.
    pub fn included_count(&self) -> usize {
        let included = self.shards.iter().filter(|shard| shard.is_included());
        included.count()
    }

    /// Returns the number of bytes of the replies that are kept for the answer.
    pub fn held_bytes(&self) -> usize {
        self.shards.iter().map(Shard::held_bytes).sum()
    }

    /// Returns whether leaves may crash one after the other if more of them get the request: some
    /// have, and none has answered it.
    fn is_unproven(&self) -> bool {
        let has_crashed = self.earlier_crashes > 0 || self.crashes >= UNPROVEN_CRASHES;
        has_crashed && self.included_count() == 0
    }

    fn has_open_attempt(&self) -> bool {
        let mut shards = self.shards.iter();
        shards.any(|shard| !shard.open_attempts.is_empty())
    }

    fn unsettled_count(&self) -> usize {
        let unsettled = self.shards.iter().filter(|shard| shard.settled.is_none());
        unsettled.count()
    }

    /// Removes an attempt from the open ones, and returns the index of its shard and the leaf that
    /// it was sent to.
    fn close_attempt(&mut self, attempt: AttemptId) -> Option<(usize, ReplicaKey)> {
        let mut shards = self.shards.iter_mut().enumerate();
        shards.find_map(|(index, shard)| Some((index, shard.close_attempt(attempt)?)))
    }

    fn include(
        &mut self,
        index: usize,
        response: Response,
        placement: &mut Placement,
        now: Instant,
    ) {
        self.abandon(index, placement, now);
        self.shards[index].settle(Settled::Included(response));
        if let Some(late_at) = self.pace.on_answer(now) {
            self.hedge_open_parts_at(late_at);
        }
    }

    /// Abandons the attempts at a shard that have no reply yet. One that the gateway was not told to
    /// send is dropped.
    fn abandon(&mut self, index: usize, placement: &mut Placement, now: Instant) {
        let shard = &mut self.shards[index];
        let service = &shard.service;
        for open in std::mem::take(&mut shard.open_attempts) {
            let attempt = open.attempt;
            placement.end_attempt(service, open.replica, attempt, Ending::Abandoned, now);
            match open.progress {
                Progress::Planned => {
                    self.actions.retain(|action| !action.sends(attempt));
                    shard.sends -= 1;
                }
                Progress::Queued => self.actions.push(Action::Abandon { attempt }),
                Progress::Sent => {
                    shard.may_have_run = true;
                    self.actions.push(Action::Abandon { attempt });
                }
            }
        }
    }

    fn abandon_all(&mut self, placement: &mut Placement, now: Instant) {
        for index in 0..self.shards.len() {
            self.abandon(index, placement, now);
        }
    }

    /// Returns the actions for the gateway, which is told to send the planned attempts by them.
    fn take_actions(&mut self) -> Vec<Action> {
        let shards = self.shards.iter_mut();
        for open in shards.flat_map(|shard| &mut shard.open_attempts) {
            open.progress = open.progress.max(Progress::Queued);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether another attempt at a shard is safe.
    fn may_repeat(&self, index: usize) -> bool {
        match self.plan.repeat {
            Repeat::Idempotent => true,
            Repeat::AtMostOnce => {
                let shard = &self.shards[index];
                !shard.may_have_run && shard.open_attempts.is_empty()
            }
        }
    }
}
