//! Estimate of the time to first token from an engine's actual state.
//!
//! Only the omniscient policy uses it; the product sees nothing but reports and events.

use super::EngineStandIn;
use super::prompt;
use super::shared::block_tokens;
use crate::runtime::lock;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Time to first token that a request would have on an engine, from its actual cache and queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstTokenEstimate {
    /// Time until the prefill of the request would end.
    pub time_to_first_token: Duration,
    /// Duration of the prefill.
    pub prefill: Duration,
    /// Prompt tokens that the engine has cached.
    pub cached_tokens: u32,
}

impl EngineStandIn {
    /// Simulates the queue with `prompt`, which has no cache salt, at its end.
    ///
    /// Returns `None` if the engine would refuse the request.
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
            let uncached = tokens.saturating_sub(cached).max(1);
            f64::from(uncached) * state.faults.slow_factor / f64::from(config.prefill_tokens_per_s)
        };
        let now = Instant::now();
        let mut next_prefill_at =
            state.batch.prefill_ends_at().map_or(now, |ends_at| ends_at.max(now));
        let mut decode_ends: BTreeSet<(Instant, usize)> =
            state.batch.decode_end_times().into_iter().zip(0..).collect();
        let limit = state.batch.max_running();
        for (index, waiting) in state.batch.waiting().enumerate() {
            next_prefill_at = next_slot_at(&mut decode_ends, limit, next_prefill_at);
            let prefill = prefill_s(&waiting.blocks, waiting.prompt_tokens);
            next_prefill_at += Duration::from_secs_f64(prefill);
            let decode = Duration::from_secs_f64(waiting.decode_s * state.faults.slow_factor);
            decode_ends.insert((next_prefill_at + decode, limit + index));
        }
        next_prefill_at = next_slot_at(&mut decode_ends, limit, next_prefill_at);
        let tokens = prompt::tokens(prompt.len());
        let prefill = Duration::from_secs_f64(prefill_s(&blocks, tokens));
        let cached_tokens = block_tokens(state.cache.cached_blocks(&blocks));
        Some(FirstTokenEstimate {
            time_to_first_token: next_prefill_at + prefill - now,
            prefill,
            cached_tokens,
        })
    }
}

/// Returns when the next request can start: at `not_before`, or later once a running request ends.
fn next_slot_at(
    decode_ends: &mut BTreeSet<(Instant, usize)>,
    limit: usize,
    not_before: Instant,
) -> Instant {
    if decode_ends.len() < limit {
        return not_before;
    }
    decode_ends.pop_first().map_or(not_before, |(ends_at, _)| ends_at.max(not_before))
}
