//! Tests of the traffic threads' decisions in virtual time: admission, retries, poison requests and
//! frame order.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod admission;
mod fairness;
mod frames;
mod naive_queue;
mod poison;
#[path = "../common/proptest_config.rs"]
mod proptest_config;
mod retry;

use proptest_config::proptest_config;
