//! Configuration of property tests.

use proptest::test_runner::{Config, RngSeed};

/// Configuration of property tests: fixed seed, more cases by `COT_PROPTEST_CASES`.
pub fn proptest_config(seed: u64) -> Config {
    let cases = std::env::var("COT_PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
