//! Disrupts a testbed for a while: killed and frozen processes, cut links, blackholed connections
//! and outages of the platform, which is the key-value service and the membership list.
//!
//! The entry VM takes the requests from the callers. The owner of a leaf is the VM that holds its
//! queue; all requests for the leaf go through it.

use crate::fleet::{Fleet, VmSelector};
use crate::platform::Outage;
use crate::proxy::Flow;
use crate::testbed::{ENTRY_VM, FAR_VMS};

/// Number of writes to the platform that take effect but lose their reply.
const LOST_REPLIES: u32 = 20;

/// A failure that begins and ends during a test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disruption {
    /// The links between the entry VM and the owners of the far leaves are cut in both directions.
    CutOwners,
    /// The links from the entry VM to the owners are cut in this direction.
    CutTowardsOwners,
    /// The links from the owners to the entry VM are cut in this direction.
    CutFromOwners,
    /// The links between the leaves of `far` and all VMs are cut.
    CutLeaves,
    /// The entry VM is frozen for longer than every timeout.
    FreezeEntry,
    /// Every leaf of `far` is frozen for longer than every timeout.
    FreezeLeaves,
    /// One owner is frozen for longer than every timeout; its leaves get another owner meanwhile.
    FreezeOwner,
    /// The entry VM is killed, and another VM is started in `near` at the end.
    KillEntry,
    /// Every leaf of `far` is killed, and started again at the end.
    KillLeaves,
    /// One owner is killed and not replaced.
    KillOwner,
    /// The platform loses the replies to writes that took effect.
    LosePlatformReplies,
    /// The platform answers every call with status 503.
    RejectPlatform,
    /// The open connections to the leaves of `far` stay open but carry no more bytes.
    BlackholeLeafConnections,
    /// The open connections between VMs stay open but carry no more bytes.
    BlackholePeerConnections,
    /// The platform accepts calls and does not answer.
    UnresponsivePlatform,
}

impl Disruption {
    /// Disruptions of the platform.
    pub const PLATFORM: [Disruption; 3] = [
        Disruption::LosePlatformReplies,
        Disruption::RejectPlatform,
        Disruption::UnresponsivePlatform,
    ];

    /// Pairs of disruptions that occur together.
    pub const PAIRS: [[Disruption; 2]; 6] = [
        [Disruption::KillOwner, Disruption::UnresponsivePlatform],
        [Disruption::FreezeOwner, Disruption::CutOwners],
        [Disruption::FreezeEntry, Disruption::LosePlatformReplies],
        [Disruption::KillEntry, Disruption::RejectPlatform],
        [Disruption::BlackholeLeafConnections, Disruption::KillOwner],
        [Disruption::FreezeLeaves, Disruption::CutFromOwners],
    ];

    /// Disruptions on the path of a request, between VMs and leaves.
    pub const REQUEST_PATH: [Disruption; 12] = [
        Disruption::CutOwners,
        Disruption::CutTowardsOwners,
        Disruption::CutFromOwners,
        Disruption::CutLeaves,
        Disruption::FreezeEntry,
        Disruption::FreezeLeaves,
        Disruption::FreezeOwner,
        Disruption::KillEntry,
        Disruption::KillLeaves,
        Disruption::KillOwner,
        Disruption::BlackholeLeafConnections,
        Disruption::BlackholePeerConnections,
    ];

    /// Begins the disruption.
    pub fn begin(self, fleet: &mut Fleet) {
        let (near, far) = (VmSelector::domain("near"), VmSelector::domain("far"));
        match self {
            Disruption::CutOwners => fleet.cut(&near, &far),
            Disruption::CutTowardsOwners => fleet.cut_one_way(&near, &far),
            Disruption::CutFromOwners => fleet.cut_one_way(&far, &near),
            Disruption::CutLeaves => set_leaf_flow(fleet, Flow::Cut),
            Disruption::FreezeEntry => fleet.freeze(ENTRY_VM),
            Disruption::FreezeOwner => fleet.freeze(FAR_VMS[0]),
            Disruption::KillEntry => fleet.kill(ENTRY_VM),
            Disruption::KillOwner => fleet.kill(FAR_VMS[0]),
            Disruption::FreezeLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf(name).leaf.freeze())
            }
            Disruption::KillLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf_mut(name).leaf.kill())
            }
            Disruption::BlackholeLeafConnections => {
                far_leaves(fleet, |name, fleet| {
                    fleet.leaf(name).proxy.blackhole_connections()
                });
            }
            Disruption::LosePlatformReplies => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = LOST_REPLIES);
            }
            Disruption::RejectPlatform => set_outage(fleet, Outage::Reject),
            Disruption::UnresponsivePlatform => set_outage(fleet, Outage::Unresponsive),
            Disruption::BlackholePeerConnections => {
                for vm in fleet.running() {
                    vm.peer_proxy.blackhole_connections();
                }
            }
        }
    }

    /// Ends the disruption. Killed owners and blackholed connections stay as they are.
    pub fn end(self, fleet: &mut Fleet) {
        match self {
            Disruption::CutOwners | Disruption::CutTowardsOwners | Disruption::CutFromOwners => {
                fleet.heal()
            }
            Disruption::CutLeaves => set_leaf_flow(fleet, Flow::Open),
            Disruption::FreezeEntry => fleet.thaw(ENTRY_VM),
            Disruption::FreezeOwner => fleet.thaw(FAR_VMS[0]),
            Disruption::FreezeLeaves => {
                far_leaves(fleet, |name, fleet| fleet.leaf(name).leaf.thaw())
            }
            Disruption::KillEntry => {
                fleet.add_vm("near").expect("VM starts");
            }
            Disruption::KillLeaves => far_leaves(fleet, |name, fleet| {
                fleet
                    .leaf_mut(name)
                    .leaf
                    .restart()
                    .expect("leaf starts again");
            }),
            Disruption::LosePlatformReplies => {
                fleet
                    .platform
                    .change(|behaviour| behaviour.lost_replies = 0);
            }
            Disruption::RejectPlatform | Disruption::UnresponsivePlatform => {
                set_outage(fleet, Outage::None)
            }
            Disruption::KillOwner
            | Disruption::BlackholeLeafConnections
            | Disruption::BlackholePeerConnections => {}
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
        .filter(|proxied_leaf| proxied_leaf.failure_domain == "far");
    let names: Vec<String> = far
        .map(|proxied_leaf| proxied_leaf.leaf.name().to_string())
        .collect();
    for name in names {
        act(&name, fleet);
    }
}
