//! One configuration for all property tests: a fixed seed, nothing kept.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const SEED: u64 = 20_261_203;

/// Runs the same `cases` every time.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}
