//! Settings of a model engine.

use crate::ground_truth::GroundTruth;
use crate::kv_store::StoredPrefixes;
use crate::weight_store::Transfers;
use crate::zones::ZoneDelays;
use std::sync::Arc;

/// Model that an engine serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedModel {
    /// Model name.
    pub model: String,
    /// Version of the weights.
    pub weights_version: String,
}

/// Settings of an engine.
#[derive(Clone)]
pub struct EngineConfig {
    /// Name of the backend server.
    pub name: String,
    /// Availability zone of the engine.
    pub availability_zone: String,
    /// Models loaded at startup.
    pub models: Vec<ServedModel>,
    /// Maximum requests that run at once.
    pub max_running_requests: usize,
    /// Maximum requests in the queue; more are refused.
    pub max_waiting_requests: usize,
    /// Capacity of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Decode rate of each request, in tokens per second.
    pub decode_tokens_per_s: u32,
    /// Rate of imports from the KV store, in tokens per second.
    pub import_tokens_per_s: u32,
    /// Tokens in each frame of a stream.
    pub tokens_per_frame: u32,
    /// Maximum age of the published load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until a cache event becomes visible, in milliseconds.
    pub event_delay_ms: u64,
    /// Fraction of cache events that are lost, from 0 to 1.
    pub event_loss_fraction: f64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Power draw without running requests, in watts.
    pub idle_watts: u32,
    /// Additional power draw of each running request, in watts.
    pub request_watts: u32,
    /// Text that crashes the engine when a prompt contains it.
    pub poison_marker: Option<String>,
    /// Simulated network between availability zones.
    pub zone_delays: ZoneDelays,
    /// Counters of the site.
    pub ground_truth: Arc<GroundTruth>,
    /// External KV store, if the engine uses one.
    pub kv_store: Option<Arc<StoredPrefixes>>,
    /// Transfers from the weight store; without them models load immediately.
    pub weight_store: Option<Arc<Transfers>>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            availability_zone: "zone".to_owned(),
            models: vec![ServedModel {
                model: "model".to_owned(),
                weights_version: "1".to_owned(),
            }],
            max_running_requests: 16,
            max_waiting_requests: 64,
            cache_blocks: 4_096,
            prefill_tokens_per_s: 8_000,
            decode_tokens_per_s: 40,
            import_tokens_per_s: 80_000,
            tokens_per_frame: 2,
            load_lag_ms: 200,
            event_delay_ms: 200,
            event_loss_fraction: 0.0,
            checks_fencing: false,
            idle_watts: 100,
            request_watts: 20,
            poison_marker: None,
            zone_delays: ZoneDelays::default(),
            ground_truth: GroundTruth::new(),
            kv_store: None,
            weight_store: None,
        }
    }
}
