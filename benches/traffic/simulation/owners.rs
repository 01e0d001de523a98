//! Owners of leaves: each holds the queue and the connections of a leaf.

use super::*;

impl Simulation {
    pub(super) fn on_part_at_owner(&mut self, part: Part, query: usize, owner: usize) {
        let origin = Origin {
            query,
            shard: part.shard.clone(),
        };
        self.origins.insert(part.attempt, origin);
        let leaf = leaf_index(&part.leaf);
        let now = self.now;
        self.with_queue(leaf, owner, |queue| queue.submit(part, now));
    }

    pub(super) fn new_owned(&self, owner: usize) -> OwnedQueue {
        let workload = &self.run.workload;
        let contract = Contract {
            slots: workload.slots,
            connections: workload.connections,
            open_ms: workload.open_delay.as_millis() as u32,
        };
        let sharers = match self.run.policy {
            Policy::OwnConnections => self.vms.len(),
            _ => CONNECTED_VMS,
        };
        let share = workload.connections / sharers as u16;
        let queue = match self.run.policy {
            Policy::Fifo => Queue::Fifo(Fifo::new(workload.slots)),
            _ => Queue::product(format!("vm-{owner}"), contract, share, self.now),
        };
        OwnedQueue {
            queue,
            idle: 0,
            next_wake_at: None,
        }
    }

    pub(super) fn with_queue(
        &mut self,
        leaf: usize,
        owner: usize,
        step: impl FnOnce(&mut Queue) -> Vec<leaf_queue::Action>,
    ) {
        if !self.vms[owner].is_alive {
            return;
        }
        if !self.queues.contains_key(&(leaf, owner)) {
            let owned = self.new_owned(owner);
            self.queues.insert((leaf, owner), owned);
        }
        let owned = self
            .queues
            .get_mut(&(leaf, owner))
            .expect("the queue was inserted above");
        let actions = step(&mut owned.queue);
        for action in actions {
            self.queue_action(leaf, owner, action);
        }
        let owned = self
            .queues
            .get_mut(&(leaf, owner))
            .expect("the queue was inserted above");
        let Some(wake) = owned.queue.next_wake() else {
            return;
        };
        if owned
            .next_wake_at
            .is_none_or(|next_wake_at| wake < next_wake_at)
            && self.now < self.start + WARM_UP * 2 + MEASUREMENT_DURATION
        {
            owned.next_wake_at = Some(wake);
            let delay = wake.saturating_duration_since(self.now);
            self.schedule(delay, Event::WakeQueue { leaf, owner });
        }
    }

    pub(super) fn queue_action(&mut self, leaf: usize, owner: usize, action: leaf_queue::Action) {
        match action {
            leaf_queue::Action::Start { part, .. } => self.start_part(leaf, owner, part.attempt),
            leaf_queue::Action::Abort(attempt) => {
                let delay = self.leaf_delay(owner, leaf);
                self.schedule(delay, Event::CancelAtLeaf { attempt, leaf });
                let completion = Completion::TimedOut;
                self.aborted_attempts.insert(attempt);
                self.leaves[leaf].connections -= 1;
                self.schedule(
                    Duration::ZERO,
                    Event::CompletionAtOwner {
                        attempt,
                        leaf,
                        owner,
                        completion,
                    },
                );
            }
            leaf_queue::Action::Answer(outcome) => self.answer(owner, outcome),
            leaf_queue::Action::CloseIdle => {
                let owned = self
                    .queues
                    .get_mut(&(leaf, owner))
                    .expect("the queue of a running action exists");
                self.leaves[leaf].connections -= owned.idle;
                owned.idle = 0;
            }
            leaf_queue::Action::Probe => {
                let delay = self.leaf_delay(owner, leaf) * 2;
                self.schedule(delay, Event::Health { leaf, owner });
            }
        }
    }

    pub(super) fn start_part(&mut self, leaf: usize, owner: usize, attempt: AttemptId) {
        let owned = self
            .queues
            .get_mut(&(leaf, owner))
            .expect("the queue of a running action exists");
        let open = if owned.idle > 0 {
            owned.idle -= 1;
            Duration::ZERO
        } else {
            self.leaves[leaf].connections += 1;
            self.run.workload.open_delay
        };
        let connections = self.leaves[leaf].connections;
        self.figures.connections = self.figures.connections.max(connections);
        let delay = open + self.leaf_delay(owner, leaf);
        self.schedule(
            delay,
            Event::PartAtLeaf {
                attempt,
                leaf,
                owner,
            },
        );
    }

    pub(super) fn answer(&mut self, owner: usize, outcome: Outcome) {
        let Some(origin) = self.origins.get(&outcome.attempt) else {
            return;
        };
        let query = origin.query;
        let vm = self.queries[query].vm;
        if self.is_unresponsive_vm(owner) && vm != owner {
            self.unresponsive_attempts.insert(outcome.attempt, query);
            return;
        }
        let delay = self.vm_delay(owner, vm);
        self.schedule(delay, Event::Outcome { query, outcome });
    }
}
