//! Runs both deployments of the users on loopback, each with stand-ins and a small fleet inside
//! this process.
//!
//! For each deployment the example starts a platform, all leaves at their current sizes and four
//! VMs in two failure domains, declares the resources through the operators' HTTP interface, sends
//! queries and one order through the callers' HTTP interface, and prints the snapshot, coverage and
//! latency of the answers.
//!
//! Run it with `cargo run --release --example quickstart`.

mod fleet;
mod traffic;

use std::error::Error;
use std::time::Instant;

use geraniummount_test_support::deployment::Deployment;

use crate::fleet::Fleet;

/// A deployment, the services to query and the service to send the order to.
struct Demo {
    deployment: Deployment,
    queries: &'static [&'static str],
    order: &'static str,
}

fn demos() -> [Demo; 2] {
    [
        Demo {
            deployment: Deployment::arusha(),
            queries: &[
                "counter-desk-01",
                "counter-desk",
                "parts-stock",
                "safety-cert",
            ],
            order: "guide-billing",
        },
        Demo {
            deployment: Deployment::alfold_regio(),
            queries: &[
                "csaladi-bolt-01",
                "csaladi-bolt",
                "templom-rend",
                "konyha-terv",
            ],
            order: "pult-igazolo",
        },
    ]
}

fn main() -> Result<(), Box<dyn Error>> {
    geraniummount::ops::logs::start(log::LevelFilter::Error);
    let start = Instant::now();
    for demo in demos() {
        run_demo(&demo)?;
    }
    println!("Done in {:.1} s.", start.elapsed().as_secs_f64());
    println!();
    println!("Where to look next:");
    println!("  README.md            a first service by hand");
    println!("  docs/OPERATIONS.md   settings, resources, metrics, failures");
    println!("  docs/DESIGN.md       how it works, and why so");
    println!("  cargo test --locked  the proofs");
    Ok(())
}

fn run_demo(demo: &Demo) -> Result<(), Box<dyn Error>> {
    let name = demo.deployment.name;
    let fleet = Fleet::start(&demo.deployment)?;
    println!(
        "{name}: {} VMs in failure domains {}, {} leaves",
        fleet.vms.len(),
        fleet::domains(&demo.deployment).join(" and "),
        fleet.leaves.len(),
    );
    let declared = Instant::now();
    let revision = fleet.declare(&demo.deployment)?;
    fleet.wait_until_applied(revision)?;
    println!(
        "{name}: revision {revision} in force on every VM, {:.1} s after the first change",
        declared.elapsed().as_secs_f64(),
    );
    for (index, service) in demo.queries.iter().enumerate() {
        traffic::query(fleet.caller(index), service)?;
    }
    traffic::order(fleet.caller(0), fleet.caller(1), demo.order)?;
    traffic::latency(&fleet, demo.queries[1])?;
    fleet.stop();
    println!();
    Ok(())
}
