//! Simulated leaves: their service times, replies and health.

use super::*;

impl Simulation {
    pub(super) fn on_part_at_leaf(&mut self, attempt: AttemptId, leaf: usize, owner: usize) {
        self.count_leaf_request(attempt);
        if self.is_frozen_leaf(leaf) {
            return;
        }
        let slots = usize::from(self.run.workload.slots);
        if self.leaves[leaf].busy.len() >= slots {
            let completion = Completion::Shed {
                retry_after: None,
                state: State::Serving,
            };
            let delay = self.leaf_delay(owner, leaf);
            return self.schedule(
                delay,
                Event::CompletionAtOwner {
                    attempt,
                    leaf,
                    owner,
                    completion,
                },
            );
        }
        if !self.started_attempts.insert(attempt) {
            self.record_violation("an attempt ran twice");
        }
        self.leaves[leaf].busy.push(attempt);
        let time = self.service_time();
        self.schedule(
            time,
            Event::LeafDone {
                attempt,
                leaf,
                owner,
            },
        );
    }

    pub(super) fn service_time(&mut self) -> Duration {
        if self.rng.random::<f64>() < self.run.stragglers {
            return STRAGGLER_TIME;
        }
        let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * a.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        Duration::from_secs_f64(MEDIAN_SERVICE_MS * (SERVICE_TIME_SIGMA * normal).exp() / 1e3)
    }

    pub(super) fn count_leaf_request(&mut self, attempt: AttemptId) {
        let Some(origin) = self.origins.get(&attempt) else {
            return;
        };
        if !self.queries[origin.query].is_measured {
            return;
        }
        self.figures.leaf_requests += 1;
        if self
            .reached_shards
            .insert((origin.query, origin.shard.clone()))
        {
            self.figures.leaf_needed += 1;
        }
    }

    pub(super) fn on_leaf_done(&mut self, attempt: AttemptId, leaf: usize, owner: usize) {
        if self.is_frozen_leaf(leaf) {
            return;
        }
        let busy = &mut self.leaves[leaf].busy;
        let Some(index) = busy.iter().position(|&running| running == attempt) else {
            return;
        };
        busy.remove(index);
        let completion = Completion::Replied {
            echo: Some(attempt),
            snapshot: Some(SNAPSHOT),
            body: b"{}".to_vec(),
            state: State::Serving,
        };
        let delay = self.leaf_delay(owner, leaf);
        self.schedule(
            delay,
            Event::CompletionAtOwner {
                attempt,
                leaf,
                owner,
                completion,
            },
        );
    }

    pub(super) fn on_completion(
        &mut self,
        attempt: AttemptId,
        leaf: usize,
        owner: usize,
        completion: Completion,
    ) {
        let is_aborted = self.aborted_attempts.contains(&attempt);
        let ends_by_abort = matches!(completion, Completion::TimedOut);
        if is_aborted != ends_by_abort || !self.vms[owner].is_alive {
            return;
        }
        if !is_aborted {
            let owned = self
                .queues
                .get_mut(&(leaf, owner))
                .expect("a completion arrives only at an existing queue");
            owned.idle += 1;
        }
        let now = self.now;
        self.with_queue(leaf, owner, |queue| queue.finish(attempt, completion, now));
    }

    pub(super) fn on_health(&mut self, leaf: usize, owner: usize) {
        if self.is_frozen_leaf(leaf) {
            return self.on_probe_without_answer(leaf, owner);
        }
        let held = self.layout.shards.iter().map(|shard| HeldSnapshots {
            service: shard.service.clone(),
            shard: shard.shard.clone(),
            snapshots: vec![SNAPSHOT],
        });
        let name = leaf_name(leaf);
        let shards = self.layout.shards.iter().zip(held);
        let held = shards.filter(|(shard, _)| shard.replicas.contains(&name));
        let held = held.map(|(_, held)| held).collect();
        let health = Health::Answered {
            state: State::Serving,
            held,
        };
        let now = self.now;
        self.with_queue(leaf, owner, |queue| queue.on_health(health, now));
    }
}
