//! State of an engine, shared by its requests, its load reports and the fault switches.

use super::batch::{Batch, QueuePosition, WaitingRequest};
use super::cache::BlockCache;
use super::config::{EngineConfig, ServedModel};
use super::events::EventLog;
use super::models::Models;
use super::prompt::BLOCK_TOKENS;
use super::report::LoadReport;
use crate::ground_truth::PrefillRecord;
use crate::http_server::HttpServer;
use crate::runtime::lock;
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::request::GenerateRequest;

/// Faults of an engine that can be switched on while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFaults {
    /// Factor on the duration of prefill and decode; 1 without a fault.
    pub slow_factor: f64,
    /// Whether the load report shows an idle engine regardless of its load.
    pub reports_idle: bool,
    /// Fraction of cache events that are lost, from 0 to 1, if higher than the configured one.
    pub event_loss_fraction: f64,
    /// Milliseconds added to the maximum age of the load report.
    pub extra_load_lag_ms: u64,
    /// Whether the load report shows the engine as leaving.
    pub leaving: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            reports_idle: false,
            event_loss_fraction: 0.0,
            extra_load_lag_ms: 0,
            leaving: false,
        }
    }
}

/// Settings, state and server of an engine, shared by its tasks.
pub struct EngineShared {
    pub(crate) config: EngineConfig,
    pub(crate) state: Mutex<EngineState>,
    pub(crate) server: Mutex<Option<HttpServer>>,
}

/// State of one incarnation.
pub(crate) struct EngineState {
    pub incarnation: u64,
    pub is_up: bool,
    pub batch: Batch,
    pub cache: BlockCache,
    pub events: EventLog,
    pub models: Models,
    /// Cancellation channels by request ID.
    pub cancels: HashMap<String, Sender<()>>,
    /// Load report shown to callers.
    pub published_report: LoadReport,
    pub faults: EngineFaults,
    pub rng: fastrand::Rng,
}

/// Why a request is refused before it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    QueueFull,
    WeightsVersion,
    ModelNotLoaded,
}

/// Accepted request; dropping the guard removes it, whether it is waiting or running.
pub(crate) struct RequestGuard {
    shared: Arc<EngineShared>,
    incarnation: u64,
    position: QueuePosition,
    id: String,
    /// Receives a message when the prefill may start.
    pub started: Receiver<()>,
    /// Receives a message when the request is cancelled.
    pub cancelled: Receiver<()>,
    /// Block hashes of the prompt.
    pub blocks: Vec<u64>,
}

impl EngineState {
    pub fn new(config: &EngineConfig, incarnation: u64, faults: EngineFaults) -> Self {
        let models = Models::new(config.models.clone());
        Self {
            incarnation,
            is_up: true,
            batch: Batch::new(config.max_running_requests, config.max_waiting_requests),
            cache: BlockCache::new(config.cache_blocks),
            events: EventLog::default(),
            published_report: LoadReport::idle(incarnation, &models),
            models,
            cancels: HashMap::new(),
            faults,
            rng: fastrand::Rng::with_seed(incarnation),
        }
    }

    /// Returns the prompt tokens that still have to be prefilled: the remainder of the current
    /// prefill and the uncached tokens of the waiting prompts.
    pub fn waiting_prompt_tokens(&self, prefill_tokens_per_s: u32) -> u64 {
        let remaining = self
            .batch
            .prefill_ends_at()
            .map_or(Duration::ZERO, |ends_at| ends_at.saturating_duration_since(Instant::now()));
        let remaining_tokens = remaining.as_secs_f64() * f64::from(prefill_tokens_per_s);
        let uncached_tokens = |waiting: &WaitingRequest| {
            let cached = block_tokens(self.cache.cached_blocks(&waiting.blocks));
            u64::from(waiting.prompt_tokens.saturating_sub(cached))
        };
        remaining_tokens as u64 + self.batch.waiting().map(uncached_tokens).sum::<u64>()
    }

    /// Caches `blocks` and records the resulting changes of prefix levels as cache events.
    fn cache_blocks(&mut self, config: &EngineConfig, blocks: &[u64], request: &GenerateRequest) {
        let visible_at = Instant::now() + Duration::from_millis(config.event_delay_ms);
        let loss_fraction = config.event_loss_fraction.max(self.faults.event_loss_fraction);
        for change in self.cache.store(blocks, &request.levels) {
            let is_lost = self.rng.f64() < loss_fraction;
            self.events.record(change, visible_at, is_lost);
        }
    }
}

