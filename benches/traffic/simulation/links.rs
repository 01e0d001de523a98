//! Simulated links: the owner of each leaf, message delays, and sending and cancelling parts.

use super::*;

impl Simulation {
    /// Returns the VM that holds the queue of a leaf, as far as the other VMs have detected losses.
    /// Returns `None` if no VM of the leaf's failure domain is left.
    pub(super) fn owner(&self, leaf: usize, entry: usize) -> Option<usize> {
        if self.run.policy == Policy::OwnConnections {
            return Some(entry);
        }
        let domain = self.leaves[leaf].failure_domain;
        let domains = self.run.workload.deployment.failure_domains;
        let members: Vec<usize> = (0..self.vms.len())
            .filter(|vm| vm % domains == domain && !self.vms[*vm].is_known_dead)
            .collect();
        let index = (leaf / domains).checked_rem(members.len())?;
        Some(members[index])
    }

    pub(super) fn link(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return INTRA_DOMAIN_DELAY;
        }
        let inter_domain_delay = self.run.workload.deployment.inter_domain_delay;
        inter_domain_delay.mul_f64(1.0 + MAX_JITTER_SHARE * self.rng.random::<f64>())
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
        if self.is_unresponsive_vm(owner) {
            self.unresponsive_attempts.insert(part.attempt, query);
            return;
        }
        let delay = self.vm_delay(vm, owner);
        self.schedule(delay, Event::PartAtOwner { part, query, owner });
    }

    pub(super) fn cancel(&mut self, query: usize, attempt: AttemptId, leaf: &str) {
        let vm = self.queries[query].vm;
        let leaf = leaf_index(leaf);
        let Some(owner) = self.owner(leaf, vm) else {
            return;
        };
        if self.is_unresponsive_vm(owner) {
            self.unresponsive_attempts.remove(&attempt);
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
