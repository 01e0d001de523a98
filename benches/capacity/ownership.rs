//! Processor time to find where a part goes, by the members of a failure
//! domain.

use std::fs;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;

use geraniummount::core::contract::Contract;
use geraniummount::core::ownership;
use geraniummount::core::{leaf, vm};
use geraniummount::prelude::*;

const SIZES: [usize; 4] = [10, 30, 100, 300];
const LEAVES: usize = 1_000;
const ROUNDS: usize = 100;

/// Prints a row a size.
pub fn run() {
    println!("ownership");
    println!("members  us a route  us a rank");
    for size in SIZES {
        let view = view(size);
        let leaves: Vec<Leaf> = (0..LEAVES).map(declared).collect();
        let route = time(&leaves, |leaf| {
            black_box(ownership::route(&view, leaf));
        });
        let rank = time(&leaves, |leaf| {
            black_box(ownership::rank(&view, leaf));
        });
        println!("{size:7}  {route:10.2}  {rank:9.2}");
    }
}

/// Microseconds of processor time a leaf.
fn time(leaves: &[Leaf], work: impl Fn(&Leaf)) -> f64 {
    let before = processor_ns();
    for _ in 0..ROUNDS {
        leaves.iter().for_each(&work);
    }
    (processor_ns() - before) / 1e3 / (ROUNDS * LEAVES) as f64
}

/// Processor time of this thread so far.
fn processor_ns() -> f64 {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let used = stat.split(' ').next().and_then(|ns| ns.parse().ok());
    used.unwrap_or_default()
}

fn view(members: usize) -> View {
    let vms = (0..members).map(|index| Vm {
        name: format!("vm-{index:03}"),
        failure_domain: "d1".to_owned(),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 7_001)),
        incarnation: 1,
        state: vm::State::Live,
        revision: 1,
    });
    View {
        me: "vm-000".to_owned(),
        failure_domain: "d1".to_owned(),
        catalog: Arc::default(),
        vms: vms.collect(),
        draining: Vec::new(),
        health_draining: Vec::new(),
        stopping: false,
    }
}

fn declared(index: usize) -> Leaf {
    Leaf {
        name: format!("leaf-{index}"),
        address: SocketAddr::from(([10, 0, 1, 1], 8_000)),
        failure_domain: "d1".to_owned(),
        contract: Contract {
            slots: 2,
            connections: 25,
            open_ms: 6,
        },
        state: leaf::State::Serving,
    }
}
