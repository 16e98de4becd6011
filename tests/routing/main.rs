//! Tests of routing decisions against naive reference implementations, in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod faults;
mod fixture;
mod homes;
mod naive;
mod poll;
mod prefix;
mod prefix_index;
#[path = "../common/proptest_config.rs"]
mod proptest_config;

use proptest_config::proptest_config;
