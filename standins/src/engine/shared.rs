//! State of an engine, shared by its requests, its reports and the fault switches.

use super::batch::{Batch, Place, Waiting};
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
    /// Factor on the time of prefill and decode; 1 is healthy.
    pub slow_factor: f64,
    /// Whether the load report says that the engine is idle whatever it does.
    pub false_load: bool,
    /// Share of cache events that are lost, from 0 to 1, over the configured one.
    pub event_loss_fraction: f64,
    /// Milliseconds added to the lag of the load report.
    pub extra_load_lag_ms: u64,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            false_load: false,
            event_loss_fraction: 0.0,
            extra_load_lag_ms: 0,
            leaving: false,
        }
    }
}

/// Engine as seen by its tasks.
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
    pub cancels: HashMap<String, Sender<()>>,
    pub published: LoadReport,
    pub faults: EngineFaults,
    pub random: fastrand::Rng,
}

/// Why a request is refused before it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    QueueFull,
    WeightsVersion,
    ModelNotLoaded,
}

/// Place of an accepted request; dropping it ends the request wherever it is.
pub(crate) struct Ticket {
    shared: Arc<EngineShared>,
    incarnation: u64,
    place: Place,
    id: String,
    pub started: Receiver<()>,
    pub cancelled: Receiver<()>,
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
            published: LoadReport::idle(incarnation, &models),
            models,
            cancels: HashMap::new(),
            faults,
            random: fastrand::Rng::with_seed(incarnation),
        }
    }

    /// Returns the prompt tokens that wait to be computed: what is left of the prefill under way,
    /// and of the waiting prompts what is not cached.
    pub fn waiting_prompt_tokens(&self, prefill_tokens_per_s: u32) -> u64 {
        let left = self
            .batch
            .prefill_ends_at()
            .map_or(Duration::ZERO, |ends_at| ends_at.saturating_duration_since(Instant::now()));
        let left_tokens = left.as_secs_f64() * f64::from(prefill_tokens_per_s);
        let missed = |waiting: &Waiting| {
            let cached = block_tokens(self.cache.cached_blocks(&waiting.blocks));
            u64::from(waiting.prompt_tokens.saturating_sub(cached))
        };
        left_tokens as u64 + self.batch.waiting().map(missed).sum::<u64>()
    }

    /// Records the changes of named levels that storing `blocks` makes.
    fn store(&mut self, config: &EngineConfig, blocks: &[u64], request: &GenerateRequest) {
        let shown_at = Instant::now() + Duration::from_millis(config.event_delay_ms);
        let loss = config.event_loss_fraction.max(self.faults.event_loss_fraction);
        for change in self.cache.store(blocks, &request.levels) {
            let lost = self.random.f64() < loss;
            self.events.record(change, shown_at, lost);
        }
    }
}

impl EngineShared {
    /// Returns how many tokens of a prompt with these blocks the engine holds, 0 if it is down.
    pub(crate) fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        let state = lock(&self.state);
        if !state.is_up {
            return 0;
        }
        block_tokens(state.cache.cached_blocks(blocks))
    }

    /// Accepts `request` into the queue.
    pub(crate) fn accept(self: &Arc<Self>, request: &GenerateRequest) -> Result<Ticket, Refusal> {
        let mut state = lock(&self.state);
        let version = served_version(&state.models.loaded, request)?;
        let blocks = super::prompt::block_hashes(
            &request.model,
            &version,
            &request.cache_salt,
            &request.prompt,
        );
        let (start, started) = async_channel::bounded(1);
        let waiting = Waiting {
            start,
            blocks: blocks.clone(),
            prompt_tokens: super::prompt::tokens(request.prompt.len()),
            decode_s: f64::from(request.completion_tokens)
                / f64::from(self.config.decode_tokens_per_s),
        };
        let place = state.batch.add(request.priority, waiting).ok_or(Refusal::QueueFull)?;
        let (cancel, cancelled) = async_channel::bounded(1);
        state.cancels.insert(request.id.clone(), cancel);
        let ticket = Ticket {
            shared: Arc::clone(self),
            incarnation: state.incarnation,
            place,
            id: request.id.clone(),
            started,
            cancelled,
            blocks,
        };
        self.start_next(&mut state);
        Ok(ticket)
    }

    /// Starts waiting requests as far as the engine is free for them.
    fn start_next(&self, state: &mut EngineState) {
        if state.batch.start_next(Instant::now()) {
            self.config.ground_truth.add_watts(self.config.request_watts);
        }
    }
}

