//! Counters of what really happened in a site, independent of what the stand-ins report.

use crate::engine::EngineShared;
use crate::runtime::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Counters shared by the stand-ins of one site.
#[derive(Default)]
pub struct GroundTruth {
    power_draw: Mutex<PowerDraw>,
    service_runs: Mutex<BTreeMap<String, u32>>,
    engines: Mutex<Vec<Weak<EngineShared>>>,
    prompt_tokens: AtomicU64,
    cached_tokens: AtomicU64,
    imported_tokens: AtomicU64,
    wasted_tokens: AtomicU64,
    engine_crashes: AtomicU64,
}

/// Power draw of all engines.
#[derive(Clone, Copy, Default)]
struct PowerDraw {
    current_watts: u64,
    peak_watts: u64,
}

/// Prompt tokens of all engines since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptTotals {
    /// Tokens of all prefilled prompts.
    pub prompt_tokens: u64,
    /// Tokens cached by the engine that ran the request.
    pub cached_tokens: u64,
    /// Tokens imported from the KV store.
    pub imported_tokens: u64,
    /// Tokens recomputed although another running engine had them cached.
    pub wasted_tokens: u64,
}

/// Prompt tokens of one prefill, by where they came from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillRecord {
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub imported_tokens: u64,
    pub wasted_tokens: u64,
}

impl GroundTruth {
    /// Returns counters at zero.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns the current power draw of all engines, in watts.
    pub fn drawn_watts(&self) -> u64 {
        lock(&self.power_draw).current_watts
    }

    /// Returns the highest power draw since the last reset, in watts.
    pub fn peak_watts(&self) -> u64 {
        lock(&self.power_draw).peak_watts
    }

    /// Resets the peak power draw to the current draw.
    pub fn reset_peak_watts(&self) {
        let mut draw = lock(&self.power_draw);
        draw.peak_watts = draw.current_watts;
    }

    /// Returns the number of crashes of all engines since the start.
    pub fn engine_crashes(&self) -> u64 {
        self.engine_crashes.load(Ordering::Relaxed)
    }

    /// Returns the number of runs by idempotency key over all plain services.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.service_runs).clone()
    }

    /// Returns the prompt token totals.
    pub fn prompt_totals(&self) -> PromptTotals {
        PromptTotals {
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
            imported_tokens: self.imported_tokens.load(Ordering::Relaxed),
            wasted_tokens: self.wasted_tokens.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn add_watts(&self, watts: u32) {
        let mut draw = lock(&self.power_draw);
        draw.current_watts += u64::from(watts);
        draw.peak_watts = draw.peak_watts.max(draw.current_watts);
    }

    pub(crate) fn remove_watts(&self, watts: u32) {
        let mut draw = lock(&self.power_draw);
        draw.current_watts = draw.current_watts.saturating_sub(u64::from(watts));
    }

    pub(crate) fn count_crash(&self) {
        self.engine_crashes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_run(&self, key: &str) {
        *lock(&self.service_runs).entry(key.to_owned()).or_default() += 1;
    }

    pub(crate) fn count_prefill(&self, record: PrefillRecord) {
        self.prompt_tokens.fetch_add(record.prompt_tokens, Ordering::Relaxed);
        self.cached_tokens.fetch_add(record.cached_tokens, Ordering::Relaxed);
        self.imported_tokens.fetch_add(record.imported_tokens, Ordering::Relaxed);
        self.wasted_tokens.fetch_add(record.wasted_tokens, Ordering::Relaxed);
    }

    pub(crate) fn add_engine(&self, engine: Weak<EngineShared>) {
        lock(&self.engines).push(engine);
    }

    /// Returns the most tokens of a prompt with these block hashes that any engine has cached.
    ///
    /// Engines that are down after a crash don't count.
    pub(crate) fn max_cached_tokens(&self, blocks: &[u64]) -> u32 {
        let engines: Vec<_> = lock(&self.engines).iter().filter_map(Weak::upgrade).collect();
        engines.iter().map(|engine| engine.cached_tokens(blocks)).max().unwrap_or(0)
    }
}
