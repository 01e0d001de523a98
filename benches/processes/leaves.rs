//! Measures memory, threads and processor time by the number of leaves that a process owns.

use std::thread;
use std::time::Duration;

use geraniummount_test_support::platform::Platform;

use geraniummount_test_support::process::Process;

use crate::BINARY;
use crate::queries::{Deployment, Load};

const LEAF_COUNTS: [usize; 3] = [10, 100, 400];
const QUERIES_PER_SECOND: f64 = 5.0;
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
const SETTLE_DELAY: Duration = Duration::from_secs(3);

/// Prints a row for each number of leaves, with every leaf in use. Always returns true, because
/// this table has no bound.
pub fn run() -> bool {
    println!(
        "leaves  memory MB  threads  core % at {QUERIES_PER_SECOND} queries/s over all  p50 ms  p99 ms  whole %"
    );
    for size in LEAF_COUNTS {
        let folder = tempfile::tempdir().unwrap();
        let platform = Platform::start().unwrap();
        let process = Process::start(BINARY, 0, platform.address(), folder.path());
        let deployment = Deployment::new(&process, size);
        let load = Load {
            rate: QUERIES_PER_SECOND,
            time: MEASUREMENT_DURATION,
        };
        let result = load.run(&process, &deployment);
        thread::sleep(SETTLE_DELAY);
        let usage = process.usage();
        println!(
            "{size:6}  {:9.1}  {:7}  {:32.1}  {:6.1}  {:6.1}  {:7.1}",
            usage.memory_bytes as f64 / 1024.0 / 1024.0,
            usage.threads,
            result.cores_used * 100.0,
            result.p50_ms,
            result.p99_ms,
            result.whole_share * 100.0,
        );
    }
    true
}
