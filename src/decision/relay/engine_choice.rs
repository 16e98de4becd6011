//! Choice of a model engine for a prompt: what each candidate would have to prefill, fetch and
//! save, and what that costs.

use super::choose::{Choice, CostedServer, PromptChoice, ServerQuery, build_choice, two_cheapest};
use super::configuration::CacheGroup;
use super::fleet::Fleet;
use super::prefill_rate::PrefillRate;
use super::prompt::{MIN_STORED_TOKENS, PrefixKey, Prompt};
use super::server::{PendingPrefill, Server, ServerLoad};
use crate::decision::routing::homes::rendezvous_hash;
use crate::types::{ServerId, WeightsRevision};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Milliseconds by which each running request slows the others.
const RUNNING_REQUEST_COST_MS: f64 = 1.5;

/// Fixed milliseconds of a prefix fetch, without the transfer.
const FETCH_OVERHEAD_MS: f64 = 4.0;

/// Milliseconds to transfer 1,000 tokens from another server or the store, including queueing.
const FETCH_MS_PER_1K_TOKENS: f64 = 4.0;

/// Penalty for recomputing 1,000 tokens that another server has prefilled, in addition to the time
/// it takes: wasted work.
const RECOMPUTE_COST_MS_PER_1K_TOKENS: f64 = 100.0;

/// Cost of a server by its rendezvous rank for the prefix, 0 for the home server; the last entry is
/// that of all further ranks.
const RANK_COST_MS: [f64; 4] = [0.0, 20.0, 30.0, 40.0];

/// Fraction of an engine's KV cache that requests may fill before cached prefixes get evicted.
const MAX_KV_CACHE_FRACTION: f64 = 0.7;

/// Cost of a server whose memory or many slots are full: the time until a request ends.
const FULL_SERVER_COST_MS: f64 = 250.0;

/// Milliseconds for which a request occupies a slot, used as the cost of waiting for one.
const SLOT_OCCUPANCY_MS: f64 = 1_500.0;

/// Time after new weights are announced during which older ones have no penalty.
const OUTDATED_WEIGHTS_GRACE: Duration = Duration::from_millis(1_200);

/// Cost of a server with outdated weights after the grace period.
const OUTDATED_WEIGHTS_COST_MS: f64 = 300.0;

/// Cost of a decode-heavy request at a server with outdated weights: it delays their replacement.
const DECODE_HEAVY_OUTDATED_WEIGHTS_COST_MS: f64 = 60.0;

/// Milliseconds in which a server of the decode pool generates one token of each request.
const DECODE_POOL_MS_PER_TOKEN: f64 = 8.0;

/// Decode-heavy requests per server of the decode pool before the pool grows.
const MAX_DECODE_HEAVY_PER_SERVER: f64 = 28.0;

/// Fraction of a server's slots that decode-heavy requests may take before the decode pool grows.
const MAX_DECODE_HEAVY_SLOT_FRACTION: f64 = 0.85;

/// Number of slots from which memory and speed limit a server before its slots do. With fewer slots
/// requests wait for a slot, and a decode pool would take so many servers that the others could not
/// prefill all prompts.
const MANY_SLOTS: u32 = 24;

/// Cost of a decode-heavy request outside the decode pool: every prefill there delays its tokens.
const DECODE_OUTSIDE_POOL_COST_MS: f64 = 60.0;

/// Cost of other requests at a server of the decode pool.
const PREFILL_IN_POOL_COST_MS: f64 = 80.0;

/// Servers of the rendezvous ranking that are compared at once. Load updates lag, so nodes that
/// compared all servers would all send their next requests to the same least loaded one.
const SERVERS_PER_ROUND: usize = 12;

/// Expected wait at all servers compared so far from which the next round is compared too: as long
/// as the latency objective. Penalties do not count: they are much the same at all servers, so that
/// all nodes would search the whole fleet for its least loaded server, away from the homes.
const NEXT_ROUND_EXPECTED_MS: f64 = 400.0;

/// Maximum number of rounds. If all servers of a prefix are overloaded, only a part of the prefixes
/// compares any other server, which cannot become the choice of all nodes between two load updates.
const MAX_ROUNDS: usize = 3;

