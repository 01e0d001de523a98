//! Defines the faults that a run injects into a cluster.
//!
//! A slot is a place for one of the two leaves of a service. A new leaf takes the slot of a leaf
//! that leaves or crashes.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::operator::Action;
use crate::platform::users::Answer;

/// A fault, with the index of the VM or the slot of the leaf that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Affects the process of a gateway.
    Vm(usize, VmFault),
    /// Affects the processes of all gateways.
    AllVms(VmFault),
    /// Affects the link from a gateway to the store.
    StoreLink(usize, LinkFault),
    /// Affects the store.
    Store(StoreFault),
    /// Affects the links from a gateway to all leaves.
    AllLinks(usize, LostLinks),
    /// Affects a leaf.
    Leaf(usize, LeafFault),
    /// Affects the link to a leaf.
    LeafLink(usize, LinkFault),
    /// Is not a fault, but writes this number of versions of the routes in quick succession.
    WriteVersions(u32),
    /// Is not a fault, but an action of the operator in a run with tenants.
    Operator(Action),
}

/// A fault of a gateway's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmFault {
    /// The process is requested to stop, and restarted after it has exited.
    Stop,
    /// The process is killed and restarted.
    Kill,
    /// The process is suspended (`SIGSTOP`) and resumed later.
    Pause,
    /// The process is requested to reload its settings (`SIGHUP`).
    Reload,
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// No data passes in either direction.
    Cut,
    /// No requests pass.
    NoRequests,
    /// No replies pass.
    NoReplies,
    /// All data is delayed.
    Slow,
    /// Open connections stay open, but all their further data is discarded.
    Blackhole,
    /// Open connections are closed.
    Disconnect,
}

/// How a gateway loses its links to all leaves, also to those that start meanwhile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostLinks {
    /// No data passes in either direction, also of new connections.
    Hang,
    /// Open connections are closed, and new ones too, immediately.
    Close,
    /// Open connections work, new ones are closed immediately.
    CloseNew,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// The store closes its connections and refuses all calls.
    Unavailable,
    /// The store discards its history of changes and closes its connections.
    Compact,
    /// The store refuses all calls, and then comes back from an older copy of itself.
    GoBack,
}

/// A fault of a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFault {
    /// The leaf gives this answer to all requests.
    Answer(Answer),
    /// The leaf registers as leaving, is replaced at once and stops later.
    Leave,
    /// The leaf stops abruptly, and a new one starts later.
    Crash,
    /// The leaf is unregistered and registered again later.
    Unregister,
    /// The leaf says in its answers that it is leaving, is replaced at once and stops later. It
    /// remains registered as ready until then.
    SayLeaving,
    /// The leaf rejects all requests, and wants none for a while.
    AskForPause,
    /// The leaf names a limit on the requests of all gateways together.
    NameLimit,
}

/// Answers that a random [`LeafFault::Answer`] is drawn from.
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

/// Faults that a random link fault is drawn from.
const LINK_FAULTS: [LinkFault; 6] = [
    LinkFault::Cut,
    LinkFault::NoRequests,
    LinkFault::NoReplies,
    LinkFault::Slow,
    LinkFault::Blackhole,
    LinkFault::Disconnect,
];

/// Faults that a random loss of all links is drawn from.
const ALL_LINKS_FAULTS: [LostLinks; 3] = [LostLinks::Hang, LostLinks::Close, LostLinks::CloseNew];

impl LostLinks {
    /// Draws a random fault.
    pub fn draw(rng: &mut StdRng) -> LostLinks {
        ALL_LINKS_FAULTS[rng.random_range(0..ALL_LINKS_FAULTS.len())]
    }
}

impl Fault {
    /// Draws a random fault that [`Options::has_platform_faults`] adds.
    ///
    /// [`Options::has_platform_faults`]: super::Options::has_platform_faults
    pub fn draw_platform(leaves: usize, rng: &mut StdRng) -> Fault {
        let leaf = rng.random_range(0..leaves);
        match rng.random_range(0..3) {
            0 => Fault::Store(StoreFault::GoBack),
            1 => Fault::Leaf(leaf, LeafFault::SayLeaving),
            _ => Fault::Leaf(leaf, LeafFault::AskForPause),
        }
    }

    /// Draws a random fault for a cluster with the given numbers of gateways and leaf slots.
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
