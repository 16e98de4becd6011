//! Updates of the routing state by load reports, cache events, answers and the KV store.

use super::RoutingState;
use super::fleet::ServerIndex;
use super::homes::HomeCountInputs;
use super::load::{ServerState, TimeToFirstToken};
use super::messages::{AnswerFeedback, AnswerTiming, SentRequest, StoredPrefix};
use super::prefix_index::{Holder, StoredTokens};
use crate::ports::{CacheEvent, CacheEventPage, LoadReport};
use crate::types::{Incarnation, ServerId};
use std::sync::Arc;
use std::time::Instant;

/// Tokens in a cache block of an engine; only whole blocks are cached.
const BLOCK_TOKENS: f64 = 16.0;
/// Maximum number of prefixes queued for a query to the KV store.
const MAX_STORE_QUERIES: usize = 64;

impl RoutingState {
    pub(super) fn apply_load(
        &mut self,
        server: &ServerId,
        report: &LoadReport,
        requested_at: Instant,
        now: Instant,
    ) {
        let config = Arc::clone(&self.config);
        let mut models_changed = false;
        self.update_server(server, |state| {
            let before = state.last_report.as_ref().map(|report| Arc::clone(&report.models));
            state.apply_report(report, requested_at, &config, now);
            let after = state.last_report.as_ref().map(|report| &report.models);
            models_changed = before.as_ref() != after;
        });
        if models_changed {
            self.update_models(now);
        }
    }

    pub(super) fn apply_events(&mut self, server: &ServerId, page: &CacheEventPage, now: Instant) {
        let Some(index) = self.fleet.index(server) else { return };
        let mut is_current = false;
        self.update_server(server, |state| is_current = state.apply_page(page, now));
        if !is_current {
            return;
        }
        for event in &page.events {
            match *event {
                CacheEvent::Stored { prefix_key, .. } => {
                    self.add_holder(prefix_key, index, page.incarnation, now);
                }
                CacheEvent::Evicted { prefix_key, .. } => {
                    self.prefixes.remove_holder(prefix_key, index)
                }
            }
        }
    }

    pub(super) fn apply_sent(&mut self, sent: &SentRequest, now: Instant) {
        let Some(index) = self.fleet.index(&sent.server) else { return };
        let Some(state) = self.servers.get(index as usize) else { return };
        let incarnation = state.incarnations.confirmed();
        let inputs = self.home_count_inputs(state);
        for level in &sent.levels {
            if level.anchor {
                self.queue_store_query(level.key, now);
                let entry = self.prefixes.entry_or_insert(level.key, &self.config, now);
                entry.rate.record_request(inputs, &self.config, now);
            }
            if let Some(incarnation) = incarnation {
                self.add_holder(level.key, index, incarnation, now);
            }
        }
    }

    pub(super) fn apply_answer(&mut self, answer: &AnswerFeedback, now: Instant) {
        let Some(index) = self.fleet.index(&answer.server) else { return };
        let mut is_current = false;
        self.update_server(&answer.server, |state| {
            is_current = state.observe_incarnation(answer.incarnation, now);
            state.record_success();
        });
        if !is_current {
            return;
        }
        for level in &answer.levels {
            self.add_holder(level.key, index, answer.incarnation, now);
        }
        if let Some(timing) = &answer.timing {
            self.learn_cache_lifetime(answer, timing);
            self.learn_timing(answer, timing, now);
        }
    }

    pub(super) fn apply_stored(&mut self, stored: &[StoredPrefix], now: Instant) {
        let valid_until = now + self.config.store_answer_lifetime;
        for prefix in stored {
            let entry = self.prefixes.entry_or_insert(prefix.key, &self.config, now);
            entry.stored = Some(StoredTokens { tokens: prefix.tokens, valid_until });
        }
    }

    fn add_holder(
        &mut self,
        key: u64,
        server: ServerIndex,
        incarnation: Incarnation,
        now: Instant,
    ) {
        let holder = Holder { server, incarnation, used_at: now };
        self.prefixes.add_holder(key, holder, &self.config, now);
    }

