//! True state of an engine, for the omniscient policy alone.

use super::EngineStandIn;
use super::prompt;
use super::shared::block_tokens;
use crate::runtime::lock;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// What an engine would do with a request, from its true cache and queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstTokenEstimate {
    /// Time until the prefill would end.
    pub time_to_first_token: Duration,
    /// Time that the prefill would take.
    pub prefill: Duration,
    /// Prompt tokens in the cache.
    pub cached_tokens: u32,
}

impl EngineStandIn {
    /// Returns what the engine would do with a prompt, or `None` if it would refuse it.
    pub fn first_token_estimate(&self, model: &str, prompt: &str) -> Option<FirstTokenEstimate> {
        let config = self.config();
        let state = lock(&self.shared.state);
        let served = state.models.loaded.iter().find(|served| served.model == model)?;
        if !state.is_up || state.batch.waiting_requests() >= config.max_waiting_requests {
            return None;
        }
        let blocks = prompt::block_hashes(model, &served.weights_version, "", prompt);
        let prefill_s = |blocks: &[u64], tokens: u32| {
            let cached = block_tokens(state.cache.cached_blocks(blocks));
            let missed = tokens.saturating_sub(cached).max(1);
            f64::from(missed) * state.faults.slow_factor / f64::from(config.prefill_tokens_per_s)
        };
        let now = Instant::now();
        let mut free_at = state.batch.prefill_ends_at().map_or(now, |ends_at| ends_at.max(now));
        let mut decode_ends: BTreeSet<(Instant, usize)> =
            state.batch.decode_ends().into_iter().zip(0..).collect();
        let limit = state.batch.running_limit();
        for (index, waiting) in state.batch.waiting().enumerate() {
            free_at = next_slot(&mut decode_ends, limit, free_at);
            let prefill = prefill_s(&waiting.blocks, waiting.prompt_tokens);
            free_at += Duration::from_secs_f64(prefill);
            let decode = Duration::from_secs_f64(waiting.decode_s * state.faults.slow_factor);
            decode_ends.insert((free_at + decode, limit + index));
        }
        free_at = next_slot(&mut decode_ends, limit, free_at);
        let tokens = prompt::tokens(prompt.len());
        let prefill = Duration::from_secs_f64(prefill_s(&blocks, tokens));
        let cached_tokens = block_tokens(state.cache.cached_blocks(&blocks));
        Some(FirstTokenEstimate {
            time_to_first_token: free_at + prefill - now,
            prefill,
            cached_tokens,
        })
    }
}

/// Returns when the next request can start, at `free_at` or when a running one has been decoded.
fn next_slot(
    decode_ends: &mut BTreeSet<(Instant, usize)>,
    limit: usize,
    free_at: Instant,
) -> Instant {
    if decode_ends.len() < limit {
        return free_at;
    }
    decode_ends.pop_first().map_or(free_at, |(ends_at, _)| ends_at.max(free_at))
}
