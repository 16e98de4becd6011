//! Tests of what nodes decide together: claims, membership, leaving servers and partner links.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod claims;
mod claims_cases;
mod claims_world;
mod leaving;
mod links;
mod membership;
mod network;
#[path = "../common/proptest_config.rs"]
mod proptest_config;

use proptest_config::proptest_config;
