//! Creates the answer, or the combined failure, of a query whose shards are settled, that is,
//! included in the answer or missing from it.

use super::{Action, DEFAULT_RETRY_AFTER, FanOut};
use crate::core::answer::{Answer, ShardResult};
use crate::core::coverage::{Coverage, Missing};
use crate::core::shard_state::{Settled, ShardState};
use crate::prelude::*;

impl FanOut {
    /// Finishes the query with an answer if any shard is included, otherwise with a failure.
    pub(super) fn finish(&mut self) -> Vec<Action> {
        if !self.shards.iter().any(ShardState::is_included) {
            let failure = self.combined_failure();
            return self.fail(failure);
        }
        self.is_finished = true;
        let mut coverage = Coverage::default();
        let mut results = Vec::new();
        for (state, shard) in self.shards.iter_mut().zip(&self.layout.shards) {
            let name = shard.name.clone();
            match state.settled.take() {
                Some(Settled::Included(body)) => {
                    coverage.included.push(name.clone());
                    results.push(ShardResult { shard: name, body });
                }
                Some(Settled::Missing(reason)) => {
                    coverage.missing.push(Missing {
                        shard: name,
                        reason,
                    });
                }
                None => coverage.missing.push(Missing {
                    shard: name,
                    reason: Reason::Deadline,
                }),
            }
        }
        let answer = Answer {
            request: self.query.request.clone(),
            snapshot: self.snapshot,
            revision: self.layout.revision,
            coverage,
            results,
        };
        vec![Action::Finish(Ok(answer))]
    }

    /// Combines the failures of all shards: the worst verdict on whether a part ran (not run, may
    /// have run, ran; the last is the worst), the reason of a shard with that verdict, and the
    /// longest retry delay.
    fn combined_failure(&self) -> Failure {
        let worst = self.shards.iter().max_by_key(|shard| shard.verdict());
        let reason = worst.and_then(ShardState::missing_reason);
        let verdict = worst.map_or(Verdict::NotRun, ShardState::verdict);
        let waits = self.shards.iter().filter_map(|shard| shard.retry_after);
        Failure {
            verdict: verdict.max(self.discarded_verdict),
            reason: reason.unwrap_or(Reason::Deadline),
            retry_after: Some(waits.max().unwrap_or(DEFAULT_RETRY_AFTER)),
        }
    }

    /// Finishes the query with a failure.
    pub(super) fn fail(&mut self, failure: Failure) -> Vec<Action> {
        self.is_finished = true;
        vec![Action::Finish(Err(failure))]
    }
}
