//! Pure decisions: each takes its state, an event and the time, and returns commands.

pub mod claims;
pub mod routing;
