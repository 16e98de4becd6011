//! Configuration of property tests, shared by the test targets.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with a fixed seed; `COT_PROPTEST_CASES` sets the number of cases.
pub fn proptest_config(seed: u64) -> Config {
    let cases = std::env::var("COT_PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
