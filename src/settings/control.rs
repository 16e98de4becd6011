//! Settings of the control thread: periods and bandwidth.

use crate::types::Faults;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Periods and bandwidth of the control thread.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct ControlSettings {
    /// Milliseconds between reads of the configuration stream of the log. Beyond 16 live nodes the
    /// period grows with their number.
    pub log_period_ms: u64,
    /// Milliseconds between reads of the instance list.
    pub instance_list_period_ms: u64,
    /// Milliseconds between load reports of a server that is in use.
    pub load_period_ms: u64,
    /// Timeout in milliseconds of an exchange with the platform or a model engine; for an answer
    /// stream it covers only the head.
    pub exchange_timeout_ms: u64,
    /// Milliseconds after which the configuration is republished; less than a quarter of the time
    /// for which the log retains records.
    pub snapshot_period_ms: u64,
    /// Bytes per second for polling load reports and cache events.
    pub poll_bytes_per_s: u32,
    /// Bytes per second for partner links.
    pub link_bytes_per_s: u32,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            log_period_ms: 250,
            instance_list_period_ms: 1_000,
            load_period_ms: 500,
            exchange_timeout_ms: 2_000,
            snapshot_period_ms: 120_000,
            poll_bytes_per_s: 6_000,
            link_bytes_per_s: 6_000,
        }
    }
}

impl ControlSettings {
    /// Adds a fault for each invalid setting.
    pub fn check(&self, faults: &mut Faults) {
        let positive_settings = [
            ("control.log_period_ms", self.log_period_ms),
            ("control.instance_list_period_ms", self.instance_list_period_ms),
            ("control.load_period_ms", self.load_period_ms),
            ("control.exchange_timeout_ms", self.exchange_timeout_ms),
            ("control.snapshot_period_ms", self.snapshot_period_ms),
            ("control.poll_bytes_per_s", u64::from(self.poll_bytes_per_s)),
            ("control.link_bytes_per_s", u64::from(self.link_bytes_per_s)),
        ];
        for (path, value) in positive_settings {
            faults.require(value > 0, path, "must be above 0");
        }
    }
}
