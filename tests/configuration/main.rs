//! Tests of the configuration: document, fold of the stream, edits, decoders and administration.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod admin;
mod check;
mod cli;
mod decoders;
mod document;
mod editors;
mod fold;
mod generate;
mod metrics;
mod naive;
mod nodes;
#[path = "../common/proptest_config.rs"]
mod proptest_config;
mod schema;

use proptest_config::proptest_config;
