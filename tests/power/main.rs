//! Leases, placement and power against naive ledgers that know everything, in virtual time.

mod leases;
mod placement;
mod power;
mod power_account;
mod world;
