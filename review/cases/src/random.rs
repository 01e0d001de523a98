//! Random numbers for loads and ids.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Duration;

/// A generator (xorshift64*).
pub struct Random(u64);

impl Random {
    /// Creates a generator with a random start.
    pub fn new() -> Random {
        Random(RandomState::new().build_hasher().finish() | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number of a range, in which both ends are included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }

    /// Returns a time of a range in milliseconds.
    pub fn millis(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.between(low, high))
    }

    /// Returns an id of 16 hexadecimal digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}
