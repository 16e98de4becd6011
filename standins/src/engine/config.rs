//! Settings of a model engine.

use crate::ground_truth::GroundTruth;
use crate::kv_store::StoredPrefixes;
use crate::weight_store::Transfers;
use crate::zones::ZoneDelays;
use std::sync::Arc;

/// Model on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedModel {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub weights_version: String,
}

/// Settings of an engine.
#[derive(Clone)]
pub struct EngineConfig {
    /// Name of the server.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Models loaded at the start.
    pub models: Vec<ServedModel>,
    /// Requests that run at once.
    pub max_running_requests: usize,
    /// Requests that may wait; more are refused.
    pub max_waiting_requests: usize,
    /// Blocks of 16 tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: u32,
    /// Tokens generated a second for each request.
    pub decode_tokens_per_s: u32,
    /// Tokens imported from the KV store a second.
    pub import_tokens_per_s: u32,
    /// Tokens in each frame.
    pub tokens_per_frame: u32,
    /// Milliseconds by which the load report lags.
    pub load_lag_ms: u64,
    /// Milliseconds after which a cache event shows.
    pub event_delay_ms: u64,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss_fraction: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Draw without work.
    pub idle_watts: u32,
    /// Additional draw of each running request.
    pub request_watts: u32,
    /// Text that crashes the engine when a prompt holds it.
    pub poison_marker: Option<String>,
    /// Delays between availability zones.
    pub zone_delays: ZoneDelays,
    /// Ledger of the site.
    pub ground_truth: Arc<GroundTruth>,
    /// Store of kept KV cache.
    pub kv_store: Option<Arc<StoredPrefixes>>,
    /// Transfers from the weight store; without it models load at once.
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
