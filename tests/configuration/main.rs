//! Tests of the configuration: document, fold of the stream, edits, decoders and administration.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod admin;
mod cli;
mod decoders;
mod document;
mod editors;
mod fold;
mod generate;
mod metrics;
mod naive;
mod nodes;
mod schema;

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with a fixed seed; `COT_PROPTEST_CASES` sets the number of cases.
fn proptest_config(seed: u64) -> Config {
    let cases = std::env::var("COT_PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
