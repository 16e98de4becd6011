//! Score of a server for a request: expected seconds, weighted by the settings of the workspace.

use super::config::RoutingConfig;
use super::fleet::{ModelInfo, ServerIndex, ServerInfo};
use super::load::{LoadEstimate, ServerState};
use super::messages::{CachedLevel, PrefixLevel};
use super::prefix_index::{PrefixEntry, PrefixMap};
use crate::document::ScoreWeights;
use std::time::Instant;

/// Probability from which a prefix counts as likely cached.
const MIN_CACHED_PROBABILITY: f64 = 0.5;

/// Prompt level with its entry in the prefix index.
#[derive(Clone, Copy, Debug)]
struct IndexedLevel<'a> {
    level: PrefixLevel,
    entry: Option<&'a PrefixEntry>,
}

/// Levels of a prompt, looked up in the prefix index.
#[derive(Clone, Debug)]
pub struct PromptLookup<'a> {
    levels: Vec<IndexedLevel<'a>>,
    /// Position of the level whose key chooses the homes.
    anchor: usize,
    /// Innermost level in the KV store.
    stored: Option<StoredLevel>,
}

/// Prompt level in the KV store, by its position.
#[derive(Clone, Copy, Debug)]
struct StoredLevel {
    index: usize,
    tokens: f64,
}

/// Prompt tokens expected to come from a server's cache.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedHit {
    /// Expected number of tokens.
    pub tokens: f64,
    /// Whether at least one level is likely cached.
    pub is_likely_cached: bool,
}

impl<'a> PromptLookup<'a> {
    /// Looks `levels` up in `prefixes`.
    pub fn new(levels: &[PrefixLevel], prefixes: &'a PrefixMap, now: Instant) -> Self {
        let indexed = |level: &PrefixLevel| {
            let entry = prefixes.get(&level.key).map(AsRef::as_ref);
            IndexedLevel { level: *level, entry }
        };
        let levels: Vec<IndexedLevel<'a>> = levels.iter().map(indexed).collect();
        let anchor = levels.iter().position(|indexed| indexed.level.is_anchor).unwrap_or(0);
        let stored = stored_level(&levels, now);
        Self { levels, anchor, stored }
    }

    /// Returns the estimated tokens of the prompt.
    pub fn tokens(&self) -> u32 {
        self.levels.last().map_or(0, |indexed| indexed.level.tokens)
    }

    /// Returns the key of the anchor level.
    pub fn anchor_key(&self) -> u64 {
        self.levels.get(self.anchor).map_or(0, |indexed| indexed.level.key)
    }

    /// Returns the number of homes of the anchor level.
    pub fn home_count(&self) -> u32 {
        let entry = self.levels.get(self.anchor).and_then(|indexed| indexed.entry);
        entry.map_or(1, |entry| entry.rate.home_count())
    }

    /// Returns the servers believed to have some level cached, possibly repeated.
    pub fn holders(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        let entries = self.levels.iter().rev().filter_map(|indexed| indexed.entry);
        entries.flat_map(|entry| entry.holders.iter().map(|holder| holder.server))
    }

    /// Returns the factor on the home's cached probability for a server of `rank` in the rendezvous
    /// order of the anchor; 1 for the homes, 0 for an unranked server.
    fn home_rank_factor(&self, rank: Option<usize>, config: &RoutingConfig) -> f64 {
        let Some(rank) = rank else { return 0.0 };
        let ranks_after_homes = rank.saturating_sub(self.home_count() as usize - 1);
        let exponent = i32::try_from(ranks_after_homes).unwrap_or(i32::MAX);
        config.fallback_home_factor.powi(exponent)
    }

    /// Returns the tokens expected from the cache of `server`; `home_rank` is its position in the
    /// rendezvous order of the anchor, `None` if it was not ranked.
    pub fn expected_hit(
        &self,
        index: ServerIndex,
        server: &ServerState,
        home_rank: Option<usize>,
        config: &RoutingConfig,
        now: Instant,
    ) -> ExpectedHit {
        let mut hit = ExpectedHit::default();
        let home_cached_probability =
            self.home_rank_factor(home_rank, config) * server.home_cached_probability(config, now);
        let is_home = home_rank.is_some_and(|rank| rank < self.home_count() as usize);
        let holder_factor = if is_home { 1.0 } else { config.non_home_holder_factor };
        let mut probability = 0.0_f64;
        for (position, indexed) in self.levels.iter().enumerate().rev() {
            let cached_probability = indexed.cached_probability(index, server, config, now);
            hit.is_likely_cached |= cached_probability >= MIN_CACHED_PROBABILITY;
            probability = probability.max(holder_factor * cached_probability);
            if position <= self.anchor {
                probability = probability.max(home_cached_probability);
            }
            let outer = position.checked_sub(1).map_or(0, |outer| self.levels[outer].level.tokens);
            hit.tokens += probability * f64::from(indexed.level.tokens.saturating_sub(outer));
        }
        hit
    }

    /// Returns the innermost level that the index has for `server`, whatever its age.
    pub fn cached_level(&self, index: ServerIndex, server: &ServerState) -> Option<CachedLevel> {
        let incarnation = server.incarnations.confirmed()?;
        self.levels.iter().rev().find_map(|indexed| {
            let mut holders = indexed.entry?.holders.iter();
            let holder = holders
                .find(|holder| holder.server == index && holder.incarnation == incarnation)?;
            Some(CachedLevel { bytes: indexed.level.bytes, used_at: holder.used_at })
        })
    }