impl EngineShared {
    /// Returns the cached tokens of a prompt with these block hashes, 0 if the engine is down.
    pub(crate) fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        let state = lock(&self.state);
        if !state.is_up {
            return 0;
        }
        block_tokens(state.cache.cached_blocks(blocks))
    }

    /// Adds `request` to the queue, then starts the next waiting request if the engine is free.
    pub(crate) fn enqueue(
        self: &Arc<Self>,
        request: &GenerateRequest,
    ) -> Result<RequestGuard, Refusal> {
        let mut state = lock(&self.state);
        let version = served_version(&state.models.loaded, request)?;
        let blocks = super::prompt::block_hashes(
            &request.model,
            &version,
            &request.cache_salt,
            &request.prompt,
        );
        let (start, started) = async_channel::bounded(1);
        let waiting = WaitingRequest {
            start,
            blocks: blocks.clone(),
            prompt_tokens: super::prompt::tokens(request.prompt.len()),
            decode_s: f64::from(request.completion_tokens)
                / f64::from(self.config.decode_tokens_per_s),
        };
        let position = state.batch.enqueue(request.priority, waiting).ok_or(Refusal::QueueFull)?;
        let (cancel, cancelled) = async_channel::bounded(1);
        state.cancels.insert(request.id.clone(), cancel);
        let guard = RequestGuard {
            shared: Arc::clone(self),
            incarnation: state.incarnation,
            position,
            id: request.id.clone(),
            started,
            cancelled,
            blocks,
        };
        self.start_next(&mut state);
        Ok(guard)
    }

    /// Starts the next waiting request if the engine is free.
    fn start_next(&self, state: &mut EngineState) {
        if state.batch.start_next(Instant::now()) {
            self.config.ground_truth.add_watts(self.config.request_watts);
        }
    }
}

impl RequestGuard {
    /// Starts the prefill; returns when it ends and where the prompt tokens came from.
    pub fn start_prefill(&self, request: &GenerateRequest) -> (Instant, PrefillRecord) {
        let config = &self.shared.config;
        let prompt_tokens = super::prompt::tokens(request.prompt.len());
        let mut state = lock(&self.shared.state);
        // At least one prompt token is prefilled, since decoding starts from its output.
        let max_reused = prompt_tokens.saturating_sub(1);
        let cached = block_tokens(state.cache.cached_blocks(&self.blocks)).min(max_reused);
        let stored = stored_tokens(config, request).min(max_reused);
        let imported = stored.saturating_sub(cached);
        let resumed = u32::try_from(request.resume_from_frame).unwrap_or(u32::MAX);
        let resumed = resumed.saturating_mul(config.tokens_per_frame);
        let uncached = prompt_tokens - cached - imported + resumed;
        let prefill_s = f64::from(uncached) / f64::from(config.prefill_tokens_per_s)
            + f64::from(imported) / f64::from(config.import_tokens_per_s);
        let decode_s = f64::from(request.completion_tokens) / f64::from(config.decode_tokens_per_s);
        let slow_factor = state.faults.slow_factor;
        let ends_at = Instant::now() + Duration::from_secs_f64(prefill_s * slow_factor);
        let decode_ends_at = ends_at + Duration::from_secs_f64(decode_s * slow_factor);
        state.batch.set_end_times(self.position, ends_at, decode_ends_at);
        let record = PrefillRecord {
            prompt_tokens: u64::from(prompt_tokens),
            cached_tokens: u64::from(cached),
            imported_tokens: u64::from(imported),
            wasted_tokens: 0,
        };
        (ends_at, record)
    }

    /// Ends the prefill: caches the prompt, exports it and starts the next waiting request.
    pub fn end_prefill(&self, request: &GenerateRequest) {
        let mut state = lock(&self.shared.state);
        if state.incarnation != self.incarnation {
            return;
        }
        state.cache_blocks(&self.shared.config, &self.blocks, request);
        state.batch.end_prefill(self.position);
        self.shared.start_next(&mut state);
        drop(state);
        export_levels(&self.shared.config, request);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        if state.incarnation != self.incarnation {
            return;
        }
        state.cancels.remove(&self.id);
        if state.batch.remove(self.position) {
            self.shared.config.ground_truth.remove_watts(self.shared.config.request_watts);
        }
        self.shared.start_next(&mut state);
    }
}

/// Returns the loaded version of the requested model, the required one if the request names it.
fn served_version(loaded: &[ServedModel], request: &GenerateRequest) -> Result<String, Refusal> {
    let mut versions = loaded.iter().filter(|served| served.model == request.model).peekable();
    if versions.peek().is_none() {
        return Err(Refusal::ModelNotLoaded);
    }
    let required = request.weights_version.as_ref();
    let version =
        versions.find(|served| required.is_none_or(|required| *required == served.weights_version));
    version.map(|served| served.weights_version.clone()).ok_or(Refusal::WeightsVersion)
}

/// Returns the tokens of the longest prefix that the request can import from the KV store.
fn stored_tokens(config: &EngineConfig, request: &GenerateRequest) -> u32 {
    let Some(kv_store) = &config.kv_store else { return 0 };
    let importable = request.levels.iter().filter(|level| request.import_keys.contains(&level.key));
    importable
        .map(|level| kv_store.tokens(level.key).min(block_tokens(level.blocks)))
        .max()
        .unwrap_or(0)
}

/// Stores the prefix levels of a prefilled prompt in the KV store.
///
/// The last level covers the whole prompt, which no other request shares, and is left out.
fn export_levels(config: &EngineConfig, request: &GenerateRequest) {
    let Some(kv_store) = &config.kv_store else { return };
    let shared_levels = request.levels.len().saturating_sub(1);
    for level in &request.levels[..shared_levels] {
        kv_store.store(level.key, block_tokens(level.blocks));
    }
}

/// Returns the number of tokens in `blocks` blocks.
pub(crate) fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
}