impl Fleet {
    /// Returns the cheapest of the `candidates`, of which there is at least one.
    pub(super) fn choose_engine(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        query: ServerQuery<'_>,
        now: Instant,
    ) -> Choice {
        let owner = CacheOwner::of(query);
        let pool = self.decode_pool(candidates, prompt, now);
        let placement_key = self.placement_key(candidates, prompt, owner, now);
        let mut ranked: Vec<&Server> = candidates.to_vec();
        ranked.sort_by_key(|server| {
            let rank = rendezvous_hash(server.id_hash, placement_key);
            (pool.contains(&server.entry.id) != prompt.is_decode_heavy(), std::cmp::Reverse(rank))
        });
        let mut costs: Vec<CostedServer<'_>> = Vec::with_capacity(SERVERS_PER_ROUND);
        let mut plans = Vec::with_capacity(SERVERS_PER_ROUND);
        let mut min_expected_ms = f64::INFINITY;
        let prefill_rate = self.prefill_rate(query.service);
        for (rank, server) in ranked.iter().enumerate() {
            let ends_round = rank > 0 && rank % SERVERS_PER_ROUND == 0;
            let is_last_round = rank == MAX_ROUNDS * SERVERS_PER_ROUND;
            if is_last_round || ends_round && min_expected_ms < NEXT_ROUND_EXPECTED_MS {
                break;
            }
            let mut plan = self.plan_prompt(server, &ranked, prompt, owner, rank, now);
            let load = server.total_load(now);
            let expected_ms =
                expect_first_token(server, load, &mut plan, query.priority, prefill_rate, now);
            min_expected_ms = min_expected_ms.min(expected_ms);
            let mut cost_ms = expected_ms + self.penalty_ms(server, load, prompt, &plan, now);
            cost_ms += pool_cost_ms(prompt, pool.contains(&server.entry.id));
            costs.push((cost_ms, *server));
            plans.push((plan, expected_ms));
        }
        let (best, runner_up) = two_cheapest(&costs).expect("candidates are not empty");
        let position = costs
            .iter()
            .position(|(_, server)| server.entry.id == best.1.entry.id)
            .expect("the best server is one of those compared");
        let (plan, expected_ms) = plans.swap_remove(position);
        let load = ServerLoad {
            requests: 1,
            decode_heavy_requests: u32::from(prompt.is_decode_heavy()),
            pending_prefill: PendingPrefill::new(query.priority, plan.prefill_tokens),
            memory_tokens: u64::from(prompt.unshared_tokens())
                + u64::from(prompt.expected_output_tokens()),
        };
        build_choice(best, expected_ms, runner_up, Some(plan.choice), load)
    }

    /// Returns the servers for decode-heavy requests: as many as their token rate needs, the same
    /// on all nodes, those with the newest weights first.
    fn decode_pool(&self, candidates: &[&Server], prompt: &Prompt, now: Instant) -> Vec<ServerId> {
        let concurrent_requests =
            self.decode_rate.tokens_per_s(now) * DECODE_POOL_MS_PER_TOKEN / 1_000.0;
        let slots: f64 = candidates.iter().map(|server| f64::from(server.entry.slots.max(1))).sum();
        let slots_per_server = slots / candidates.len().max(1) as f64;
        let max_per_server =
            MAX_DECODE_HEAVY_PER_SERVER.min(slots_per_server * MAX_DECODE_HEAVY_SLOT_FRACTION);
        if slots_per_server < f64::from(MANY_SLOTS) {
            return Vec::new();
        }
        let required_servers = (concurrent_requests / max_per_server).ceil() as usize;
        let size = required_servers.clamp(1, (candidates.len() / 2).max(1));
        let revision =
            |server: &Server| server.weights.get(&prompt.model).copied().unwrap_or_default();
        let mut ranked: Vec<&&Server> = candidates.iter().collect();
        ranked.sort_by_key(|server| std::cmp::Reverse((revision(server), server.id_hash)));
        ranked.into_iter().take(size).map(|server| server.entry.id.clone()).collect()
    }

