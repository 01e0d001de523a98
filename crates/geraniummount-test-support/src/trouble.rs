//! Troubles that begin and end in a scene: kills, freezes, cuts, silent
//! connections and outages of the platform.

use crate::fleet::{Fleet, Place};
use crate::platform::Outage;
use crate::proxy::Flow;
use crate::scene::{ENTRY, OWNERS};

/// Writes of the platform's service that lose their reply.
const LOST_REPLIES: u32 = 20;

/// Something that fails for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// The owners of the far leaves are cut off from the entry VM.
    CutOwners,
    /// Nothing gets from the entry VM to the owners.
    CutTowardsOwners,
    /// Nothing gets back from the owners to the entry VM.
    CutFromOwners,
    /// Every leaf of `far` is cut off from the VMs.
    CutLeaves,
    /// The entry VM is frozen past every timeout.
    FreezeEntry,
    /// Every leaf of `far` is frozen past every timeout.
    FreezeLeaves,
    /// One owner is frozen past every timeout; its leaves move meanwhile.
    FreezeOwner,
    /// The entry VM is killed and another one takes its place.
    KillEntry,
    /// Every leaf of `far` is killed and comes back.
    KillLeaves,
    /// One owner is killed.
    KillOwner,
    /// The platform's service loses the replies to writes that took effect.
    LosePlatformReplies,
    /// The platform's service answers that it is out.
    RefusePlatform,
    /// Open connections to leaves go silent for good.
    SilenceLeaves,
    /// Open connections between VMs go silent for good.
    SilencePeers,
    /// The platform's service takes calls and does not answer.
    SilencePlatform,
}

impl Trouble {
    /// Troubles of the platform.
    pub const PLATFORM: [Trouble; 3] = [
        Trouble::LosePlatformReplies,
        Trouble::RefusePlatform,
        Trouble::SilencePlatform,
    ];

    /// Troubles that come together.
    pub const PAIRS: [[Trouble; 2]; 6] = [
        [Trouble::KillOwner, Trouble::SilencePlatform],
        [Trouble::FreezeOwner, Trouble::CutOwners],
        [Trouble::FreezeEntry, Trouble::LosePlatformReplies],
        [Trouble::KillEntry, Trouble::RefusePlatform],
        [Trouble::SilenceLeaves, Trouble::KillOwner],
        [Trouble::FreezeLeaves, Trouble::CutFromOwners],
    ];

    /// Troubles on the path of a request.
    pub const PATH: [Trouble; 12] = [
        Trouble::CutOwners,
        Trouble::CutTowardsOwners,
        Trouble::CutFromOwners,
        Trouble::CutLeaves,
        Trouble::FreezeEntry,
        Trouble::FreezeLeaves,
        Trouble::FreezeOwner,
        Trouble::KillEntry,
        Trouble::KillLeaves,
        Trouble::KillOwner,
        Trouble::SilenceLeaves,
        Trouble::SilencePeers,
    ];

    /// Lets it begin.
    pub fn begin(self, fleet: &mut Fleet) {
        let (near, far) = (Place::domain("near"), Place::domain("far"));
        match self {
            Trouble::CutOwners => fleet.cut(&near, &far),
            Trouble::CutTowardsOwners => fleet.cut_one_way(&near, &far),
            Trouble::CutFromOwners => fleet.cut_one_way(&far, &near),
            Trouble::CutLeaves => set_leaf_flow(fleet, Flow::Cut),
            Trouble::FreezeEntry => fleet.freeze(ENTRY),
            Trouble::FreezeOwner => fleet.freeze(OWNERS[0]),
            Trouble::KillEntry => fleet.kill(ENTRY),
            Trouble::KillOwner => fleet.kill(OWNERS[0]),
            Trouble::FreezeLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf(name).leaf.freeze())
            }
            Trouble::KillLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf_mut(name).leaf.kill())
            }
            Trouble::SilenceLeaves => {
                far_leaves(fleet, |name, fleet| {
                    fleet.leaf(name).proxy.blackhole_connections()
                });
            }
            Trouble::LosePlatformReplies => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = LOST_REPLIES);
            }
            Trouble::RefusePlatform => set_outage(fleet, Outage::Reject),
            Trouble::SilencePlatform => set_outage(fleet, Outage::Unresponsive),
            Trouble::SilencePeers => {
                for vm in fleet.running() {
                    vm.peer_proxy.blackhole_connections();
                }
            }
        }
    }

    /// Lets it end.
    pub fn end(self, fleet: &mut Fleet) {
        match self {
            Trouble::CutOwners | Trouble::CutTowardsOwners | Trouble::CutFromOwners => fleet.heal(),
            Trouble::CutLeaves => set_leaf_flow(fleet, Flow::Open),
            Trouble::FreezeEntry => fleet.thaw(ENTRY),
            Trouble::FreezeOwner => fleet.thaw(OWNERS[0]),
            Trouble::FreezeLeaves => far_leaves(fleet, |name, fleet| fleet.leaf(name).leaf.thaw()),
            Trouble::KillEntry => {
                fleet.add_vm("near").expect("VM starts");
            }
            Trouble::KillLeaves => far_leaves(fleet, |name, fleet| {
                fleet
                    .leaf_mut(name)
                    .leaf
                    .restart()
                    .expect("leaf starts again");
            }),
            Trouble::LosePlatformReplies => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = 0);
            }
            Trouble::RefusePlatform | Trouble::SilencePlatform => set_outage(fleet, Outage::None),
            Trouble::KillOwner | Trouble::SilenceLeaves | Trouble::SilencePeers => {}
        }
    }
}

fn set_outage(fleet: &Fleet, outage: Outage) {
    fleet.platform.change(|behaviour| behaviour.outage = outage);
}

fn set_leaf_flow(fleet: &mut Fleet, flow: Flow) {
    far_leaves(fleet, |name, fleet| {
        fleet.leaf(name).proxy.change_all(|link| {
            link.forward = flow;
            link.back = flow;
        });
    });
}

fn far_leaves(fleet: &mut Fleet, act: impl Fn(&str, &mut Fleet)) {
    let far = fleet
        .leaves
        .iter()
        .filter(|other| other.failure_domain == "far");
    let names: Vec<String> = far.map(|other| other.leaf.name().to_string()).collect();
    for name in names {
        act(&name, fleet);
    }
}
