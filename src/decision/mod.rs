//! Pure decisions: each takes its state, an event and the time, and returns commands.

pub mod configuration;
pub mod retry;
pub mod routing;
