//! Links: who owns a leaf, and how long a message takes.

use super::*;

impl World {
    /// VM that holds a leaf's queue, as the other VMs know it.
    pub(super) fn owner(&self, leaf: usize, entry: usize) -> Option<usize> {
        if self.run.policy == Policy::OwnConnections {
            return Some(entry);
        }
        let domain = self.leaves[leaf].failure_domain;
        let domains = self.run.workload.deployment.failure_domains;
        let members: Vec<usize> = (0..self.vms.len())
            .filter(|vm| vm % domains == domain && !self.vms[*vm].known_dead)
            .collect();
        let place = (leaf / domains).checked_rem(members.len())?;
        Some(members[place])
    }

    pub(super) fn link(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return NEAR;
        }
        let between = self.run.workload.deployment.between;
        between.mul_f64(1.0 + JITTER * self.random.random::<f64>())
    }

    pub(super) fn vm_delay(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.link(self.vms[from].failure_domain, self.vms[to].failure_domain)
    }

    pub(super) fn leaf_delay(&mut self, vm: usize, leaf: usize) -> Duration {
        self.link(
            self.vms[vm].failure_domain,
            self.leaves[leaf].failure_domain,
        )
    }

    pub(super) fn send(&mut self, query: usize, part: Part) {
        let vm = self.queries[query].vm;
        let leaf = leaf_index(&part.leaf);
        let Some(owner) = self.owner(leaf, vm) else {
            let failure = Failure::not_run(Reason::ConnectFailed);
            let outcome = Outcome::failed(part.attempt, failure);
            return self.schedule(Duration::ZERO, Event::Outcome { query, outcome });
        };
        if self.is_silent_vm(owner) {
            self.silent.insert(part.attempt, query);
            return;
        }
        let delay = self.vm_delay(vm, owner);
        self.schedule(delay, Event::AtOwner { part, query, owner });
    }

    pub(super) fn cancel(&mut self, query: usize, attempt: AttemptId, leaf: &str) {
        let vm = self.queries[query].vm;
        let leaf = leaf_index(leaf);
        let Some(owner) = self.owner(leaf, vm) else {
            return;
        };
        if self.is_silent_vm(owner) {
            self.silent.remove(&attempt);
            return;
        }
        let delay = self.vm_delay(vm, owner);
        self.schedule(
            delay,
            Event::CancelAtOwner {
                attempt,
                leaf,
                owner,
            },
        );
    }
}
