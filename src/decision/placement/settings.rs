//! Settings of placement.

use serde::{Deserialize, Serialize};

/// Settings of placement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Servers that may load weights at once.
    pub loads_at_once: usize,
    /// Part of a server's time that its model may be busy before another server is added.
    pub highest_busy: f64,
    /// Part of its servers' time below which a model would be busy with one server fewer before
    /// that server may be used for another model.
    pub lowest_busy: f64,
    /// Milliseconds for which demand must stay low before a server is given up.
    pub lower_after_ms: u64,
    /// Milliseconds after which half of a measured demand is forgotten.
    pub demand_half_life_ms: u64,
    /// Milliseconds after which an order that did not show in the server's report is repeated.
    pub order_timeout_ms: u64,
    /// Milliseconds between readings of a server's report while nothing is ordered of it.
    pub read_ms: u64,
    /// Reports read at most in one tick.
    pub reads_per_tick: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            loads_at_once: 2,
            highest_busy: 0.7,
            lowest_busy: 0.5,
            lower_after_ms: 60_000,
            demand_half_life_ms: 30_000,
            order_timeout_ms: 10_000,
            read_ms: 15_000,
            reads_per_tick: 2,
        }
    }
}
