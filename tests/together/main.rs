//! Nodes acting together: claims, membership, leaving servers and partner links.

#![allow(clippy::unwrap_used, reason = "a failed step of a test is to panic")]

mod claims;
mod claims_cases;
mod claims_world;
mod leaving;
mod links;
mod membership;
mod network;

use proptest::test_runner::{Config, RngSeed};

/// Configuration of property tests: fixed seed, more cases by `COT_PROPTEST_CASES`.
fn proptest_config(seed: u64) -> Config {
    let cases = std::env::var("COT_PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: cases.unwrap_or(256),
        ..Config::default()
    }
}