    /// Returns the rendezvous key of a prompt: its deepest shared prefix. While the store lacks a
    /// long shared prefix, the first such prefix is the key, so that one server prefills it for
    /// all.
    fn placement_key(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        owner: CacheOwner<'_>,
        now: Instant,
    ) -> PrefixKey {
        let newest = candidates.iter().filter_map(|server| server.weights.get(&prompt.model)).max();
        let salt = cache_salt(prompt, newest.copied().unwrap_or_default(), owner);
        let keys = prompt.shared_keys(&salt);
        let is_unstored = |(key, tokens): &(&PrefixKey, u32)| {
            *tokens >= MIN_STORED_TOKENS && !self.prefixes.is_stored(**key, now)
        };
        let first_unstored = keys.iter().zip(prompt.shared_part_tokens()).find(is_unstored);
        let key = match first_unstored.filter(|_| self.kv_store.is_some()) {
            Some((key, _)) => Some(*key),
            None => prompt.shared_keys(owner.workspace().unwrap_or_default()).last().copied(),
        };
        key.unwrap_or_else(|| prompt.unshared_key())
    }

    /// Works out what a server would prefill, fetch and save of a prompt. `ranked` are all
    /// candidates by rendezvous rank.
    fn plan_prompt(
        &self,
        server: &Server,
        ranked: &[&Server],
        prompt: &Prompt,
        owner: CacheOwner<'_>,
        rank: usize,
        now: Instant,
    ) -> PromptPlan {
        let weights = server.weights.get(&prompt.model).copied().unwrap_or_default();
        let cache_salt = cache_salt(prompt, weights, owner);
        let keys = prompt.shared_keys(&cache_salt);
        let id = &server.entry.id;
        let is_cached = |key: &PrefixKey| self.prefixes.is_cached_on(*key, id, now);
        // Each key covers the parts before it, so a cached key implies the shorter ones.
        let cached = keys.iter().rposition(is_cached).map_or(0, |last| last + 1);
        let tokens: Vec<u32> = prompt.shared_part_tokens().collect();
        let missing_tokens: u32 = tokens[cached..].iter().sum();
        let mut plan = PromptPlan::default();
        let stored_prefixes = keys.iter().rposition(|key| self.prefixes.is_stored(*key, now));
        let stored_prefixes = stored_prefixes.map_or(0, |last| last + 1);
        let missing_stored_tokens: u32 = tokens[cached..stored_prefixes.max(cached)].iter().sum();
        let source = self.prefix_source(server, &keys, now);
        if let Some(address) = source.cached_at.filter(|_| missing_tokens > 0) {
            plan.choice.fetch_from = Some(address);
            plan.fetched_tokens = missing_tokens;
        } else if let Some(store) = self.kv_store.as_ref().filter(|_| missing_stored_tokens > 0) {
            let fetch_s = store.transfer_s(missing_stored_tokens);
            if store.may_fetch(fetch_s, now) {
                plan.choice.fetch_from = Some(store.address());
                plan.choice.fetch_s = fetch_s;
                plan.fetched_tokens = missing_stored_tokens;
            }
        }
        if plan.choice.fetch_from.is_none() && missing_tokens > 0 {
            // The first other ranked server may have prefilled it for another node; a cache miss
            // costs 1 ms.
            let other = ranked.iter().find(|other| other.entry.id != *id);
            let other = other.filter(|other| other.weights.get(&prompt.model) == Some(&weights));
            plan.choice.fetch_from =
                source.possibly_cached_at.or(other.map(|other| other.entry.address));
        }
        self.plan_save(&mut plan.choice, prompt, &keys, &tokens, now);
        let uncached = keys.iter().zip(&tokens).skip(cached);
        let is_known = |key: &PrefixKey| self.prefixes.likely_cached_on(*key, now).is_some();
        let known_tokens: u32 =
            uncached.filter(|(key, _)| is_known(key)).map(|(_, tokens)| tokens).sum();
        let last_user = keys.last().and_then(|key| self.prefixes.likely_cached_on(*key, now));
        let is_last_user = last_user == Some(id);
        let fetches_from_last_user = source.possibly_cached_at.is_some()
            && plan.choice.fetch_from == source.possibly_cached_at;
        let chance = match keys.last() {
            Some(key) if is_last_user || fetches_from_last_user => {
                self.prefixes.cached_chance(*key, now)
            }
            _ => 0.0,
        };
        let expected = |tokens: u32| (f64::from(tokens) * (1.0 - chance)).round() as u32;
        let unfetched_tokens = missing_tokens - plan.fetched_tokens;
        plan.recomputed_tokens = expected(known_tokens.saturating_sub(plan.fetched_tokens));
        plan.prefill_tokens = expected(unfetched_tokens) + prompt.unshared_tokens();
        if fetches_from_last_user {
            plan.fetched_tokens += unfetched_tokens - expected(unfetched_tokens);
        }
        plan.choice.weights = weights;
        plan.choice.cache_salt = cache_salt;
        plan.choice.keys = keys;
        plan.choice.rank = rank;
        plan
    }

