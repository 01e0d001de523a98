//! Simulates the platform's store with its rate limits and latency.

use std::time::Duration;

use geraniummount::core::claims::{BUCKETS, Claim};

/// Calls per second above which the platform rejects further ones. The requirements state several
/// hundred writes and about two thousand reads.
const MAX_WRITES_PER_SECOND: u32 = 300;
const MAX_READS_PER_SECOND: u32 = 2_000;
/// Maximum size of a value.
pub const MAX_VALUE_BYTES: u64 = 1024 * 1024;
/// Round-trip time of a call without a value, and the transfer time of each byte at 1 Gbit/s.
const CALL_ROUND_TRIP: Duration = Duration::from_millis(3);
const TIME_PER_BYTE: Duration = Duration::from_nanos(8);

/// Simulated platform. Times are durations since the start of the run.
pub struct Platform {
    values: Vec<(u64, Vec<Claim>)>,
    /// Size of each value at the run's claim rate, including the claims that it holds from before
    /// the run.
    pub value_bytes: u64,
    second: u64,
    writes: u32,
    reads: u32,
}

impl Platform {
    /// Creates an empty platform whose calls are charged for values of `value_bytes`.
    pub fn new(value_bytes: u64) -> Platform {
        Platform {
            values: vec![(0, Vec::new()); BUCKETS as usize],
            value_bytes,
            second: 0,
            writes: 0,
            reads: 0,
        }
    }

    /// Returns the round-trip time of a call that carries a value.
    pub fn call_time(&self) -> Duration {
        CALL_ROUND_TRIP + TIME_PER_BYTE * self.value_bytes as u32
    }

    /// Reads a value with its version. Returns `None` above the rate limit.
    pub fn read(&mut self, value: u64, now: Duration) -> Option<(u64, Vec<Claim>)> {
        self.start_second(now);
        self.reads += 1;
        (self.reads <= MAX_READS_PER_SECOND).then(|| self.values[value as usize].clone())
    }

    /// Writes a value if its stored version is `version`. Returns the new version, `None` above the
    /// rate limit, and `Some(None)` on a version conflict.
    pub fn write(
        &mut self,
        value: u64,
        version: u64,
        claims: Vec<Claim>,
        now: Duration,
    ) -> Option<Option<u64>> {
        self.start_second(now);
        self.writes += 1;
        if self.writes > MAX_WRITES_PER_SECOND {
            return None;
        }
        let stored = &mut self.values[value as usize];
        if stored.0 != version {
            return Some(None);
        }
        *stored = (version + 1, claims);
        Some(Some(version + 1))
    }

    fn start_second(&mut self, now: Duration) {
        if now.as_secs() != self.second {
            (self.second, self.writes, self.reads) = (now.as_secs(), 0, 0);
        }
    }
}
