//! Configuration of all property tests: a fixed seed, and failed cases are not persisted.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const SEED: u64 = 20_261_203;

/// Returns a configuration that runs the same `cases` cases every time.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}
