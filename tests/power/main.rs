//! Leases, placement and power against naive ledgers that know everything, in virtual time.

#![allow(clippy::unwrap_used, reason = "helpers of tests may unwrap")]

mod leases;
mod placement;
mod power;
mod power_account;
mod world;
