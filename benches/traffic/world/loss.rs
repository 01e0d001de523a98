//! Losses in the middle of a run: what is silent from then on.

use super::*;
use crate::scenario::Loss;

/// Failure domain that is hit, and the VM or leaf in it.
const DOMAIN: usize = 1;
const VM: usize = 1;
const LEAF: usize = 1;

/// Time from the silence of a VM until its peers' pings end without answer.
const PING_DETECTION: Duration = Duration::from_millis(750);

/// Time in which a leaf's health endpoint has to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl World {
    pub(super) fn begin_loss(&mut self) {
        self.lost_at = Some(self.now);
        match self.run.loss {
            Loss::None | Loss::FrozenLeaf | Loss::FrozenLeaves => {}
            Loss::KilledVm => {
                self.vms[0].alive = false;
                self.schedule(DETECTION, Event::Detected(vec![0]));
            }
            Loss::FrozenOwner => self.schedule(PING_DETECTION, Event::Detected(vec![VM])),
            Loss::CutDomain => {
                let vms = (0..self.vms.len()).filter(|&vm| self.is_silent_vm(vm));
                let vms = vms.collect();
                self.schedule(PING_DETECTION, Event::Detected(vms));
            }
        }
    }

    /// Whether nothing gets to a VM or back from it any more.
    pub(super) fn is_silent_vm(&self, vm: usize) -> bool {
        let silent = match self.run.loss {
            Loss::CutDomain => self.vms[vm].failure_domain == DOMAIN,
            Loss::FrozenOwner => vm == VM,
            _ => false,
        };
        silent && self.lost_at.is_some()
    }

    pub(super) fn is_frozen_leaf(&self, leaf: usize) -> bool {
        let frozen = match self.run.loss {
            Loss::FrozenLeaf => leaf == LEAF,
            Loss::FrozenLeaves => self.leaves[leaf].failure_domain == DOMAIN,
            _ => false,
        };
        frozen && self.lost_at.is_some()
    }

    /// VMs that clients send to. Those of a lost domain have lost theirs.
    pub(super) fn is_asked(&self, vm: usize) -> bool {
        self.vms[vm].alive && !self.is_silent_vm(vm)
    }

    /// The other VMs notice that some are lost: what was sent to them ends.
    pub(super) fn detected(&mut self, vms: &[usize]) {
        for &vm in vms {
            self.vms[vm].known_dead = true;
        }
        let mut ended: Vec<(AttemptId, usize)> = self.silent.drain().collect();
        ended.sort_unstable();
        for (attempt, query) in ended {
            let failure = Failure::may_have_run(Reason::ConnectionLost);
            let outcome = Outcome::failed(attempt, failure);
            self.schedule(Duration::ZERO, Event::Outcome { query, outcome });
        }
    }

    pub(super) fn health_silent(&mut self, leaf: usize, owner: usize) {
        self.schedule(PROBE_TIMEOUT, Event::HealthSilent { leaf, owner });
    }
}
