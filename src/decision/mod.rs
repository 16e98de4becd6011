//! Pure decisions: each takes its state, an event and the time, and returns commands.

pub mod leases;
pub mod placement;
pub mod power;
pub mod routing;
