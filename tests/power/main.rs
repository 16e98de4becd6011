//! Leases, placement and power against simple reference models, in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod leases;
mod placement;
mod power;
mod power_account;
#[path = "../common/proptest_config.rs"]
mod proptest_config;
mod transfers;
mod world;

use proptest_config::proptest_config;
