//! Limits and timing of placement.

use serde::{Deserialize, Serialize};

/// Limits and timing of placement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Maximum number of servers that load weights at the same time.
    #[serde(rename = "loads_at_once")]
    pub max_concurrent_loads: usize,
    /// Busy fraction of a model's servers above which it gets another one.
    #[serde(rename = "highest_busy")]
    pub scale_up_busy_fraction: f64,
    /// Busy fraction that a model's servers must not exceed with one server fewer, for that server
    /// to be freed.
    #[serde(rename = "lowest_busy")]
    pub scale_down_busy_fraction: f64,
    /// Milliseconds for which demand must stay low before a server is freed.
    #[serde(rename = "lower_after_ms")]
    pub scale_down_after_ms: u64,
    /// Half-life of past demand in milliseconds.
    pub demand_half_life_ms: u64,
    /// Milliseconds after which an order that no load report shows as fulfilled is planned anew.
    pub order_timeout_ms: u64,
    /// Milliseconds between polls of a server that is not loading.
    #[serde(rename = "read_ms")]
    pub poll_period_ms: u64,
    /// Maximum number of servers polled in one tick.
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
