//! What can befall the cluster.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::platform::users::Answer;

/// A fault, with the number of what it strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// At the process of a gateway.
    Vm(usize, VmFault),
    /// At the processes of all gateways.
    AllVms(VmFault),
    /// At a gateway's link to the store.
    StoreLink(usize, LinkFault),
    /// At the store.
    Store(StoreFault),
    /// At a leaf.
    Leaf(usize, LeafFault),
    /// At a leaf's link.
    LeafLink(usize, LinkFault),
    /// None: so many versions of the routes are written, one after the other.
    WriteVersions(u32),
}

/// What can befall a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmFault {
    /// It is told to stop, and started again when it has ended.
    Stop,
    /// It is killed and started again.
    Kill,
    /// It stands still.
    Pause,
    /// It is told to read its settings again.
    Reload,
}

/// What can befall a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing gets through.
    Cut,
    /// Requests don't get through.
    NoRequests,
    /// Answers don't get through.
    NoResponses,
    /// All takes longer.
    Slow,
    /// Connections that are open fall silent for good.
    Blackhole,
    /// Connections that are open are reset.
    Disconnect,
}

/// What can befall the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It refuses all calls.
    Unavailable,
    /// It forgets its history.
    Compact,
}

/// What can befall a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFault {
    /// It answers in another way.
    Answer(Answer),
    /// It registers as leaving and ends when it may.
    Leave,
    /// It ends at once, and a new one starts.
    Crash,
    /// Its registration is gone for a while.
    Unregister,
}

/// Answers that a leaf gives during [`LeafFault::Answer`].
const FAULTY_ANSWERS: [Answer; 9] = [
    Answer::Late(Duration::from_millis(150)),
    Answer::Rejected,
    Answer::Failed,
    Answer::Lost,
    Answer::Truncated,
    Answer::Unframed,
    Answer::Doubled,
    Answer::ForeignFirst,
    Answer::Garbage,
];

const LINK_FAULTS: [LinkFault; 6] = [
    LinkFault::Cut,
    LinkFault::NoRequests,
    LinkFault::NoResponses,
    LinkFault::Slow,
    LinkFault::Blackhole,
    LinkFault::Disconnect,
];

impl Fault {
    /// Draws a fault of a cluster with so many gateways and leaves.
    pub fn draw(vms: usize, leaves: usize, rng: &mut StdRng) -> Fault {
        let vm = rng.random_range(0..vms);
        let leaf = rng.random_range(0..leaves);
        let link = LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())];
        match rng.random_range(0..20) {
            0..=2 => Fault::Vm(vm, VmFault::Stop),
            3 => Fault::Vm(vm, VmFault::Kill),
            4 => Fault::AllVms(VmFault::Kill),
            5 => Fault::Vm(vm, VmFault::Pause),
            6 => Fault::Vm(vm, VmFault::Reload),
            7..=9 => Fault::StoreLink(vm, link),
            10 => Fault::Store(StoreFault::Unavailable),
            11 => Fault::Store(StoreFault::Compact),
            12..=13 => {
                let answer = FAULTY_ANSWERS[rng.random_range(0..FAULTY_ANSWERS.len())];
                Fault::Leaf(leaf, LeafFault::Answer(answer))
            }
            14 => Fault::Leaf(leaf, LeafFault::Leave),
            15 => Fault::Leaf(leaf, LeafFault::Crash),
            16 => Fault::Leaf(leaf, LeafFault::Unregister),
            17..=18 => Fault::LeafLink(leaf, link),
            _ => Fault::WriteVersions(rng.random_range(1..6)),
        }
    }
}