impl Ticket {
    /// Begins the prefill and returns when it ends.
    pub fn begin_prefill(&self, request: &GenerateRequest) -> (Instant, PrefillRecord) {
        let config = &self.shared.config;
        let prompt_tokens = super::prompt::tokens(request.prompt.len());
        let mut state = lock(&self.shared.state);
        // One token at least is computed, so that there is something to generate from.
        let computed_limit = prompt_tokens.saturating_sub(1);
        let cached = block_tokens(state.cache.cached_blocks(&self.blocks)).min(computed_limit);
        let kept = kept_tokens(config, request).min(computed_limit);
        let imported = kept.saturating_sub(cached);
        let resumed = u32::try_from(request.resume_from_frame).unwrap_or(u32::MAX);
        let resumed = resumed.saturating_mul(config.tokens_per_frame);
        let missed = prompt_tokens - cached - imported + resumed;
        let prefill_s = f64::from(missed) / f64::from(config.prefill_tokens_per_s)
            + f64::from(imported) / f64::from(config.import_tokens_per_s);
        let decode_s = f64::from(request.completion_tokens) / f64::from(config.decode_tokens_per_s);
        let slow_factor = state.faults.slow_factor;
        let ends_at = Instant::now() + Duration::from_secs_f64(prefill_s * slow_factor);
        let decode_ends_at = ends_at + Duration::from_secs_f64(decode_s * slow_factor);
        state.batch.set_ends(self.place, ends_at, decode_ends_at);
        let record = PrefillRecord {
            prompt_tokens: u64::from(prompt_tokens),
            cached_tokens: u64::from(cached),
            imported_tokens: u64::from(imported),
            wasted_tokens: 0,
        };
        (ends_at, record)
    }

    /// Ends the prefill: the prompt is cached and the next prefill starts.
    pub fn end_prefill(&self, request: &GenerateRequest) {
        let mut state = lock(&self.shared.state);
        if state.incarnation != self.incarnation {
            return;
        }
        state.store(&self.shared.config, &self.blocks, request);
        state.batch.end_prefill(self.place);
        self.shared.start_next(&mut state);
        drop(state);
        export(&self.shared.config, request);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        if state.incarnation != self.incarnation {
            return;
        }
        state.cancels.remove(&self.id);
        if state.batch.remove(self.place) {
            self.shared.config.ground_truth.remove_watts(self.shared.config.request_watts);
        }
        self.shared.start_next(&mut state);
    }
}

fn served_version(loaded: &[ServedModel], request: &GenerateRequest) -> Result<String, Refusal> {
    let mut versions = loaded.iter().filter(|served| served.model == request.model).peekable();
    if versions.peek().is_none() {
        return Err(Refusal::ModelNotLoaded);
    }
    let wanted = request.weights_version.as_ref();
    let version =
        versions.find(|served| wanted.is_none_or(|wanted| *wanted == served.weights_version));
    version.map(|served| served.weights_version.clone()).ok_or(Refusal::WeightsVersion)
}

/// Returns the tokens of the longest prefix that the request imports from the KV store.
fn kept_tokens(config: &EngineConfig, request: &GenerateRequest) -> u32 {
    let Some(kv_store) = &config.kv_store else { return 0 };
    let imported = request.levels.iter().filter(|level| request.import_keys.contains(&level.key));
    imported
        .map(|level| kv_store.tokens(level.key).min(block_tokens(level.blocks)))
        .max()
        .unwrap_or(0)
}

/// Keeps the levels of a computed prompt in the KV store, all but the last, which is its own.
fn export(config: &EngineConfig, request: &GenerateRequest) {
    let Some(kv_store) = &config.kv_store else { return };
    let shared_levels = request.levels.len().saturating_sub(1);
    for level in &request.levels[..shared_levels] {
        kv_store.keep(level.key, block_tokens(level.blocks));
    }
}

pub(crate) fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
}
