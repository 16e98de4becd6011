//! Decisions of the relay in virtual time, without a network.

#![allow(clippy::unwrap_used, reason = "a failed step of a test is to panic")]

mod admission;
mod choose;
mod configuration;
mod event_splitter;
mod fixture;
mod health;
mod kept_prefixes;
mod lease;
mod loads;
mod logging;
mod notices;
mod record_watch;
mod replica;
mod resend;
mod rollout;
mod settings;
mod trace;

use proptest::test_runner::{Config, RngSeed};

/// Configuration of property tests: fixed seed, more cases by `COT_PROPTEST_CASES`.
fn proptest_config(seed: u64) -> Config {
    let cases = std::env::var("COT_PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
