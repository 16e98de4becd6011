//! Cases: each returns whether the rule held.

mod callers;
pub mod deadly;
pub mod isolated_later;
pub mod kill_all;
pub mod names;
pub mod rolling_restart;
pub mod same_id;
pub mod server_killed;
