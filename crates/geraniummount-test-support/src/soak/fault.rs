//! What can befall the world.

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
    Versions(u32),
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
    NoAnswers,
    /// All takes longer.
    Slow,
    /// Connections that are open fall silent for good.
    Silent,
    /// Connections that are open are reset.
    Reset,
}

/// What can befall the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It refuses all calls.
    Down,
    /// It forgets its history.
    Compacted,
}

/// What can befall a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFault {
    /// It answers in another way.
    Answers(Answer),
    /// It registers as leaving and ends when it may.
    Leaves,
    /// It ends at once, and a new one starts.
    Crashes,
    /// Its registration is gone for a while.
    Lapses,
}

/// Answers that a leaf gives during [`LeafFault::Answers`].
const ANSWERS: [Answer; 9] = [
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
    LinkFault::NoAnswers,
    LinkFault::Slow,
    LinkFault::Silent,
    LinkFault::Reset,
];

impl Fault {
    /// Draws a fault of a world with so many gateways and leaves.
    pub fn draw(vms: usize, leaves: usize, random: &mut StdRng) -> Fault {
        let vm = random.random_range(0..vms);
        let leaf = random.random_range(0..leaves);
        let link = LINK_FAULTS[random.random_range(0..LINK_FAULTS.len())];
        match random.random_range(0..20) {
            0..=2 => Fault::Vm(vm, VmFault::Stop),
            3 => Fault::Vm(vm, VmFault::Kill),
            4 => Fault::AllVms(VmFault::Kill),
            5 => Fault::Vm(vm, VmFault::Pause),
            6 => Fault::Vm(vm, VmFault::Reload),
            7..=9 => Fault::StoreLink(vm, link),
            10 => Fault::Store(StoreFault::Down),
            11 => Fault::Store(StoreFault::Compacted),
            12..=13 => {
                let answer = ANSWERS[random.random_range(0..ANSWERS.len())];
                Fault::Leaf(leaf, LeafFault::Answers(answer))
            }
            14 => Fault::Leaf(leaf, LeafFault::Leaves),
            15 => Fault::Leaf(leaf, LeafFault::Crashes),
            16 => Fault::Leaf(leaf, LeafFault::Lapses),
            17..=18 => Fault::LeafLink(leaf, link),
            _ => Fault::Versions(random.random_range(1..6)),
        }
    }
}
