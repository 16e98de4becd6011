//! Pure decisions: each takes its state, an event and the time, and returns commands.

pub mod admission;
pub mod configuration;
pub mod poison;
pub mod retry;
pub mod claims;
pub mod leases;
pub mod placement;
pub mod power;
pub mod routing;
