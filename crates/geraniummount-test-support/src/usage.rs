//! CPU time, memory and threads of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in which `/proc` reports CPU time.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time of all its threads so far, in user and kernel mode.
    pub cpu_time: Duration,
    /// Resident memory.
    pub memory_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of the process with this id.
    pub fn of(pid: u32) -> Usage {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        // The process name in parentheses may contain spaces, so fields are counted after it.
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        let field = |index: usize| {
            fields
                .split(' ')
                .nth(index)
                .unwrap()
                .parse::<u64>()
                .unwrap()
        };
        // Counted from the state at 0: 11 and 12 are the ticks in user and kernel mode, 17 is the
        // number of threads.
        let ticks = field(11) + field(12);
        Usage {
            cpu_time: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory_bytes: resident_bytes(pid),
            threads: field(17),
        }
    }
}

fn resident_bytes(pid: u32) -> u64 {
    status_bytes(pid, "VmRSS:")
}

/// Returns the largest resident memory that the process with this id has had.
pub fn peak_resident_bytes(pid: u32) -> u64 {
    status_bytes(pid, "VmHWM:")
}

/// Returns the number of open file descriptors of the process with this id.
pub fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}

fn status_bytes(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.map_or(0, |number| number.parse::<u64>().unwrap() * 1024)
}
