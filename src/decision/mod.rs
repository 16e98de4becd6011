//! Pure decision logic: state, an event and the time in, commands out.

pub mod admission;
pub mod caller_memory;
pub mod claims;
pub mod configuration;
pub mod frame_order;
pub mod leases;
pub mod leaving;
pub mod membership;
pub mod placement;
pub mod poison;
pub mod power;
pub mod relay;
pub mod retry;
pub mod routing;