    /// Returns the address of another server that has or may have the deepest prefix cached.
    fn prefix_source(&self, server: &Server, keys: &[PrefixKey], now: Instant) -> PrefixSource {
        let Some(key) = keys.last() else { return PrefixSource::default() };
        let other = self.prefixes.likely_cached_on(*key, now).and_then(|id| self.servers.get(id));
        let other = other.filter(|other| {
            other.entry.id != server.entry.id
                && other.suspended_until(now).is_none()
                && self.is_in_service(other)
        });
        let Some(other) = other else { return PrefixSource::default() };
        let address = Some(other.entry.address);
        if self.prefixes.is_cached_on(*key, &other.entry.id, now) {
            PrefixSource { cached_at: address, possibly_cached_at: address }
        } else {
            PrefixSource { cached_at: None, possibly_cached_at: address }
        }
    }

    /// Plans to save a long prefix that the store lacks. The first prefix of a prompt is saved in
    /// any case, since all servers need it; others only if the node's share of the store's link
    /// allows it.
    fn plan_save(
        &self,
        choice: &mut PromptChoice,
        prompt: &Prompt,
        keys: &[PrefixKey],
        tokens: &[u32],
        now: Instant,
    ) {
        let Some(store) = &self.kv_store else { return };
        let is_long = |tokens: u32| tokens >= MIN_STORED_TOKENS;
        let mut unsaved = keys
            .iter()
            .zip(tokens)
            .enumerate()
            .filter(|(_, (key, size))| is_long(**size) && self.prefixes.needs_save(**key, now));
        let Some((index, _)) = unsaved.next() else { return };
        let save_s = store.transfer_s(prompt.prompt_tokens);
        let is_first = index == 0 && keys.len() > 1;
        if is_first || store.may_save(save_s, now) {
            choice.save_to = Some(store.address());
            choice.save_s = save_s;
        }
    }

    /// Returns the penalties of a server in addition to the time to the first token.
    fn penalty_ms(
        &self,
        server: &Server,
        load: ServerLoad,
        prompt: &Prompt,
        plan: &PromptPlan,
        now: Instant,
    ) -> f64 {
        let mut cost_ms = f64::from(load.requests) * RUNNING_REQUEST_COST_MS;
        cost_ms += RANK_COST_MS[plan.choice.rank.min(RANK_COST_MS.len() - 1)];
        cost_ms += f64::from(plan.recomputed_tokens) / 1_000.0 * RECOMPUTE_COST_MS_PER_1K_TOKENS;
        cost_ms += self.outdated_weights_cost_ms(prompt, plan.choice.weights, now);
        cost_ms += self.capacity_cost_ms(server, load, prompt);
        cost_ms += self.limits.cost_ms(&server.entry.id, server.incarnation(), now);
        cost_ms + self.zone_cost_ms(server) + server.health.cost_ms(now)
    }

    /// Returns the penalty for weights that are older than the announced ones.
    fn outdated_weights_cost_ms(
        &self,
        prompt: &Prompt,
        revision: WeightsRevision,
        now: Instant,
    ) -> f64 {
        let since =
            self.targets.get(&prompt.model).and_then(|target| target.outdated_since(revision));
        match since {
            None => 0.0,
            Some(since) if now >= since + OUTDATED_WEIGHTS_GRACE => OUTDATED_WEIGHTS_COST_MS,
            Some(_) if prompt.is_decode_heavy() => DECODE_HEAVY_OUTDATED_WEIGHTS_COST_MS,
            Some(_) => 0.0,
        }
    }

