//! True figures of a site, kept by the stand-ins beside anything they report.

use crate::engine::EngineShared;
use crate::runtime::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Ledger shared by the stand-ins of one site.
#[derive(Default)]
pub struct GroundTruth {
    watts: Mutex<Watts>,
    runs: Mutex<BTreeMap<String, u32>>,
    engines: Mutex<Vec<Weak<EngineShared>>>,
    prompt_tokens: AtomicU64,
    cached_tokens: AtomicU64,
    imported_tokens: AtomicU64,
    wasted_tokens: AtomicU64,
    engine_crashes: AtomicU64,
}

#[derive(Clone, Copy, Default)]
struct Watts {
    drawn: u64,
    peak: u64,
}

/// Prompt tokens over all engines since the last reset.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptTotals {
    /// Tokens of all prompts that were computed.
    pub prompt_tokens: u64,
    /// Tokens found in the cache of the engine.
    pub cached_tokens: u64,
    /// Tokens imported from the KV store.
    pub imported_tokens: u64,
    /// Tokens computed though another live engine held them.
    pub wasted_tokens: u64,
}

/// What one prefill did.
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

    /// Returns the watts drawn now by all engines.
    pub fn drawn_watts(&self) -> u64 {
        lock(&self.watts).drawn
    }

    /// Returns the highest draw seen.
    pub fn peak_watts(&self) -> u64 {
        lock(&self.watts).peak
    }

    /// Forgets the highest draw seen; from now on it is that of now.
    pub fn reset_peak_watts(&self) {
        let mut watts = lock(&self.watts);
        watts.peak = watts.drawn;
    }

    /// Returns the number of crashes of all engines.
    pub fn engine_crashes(&self) -> u64 {
        self.engine_crashes.load(Ordering::Relaxed)
    }

    /// Returns the number of runs of each key over all plain services.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Returns the totals of prompt tokens.
    pub fn prompt_totals(&self) -> PromptTotals {
        PromptTotals {
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
            imported_tokens: self.imported_tokens.load(Ordering::Relaxed),
            wasted_tokens: self.wasted_tokens.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn add_watts(&self, watts: u32) {
        let mut sum = lock(&self.watts);
        sum.drawn += u64::from(watts);
        sum.peak = sum.peak.max(sum.drawn);
    }

    pub(crate) fn remove_watts(&self, watts: u32) {
        let mut sum = lock(&self.watts);
        sum.drawn = sum.drawn.saturating_sub(u64::from(watts));
    }

    pub(crate) fn count_crash(&self) {
        self.engine_crashes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_run(&self, key: &str) {
        *lock(&self.runs).entry(key.to_owned()).or_default() += 1;
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

    /// Returns the most tokens of a prompt that any live engine holds.
    pub(crate) fn max_cached_tokens(&self, blocks: &[u64]) -> u32 {
        let engines: Vec<_> = lock(&self.engines).iter().filter_map(Weak::upgrade).collect();
        engines.iter().map(|engine| engine.cached_tokens(blocks)).max().unwrap_or(0)
    }
}
