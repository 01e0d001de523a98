//! Losses in the middle of a run: which VMs and leaves become unresponsive, and when the others
//! detect it.

use super::*;
use crate::scenario::Loss;

/// Failure domain, VM and leaf that are lost. The VM and the leaf belong to the domain.
const LOST_DOMAIN: usize = 1;
const LOST_VM: usize = 1;
const FROZEN_LEAF: usize = 1;

/// Time from a VM becoming unresponsive until its peers' pings time out.
const PING_DETECTION_DELAY: Duration = Duration::from_millis(750);

/// Timeout of a health probe of a leaf.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Simulation {
    pub(super) fn on_loss(&mut self) {
        self.lost_at = Some(self.now);
        match self.run.loss {
            Loss::None | Loss::FrozenLeaf | Loss::FrozenLeaves => {}
            Loss::KilledVm => {
                self.vms[0].is_alive = false;
                self.schedule(KILL_DETECTION_DELAY, Event::LossDetected(vec![0]));
            }
            Loss::FrozenOwner => {
                self.schedule(PING_DETECTION_DELAY, Event::LossDetected(vec![LOST_VM]))
            }
            Loss::CutDomain => {
                let vms = (0..self.vms.len()).filter(|&vm| self.is_unresponsive_vm(vm));
                let vms = vms.collect();
                self.schedule(PING_DETECTION_DELAY, Event::LossDetected(vms));
            }
        }
    }

    /// Returns whether messages no longer reach a VM or come back from it.
    pub(super) fn is_unresponsive_vm(&self, vm: usize) -> bool {
        let is_unresponsive = match self.run.loss {
            Loss::CutDomain => self.vms[vm].failure_domain == LOST_DOMAIN,
            Loss::FrozenOwner => vm == LOST_VM,
            _ => false,
        };
        is_unresponsive && self.lost_at.is_some()
    }

    pub(super) fn is_frozen_leaf(&self, leaf: usize) -> bool {
        let frozen = match self.run.loss {
            Loss::FrozenLeaf => leaf == FROZEN_LEAF,
            Loss::FrozenLeaves => self.leaves[leaf].failure_domain == LOST_DOMAIN,
            _ => false,
        };
        frozen && self.lost_at.is_some()
    }

    /// Returns whether clients send queries to a VM. The clients of a cut failure domain are
    /// cut off with it.
    pub(super) fn receives_queries(&self, vm: usize) -> bool {
        self.vms[vm].is_alive && !self.is_unresponsive_vm(vm)
    }

    /// Marks lost VMs as known to be dead and fails the attempts sent to unresponsive VMs.
    pub(super) fn on_loss_detected(&mut self, vms: &[usize]) {
        for &vm in vms {
            self.vms[vm].is_known_dead = true;
        }
        let mut ended: Vec<(AttemptId, usize)> = self.unresponsive_attempts.drain().collect();
        ended.sort_unstable();
        for (attempt, query) in ended {
            let failure = Failure::may_have_run(Reason::ConnectionLost);
            let outcome = Outcome::failed(attempt, failure);
            self.schedule(Duration::ZERO, Event::Outcome { query, outcome });
        }
    }

    pub(super) fn on_probe_without_answer(&mut self, leaf: usize, owner: usize) {
        self.schedule(PROBE_TIMEOUT, Event::ProbeTimeout { leaf, owner });
    }
}
