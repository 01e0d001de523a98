//! Processor time, memory and threads of a process, as the system counts them.

use std::fs;
use std::time::Duration;

/// The system counts processor time in these.
const TICKS_PER_SECOND: u64 = 100;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of a process by its id.
    pub fn of(pid: u32) -> Usage {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        // The name in brackets may hold spaces.
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        let field = |index: usize| {
            fields
                .split(' ')
                .nth(index)
                .unwrap()
                .parse::<u64>()
                .unwrap()
        };
        let ticks = field(11) + field(12);
        Usage {
            cpu_time: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory_bytes: resident_bytes(pid),
            threads: field(17),
        }
    }
}

fn resident_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.map_or(0, |number| number.parse::<u64>().unwrap() * 1024)
}