    /// Returns the penalty for full slots and for a KV cache that the request would fill too far.
    fn capacity_cost_ms(&self, server: &Server, load: ServerLoad, prompt: &Prompt) -> f64 {
        let slots = server.entry.slots.max(1);
        let mut cost_ms = if slots >= MANY_SLOTS {
            f64::from(load.requests / slots) * FULL_SERVER_COST_MS
        } else {
            0.0
        };
        let capacity_tokens = self.kv_capacity_tokens.get(&server.entry.service).copied();
        if let Some(capacity_tokens) =
            capacity_tokens.filter(|capacity_tokens| *capacity_tokens > 0)
        {
            let required_tokens = load.memory_tokens + u64::from(prompt.prompt_tokens);
            if required_tokens as f64 > capacity_tokens as f64 * MAX_KV_CACHE_FRACTION {
                cost_ms += FULL_SERVER_COST_MS * required_tokens as f64 / capacity_tokens as f64;
            }
        }
        cost_ms
    }
}

/// Works out what a server does before the first token, and returns the milliseconds until it has
/// prefilled the prompt, after all requests of the same or a higher priority.
fn expect_first_token(
    server: &Server,
    load: ServerLoad,
    plan: &mut PromptPlan,
    priority: u8,
    prefill_rate: PrefillRate,
    now: Instant,
) -> f64 {
    let ahead = f64::from(load.pending_prefill.ahead_of(priority)) + server.unreported_tokens(now);
    let mut wait_ms = slot_wait_ms(server, load);
    if plan.fetched_tokens > 0 {
        let fetched_k_tokens = f64::from(plan.fetched_tokens) / 1_000.0;
        wait_ms += FETCH_OVERHEAD_MS + fetched_k_tokens * FETCH_MS_PER_1K_TOKENS;
    }
    plan.choice.tokens_before_answer = ahead + f64::from(plan.prefill_tokens);
    plan.choice.expected_wait_ms = wait_ms;
    plan.choice.tokens_before_answer / prefill_rate.tokens_per_ms() + wait_ms
}

/// Returns the milliseconds for which another request waits for a slot.
fn slot_wait_ms(server: &Server, load: ServerLoad) -> f64 {
    let slots = server.entry.slots.max(1);
    if slots >= MANY_SLOTS {
        return 0.0;
    }
    let waiting = (load.requests + 1).saturating_sub(slots);
    f64::from(waiting) / f64::from(slots) * SLOT_OCCUPANCY_MS
}

/// Another server from which a prefix can be fetched.
#[derive(Default)]
struct PrefixSource {
    /// Address of a server that has the prefix cached.
    cached_at: Option<SocketAddr>,
    /// Address of a server that may have evicted it.
    possibly_cached_at: Option<SocketAddr>,
}

/// What a server would prefill, fetch and save of a prompt.
#[derive(Default)]
struct PromptPlan {
    /// Tokens that the server would prefill.
    prefill_tokens: u32,
    /// Tokens among them that another server has prefilled recently.
    recomputed_tokens: u32,
    /// Tokens that the server would fetch from another server or the store.
    fetched_tokens: u32,
    choice: PromptChoice,
}

/// Returns the salt of the cache keys, which differs between models, weights, workspaces with cache
/// isolation and groups of those without.
fn cache_salt(prompt: &Prompt, weights: WeightsRevision, owner: CacheOwner<'_>) -> SmolStr {
    match owner {
        CacheOwner::Workspace(name) => format_smolstr!("{}/{weights}/{name}", prompt.model),
        CacheOwner::Group(0) => format_smolstr!("{}/{weights}", prompt.model),
        CacheOwner::Group(group) => format_smolstr!("{}/{weights}~{group:x}", prompt.model),
    }
}

/// Returns the penalty for mixing decode-heavy requests with others.
fn pool_cost_ms(prompt: &Prompt, is_in_pool: bool) -> f64 {
    match (prompt.is_decode_heavy(), is_in_pool) {
        (true, false) => DECODE_OUTSIDE_POOL_COST_MS,
        (false, true) => PREFILL_IN_POOL_COST_MS,
        (true, true) | (false, false) => 0.0,
    }
}

/// Whose cache a request uses.
#[derive(Clone, Copy, Debug)]
enum CacheOwner<'a> {
    /// That of an isolated workspace alone.
    Workspace(&'a str),
    /// That of the workspaces of a group.
    Group(CacheGroup),
}

impl<'a> CacheOwner<'a> {
    fn of(query: ServerQuery<'a>) -> Self {
        query.isolated_workspace.map_or(Self::Group(query.cache_group), Self::Workspace)
    }

    fn workspace(self) -> Option<&'a str> {
        match self {
            Self::Workspace(name) => Some(name),
            Self::Group(_) => None,
        }
    }
}
