//! Limits how many leaves one query can crash.
//!
//! A query may crash each leaf that runs a part of it. Once leaves have crashed and none has
//! answered, at this or an earlier arrival, the query is unproven: it is sent to one leaf at a time,
//! and the other parts wait for the first answer. If the last leaf that has a part crashes too,
//! the waiting parts are given up, and the other replicas are left for other queries.

use std::time::Instant;

use super::{Action, FanOut};
use crate::core::quarantine::UNPROVEN_CRASHES;
use crate::core::shard_state::{Kind, Settled};
use crate::core::traffic::Traffic;
use crate::prelude::*;

impl FanOut {
    /// Sets the number of leaves that crashed at earlier arrivals of the query.
    pub fn with_earlier_crashes(self, earlier_crashes: usize) -> FanOut {
        FanOut {
            earlier_crashes,
            ..self
        }
    }

    /// Returns the leaves that crashed while they had a part, unless a leaf has answered the query.
    pub fn unanswered_crashes(&self) -> &[LeafName] {
        match self.has_answer {
            true => &[],
            false => &self.crashed,
        }
    }

    /// Returns whether leaves may crash one after the other if more of them get a part.
    fn is_unproven(&self) -> bool {
        let has_crashed = self.earlier_crashes > 0 || self.crashed.len() >= UNPROVEN_CRASHES;
        has_crashed && !self.has_answer
    }

    /// Returns whether a further attempt has to wait, or is not made at all.
    pub(super) fn may_crash_more(&self) -> bool {
        self.is_unproven() && (self.has_part_in_flight() || !self.crashed.is_empty())
    }

    /// Sends the parts that wait for an answer once there is one, or gives them up if none is to be
    /// expected.
    pub(super) fn resume_waiting(&mut self, traffic: &mut Traffic, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            if self.shards[index].waiting.is_none() {
                continue;
            }
            if !self.may_crash_more() {
                actions.extend(self.send_waiting(index, traffic, now));
            } else if !self.has_part_in_flight() {
                self.give_up_waiting(index, now);
            }
        }
        actions
    }

    fn send_waiting(
        &mut self,
        index: usize,
        traffic: &mut Traffic,
        now: Instant,
    ) -> Option<Action> {
        let (kind, _) = self.shards[index].waiting?;
        if kind == Kind::First {
            self.shards[index].waiting = None;
            return self.send_first(index, traffic, now);
        }
        let replica = self.next_replica(index, traffic, now);
        if let Some(replica) = replica
            && self.charge_budget(kind, traffic)
        {
            self.shards[index].waiting = None;
            return Some(self.send(index, replica, kind, traffic, now));
        }
        self.give_up_waiting(index, now);
        None
    }

    fn give_up_waiting(&mut self, index: usize, now: Instant) {
        let shard = &mut self.shards[index];
        if let Some((_, reason)) = shard.waiting.take() {
            shard.settle(Settled::Missing(reason), now);
        }
    }

    fn has_part_in_flight(&self) -> bool {
        self.shards.iter().any(|shard| !shard.in_flight.is_empty())
    }
}

/// Returns whether an attempt ended because its leaf closed the connection. If the owner of the leaf
/// (the VM that holds its queue) was lost, nothing is known of the leaf.
pub(in crate::core) fn is_leaf_crash(outcome: &Outcome) -> bool {
    let is_lost = |failure: &Failure| failure.reason == Reason::ConnectionLost;
    outcome.report.is_some() && outcome.result.as_ref().is_err_and(is_lost)
}