    /// Queues `key` for a query to the KV store unless its last answer is still valid.
    fn queue_store_query(&mut self, key: u64, now: Instant) {
        let stored = self.prefixes.get(key).and_then(|entry| entry.stored);
        let is_known = stored.is_some_and(|stored| now < stored.valid_until);
        if is_known || self.store_queries.len() >= MAX_STORE_QUERIES {
            return;
        }
        if !self.store_queries.contains(&key) {
            self.store_queries.push_back(key);
        }
    }

    fn home_count_inputs(&self, state: &ServerState) -> HomeCountInputs {
        let info = state.info.as_ref();
        HomeCountInputs {
            live_nodes: self.live_nodes,
            occupancy_s: state.mean_occupancy_s,
            concurrent_requests: info.map_or(1, |info| info.concurrent_requests),
            servers: self.servers.len(),
        }
    }

    /// Updates the server's cache lifetime by whether the expected prefix was in fact cached.
    fn learn_cache_lifetime(&mut self, answer: &AnswerFeedback, timing: &AnswerTiming) {
        let config = Arc::clone(&self.config);
        let Some(level) = timing.expectation.cached_level else { return };
        let age = timing.sent_at.saturating_duration_since(level.used_at);
        let was_cached = was_cached(answer, level.bytes);
        self.update_server(&answer.server, |state| {
            state.observe_cache_age(age.as_secs_f64(), was_cached, &config);
        });
    }

    fn learn_timing(&mut self, answer: &AnswerFeedback, timing: &AnswerTiming, now: Instant) {
        let Some(model) = self.fleet.models.get(&answer.model) else { return };
        let prefill_tokens_per_s = model.prefill_tokens_per_s;
        let config = Arc::clone(&self.config);
        let mut fleet_excess_wait = self.fleet_excess_wait;
        let prefilled_tokens = answer.prompt_tokens.saturating_sub(answer.cached_tokens);
        self.update_server(&answer.server, |state| {
            let Some(info) = state.info.clone() else { return };
            // Excludes the queue wait, which would look like demand for more homes.
            let decode = timing.ended_at.saturating_duration_since(timing.first_token_at);
            let prefill_s = f64::from(prefilled_tokens) / prefill_tokens_per_s;
            state.observe_request_cost(decode.as_secs_f64() + prefill_s, prefilled_tokens);
            let first_token = timing.first_token_at.saturating_duration_since(timing.sent_at);
            let expected_s = f64::from(prefilled_tokens) / prefill_tokens_per_s
                + 2.0 * info.link_delay.as_secs_f64()
                + f64::from(timing.expectation.wait_ms) / 1_000.0;
            let time = TimeToFirstToken { observed_s: first_token.as_secs_f64(), expected_s };
            state.excess_wait.observe(
                time,
                &mut fleet_excess_wait,
                config.excess_wait_decay_time,
                now,
            );
        });
        self.fleet_excess_wait = fleet_excess_wait;
    }
}

impl ServerState {
    /// Updates incarnation, event position and gaps by `page`; returns false if its incarnation is
    /// retired.
    fn apply_page(&mut self, page: &CacheEventPage, now: Instant) -> bool {
        let before = self.incarnations.confirmed();
        if !self.observe_incarnation(page.incarnation, now) {
            return false;
        }
        if before.is_some_and(|before| before != page.incarnation) {
            self.next_event = 0;
        }
        let mut expected = self.next_event;
        for event in &page.events {
            let (CacheEvent::Stored { sequence, .. } | CacheEvent::Evicted { sequence, .. }) =
                *event;
            if sequence > expected && expected > 0 {
                self.event_gap_at = Some(now);
            }
            expected = expected.max(sequence + 1);
        }
        if page.next_event > expected && expected > 0 {
            self.event_gap_at = Some(now);
        }
        self.next_event = page.next_event.max(expected);
        true
    }
}

/// Returns whether the prompt was cached up to `bytes`, except for a partial block at the end.
fn was_cached(answer: &AnswerFeedback, bytes: u32) -> bool {
    let prompt_bytes = answer.levels.last().map_or(1, |level| level.bytes.max(1));
    let fraction = f64::from(bytes) / f64::from(prompt_bytes);
    let tokens = f64::from(answer.prompt_tokens) * fraction;
    f64::from(answer.cached_tokens) + BLOCK_TOKENS >= tokens
}