    /// Returns the keys of the levels up to the stored one, outermost first.
    pub fn import_keys(&self) -> Vec<u64> {
        let Some(stored) = self.stored else { return Vec::new() };
        self.levels[..=stored.index].iter().map(|indexed| indexed.level.key).collect()
    }
}

impl IndexedLevel<'_> {
    /// Returns the probability that `server` has the prefix cached in its current incarnation.
    fn cached_probability(
        &self,
        index: ServerIndex,
        server: &ServerState,
        config: &RoutingConfig,
        now: Instant,
    ) -> f64 {
        let Some(entry) = self.entry else { return 0.0 };
        let Some(incarnation) = server.incarnations.confirmed() else { return 0.0 };
        let holder = entry.holders.iter().find(|holder| holder.server == index);
        match holder {
            Some(holder) if holder.incarnation == incarnation => {
                server.cached_probability(holder.used_at, config, now)
            }
            Some(_) | None => 0.0,
        }
    }
}

fn stored_level(levels: &[IndexedLevel<'_>], now: Instant) -> Option<StoredLevel> {
    let is_stored = |indexed: &IndexedLevel<'_>| {
        let stored = indexed.entry.and_then(|entry| entry.stored);
        stored.is_some_and(|stored| stored.tokens > 0 && now < stored.valid_until)
    };
    let index = levels.iter().rposition(is_stored)?;
    Some(StoredLevel { index, tokens: f64::from(levels[index].level.tokens) })
}

/// Score of a server for a request.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    /// Weighted seconds; lower is better.
    pub cost_s: f64,
    /// Tokens expected from the server's cache.
    pub hit: ExpectedHit,
    /// Estimated load of the server.
    pub load: LoadEstimate,
    /// Expected queue wait by reports and request counts, in seconds.
    pub wait_s: f64,
    /// Whether an import from the KV store is faster than the recompute.
    pub uses_import: bool,
}

/// Inputs to the scores of one decision that all servers share.
#[derive(Clone, Copy, Debug)]
pub struct ScoreInput<'a> {
    /// Settings of the routing decision.
    pub config: &'a RoutingConfig,
    /// Settings of the requested model.
    pub model: &'a ModelInfo,
    /// Score weights of the workspace.
    pub weights: ScoreWeights,
    /// Live nodes, this one included.
    pub live_nodes: u32,
    /// Time of the decision.
    pub now: Instant,
}

impl ScoreInput<'_> {
    /// Returns the score of a server for `prompt`.
    pub fn score(
        &self,
        prompt: &PromptLookup<'_>,
        index: ServerIndex,
        server: &ServerState,
        info: &ServerInfo,
        home_rank: Option<usize>,
    ) -> Score {
        let hit = prompt.expected_hit(index, server, home_rank, self.config, self.now);
        let load = server.load(self.live_nodes, self.config, self.now);
        let prompt_tokens = f64::from(prompt.tokens());
        let recompute_s = (prompt_tokens - hit.tokens) / self.model.prefill_tokens_per_s;
        let with_import_s =
            prompt.stored.map(|stored| self.import_s(stored, hit.tokens, prompt_tokens));
        let uses_import = with_import_s.is_some_and(|import_s| import_s < recompute_s);
        let prefill_s = with_import_s.filter(|_| uses_import).unwrap_or(recompute_s);
        let link_s = 2.0 * info.link_delay.as_secs_f64();
        let wait_s = self.wait_s(server, info, load);
        let excess_s = server.excess_wait.seconds(self.config.excess_wait_decay_time, self.now);
        let first_token_s = wait_s + excess_s + prefill_s + link_s;
        // Requests that arrive during the queue wait and this prefill are delayed by the prefill.
        let arrivals_per_s = load.requests / server.mean_occupancy_s;
        let delayed_requests = arrivals_per_s * (wait_s + prefill_s);
        let utilisation = load.requests / f64::from(info.concurrent_requests);
        let cost_s = self.weights.first_token * first_token_s
            + (self.weights.recomputation + delayed_requests * self.config.delay_weight)
                * prefill_s
            + self.weights.zone_link * link_s
            + utilisation * self.config.utilisation_cost_s;
        Score { cost_s, hit, load, wait_s, uses_import }
    }

    /// Returns the expected queue wait in seconds, without the learnt excess wait.
    fn wait_s(&self, server: &ServerState, info: &ServerInfo, load: LoadEstimate) -> f64 {
        let slots = f64::from(info.concurrent_requests);
        let excess_requests = (load.requests + 1.0 - slots).max(0.0);
        let slot_wait_s = excess_requests * server.mean_occupancy_s / slots;
        let prefill_wait_s = load.pending_prefill_tokens / self.model.prefill_tokens_per_s;
        slot_wait_s.max(prefill_wait_s)
    }

    /// Returns the seconds to import the stored prefix and prefill the rest of the prompt.
    fn import_s(&self, stored: StoredLevel, hit_tokens: f64, prompt_tokens: f64) -> f64 {
        let imported_tokens = (stored.tokens - hit_tokens).max(0.0);
        let prefilled_tokens = (prompt_tokens - stored.tokens.max(hit_tokens)).max(0.0);
        self.config.import_overhead.as_secs_f64()
            + imported_tokens / self.model.import_tokens_per_s
            + prefilled_tokens / self.model.prefill_tokens_per_s
    }
}
