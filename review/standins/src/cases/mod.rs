//! Cases: each returns whether the rule held.

mod callers;
pub mod isolated_later;
pub mod rolling_restart;
pub mod same_id;
pub mod server_killed;
