//! Settings of placement.

use serde::{Deserialize, Serialize};

/// Settings of placement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Servers that may load weights at once.
    #[serde(rename = "loads_at_once")]
    pub max_concurrent_loads: usize,
    /// Part of a server's time that its model may be busy before another server is added.
    #[serde(rename = "highest_busy")]
    pub scale_up_busy_fraction: f64,
    /// Part of its servers' time below which a model would be busy with one server fewer before
    /// that server may be used for another model.
    #[serde(rename = "lowest_busy")]
    pub scale_down_busy_fraction: f64,
    /// Milliseconds for which demand must stay low before a server is given up.
    #[serde(rename = "lower_after_ms")]
    pub scale_down_after_ms: u64,
    /// Milliseconds after which half of a measured demand is forgotten.
    pub demand_half_life_ms: u64,
    /// Milliseconds after which an order that did not show in the server's report is repeated.
    pub order_timeout_ms: u64,
    /// Milliseconds between readings of a server's report while nothing is ordered of it.
    #[serde(rename = "read_ms")]
    pub poll_period_ms: u64,
    /// Reports read at most in one tick.
    #[serde(rename = "reads_per_tick")]
    pub max_polls_per_tick: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 2,
            scale_up_busy_fraction: 0.7,
            scale_down_busy_fraction: 0.5,
            scale_down_after_ms: 60_000,
            demand_half_life_ms: 30_000,
            order_timeout_ms: 10_000,
            poll_period_ms: 15_000,
            max_polls_per_tick: 2,
        }
    }
}
