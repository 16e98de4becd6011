//! Cases: each returns whether the rule held.

pub mod isolated_later;
pub mod rolling_restart;
pub mod same_id;
mod callers;
