//! The choice of a model engine for a prompt: what each would have to read, fetch and save, and what
//! speaks against it.

use super::choose::{Choice, CostedServer, PromptChoice, ServerQuery, build_choice, two_cheapest};
use super::fleet::Fleet;
use super::prompt::{MIN_STORED_TOKENS, PrefixKey, Prompt};
use super::server::{Server, ServerLoad, UnreadTokens};
use crate::decision::routing::homes::rendezvous_hash;
use crate::types::{ServerId, WeightsRevision};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prompt tokens that an engine reads in a millisecond between the steps of its runs: 4,096 in a
/// step of 50 ms, by the sheets of the engines in use.
const PREFILL_TOKENS_PER_MS: f64 = 80.0;

/// Milliseconds by which each running request slows the others.
const RUNNING_REQUEST_COST_MS: f64 = 1.5;

/// Milliseconds that a fetch of a prefix takes beside the transfer.
const FETCH_OVERHEAD_MS: f64 = 4.0;

/// Milliseconds in which 1,000 tokens come from another server or the store, queueing included.
const FETCH_MS_PER_1K_TOKENS: f64 = 4.0;

/// Cost of reading 1,000 tokens again that another server has read, beside the time: wasted work.
const RECOMPUTE_COST_MS_PER_1K_TOKENS: f64 = 100.0;

/// Cost of a server that is not the home of the prefix, by its rank; the last holds for the others.
const RANK_COST_MS: [f64; 4] = [0.0, 20.0, 30.0, 40.0];

/// Part of an engine's memory that requests may fill before its cache suffers.
const MAX_KV_CACHE_FRACTION: f64 = 0.7;

/// Cost of a server whose memory is taken, or all of its many slots: the time until a request ends.
const FULL_SERVER_COST_MS: f64 = 250.0;

/// Time for which a request holds a slot, as cost of those that wait for one.
const SLOT_OCCUPANCY_MS: f64 = 1_500.0;

/// Time after newer weights are named in which older ones are as good.
const OUTDATED_WEIGHTS_GRACE: Duration = Duration::from_millis(1_200);

/// Cost of a server with older weights after that time.
const OUTDATED_WEIGHTS_COST_MS: f64 = 300.0;

/// Cost of a long run at a server with older weights, which has to end before they change.
const DECODE_HEAVY_OUTDATED_WEIGHTS_COST_MS: f64 = 60.0;

/// Milliseconds in which a server of the pool of long runs generates a token of each.
const DECODE_POOL_MS_PER_TOKEN: f64 = 8.0;

/// Long runs that a server of their pool takes before the pool grows, and the part of its slots that
/// they take at most.
const MAX_DECODE_HEAVY_PER_SERVER: f64 = 28.0;
const MAX_DECODE_HEAVY_SLOT_FRACTION: f64 = 0.85;

/// Slots from which a server has many: its memory and its speed bind before they do. With fewer,
/// requests wait for slots, and a pool of long runs would take so many servers that the others cannot
/// read all prompts.
const MANY_SLOTS: u32 = 24;

/// Cost of a long run outside its pool: each prompt read there delays all of its tokens.
const DECODE_OUTSIDE_POOL_COST_MS: f64 = 60.0;

/// Cost of a long prompt at a server of the pool of long runs.
const PREFILL_IN_POOL_COST_MS: f64 = 80.0;

/// Homes of a prefix that are considered together. Loads are told with a delay, so that nodes which
/// all look at every server send what comes meanwhile to the one that seems best.
const SERVERS_PER_ROUND: usize = 12;

/// Cost from which further homes are considered: that of waiting for the latency objective.
const NEXT_ROUND_COST_MS: f64 = 400.0;

impl Fleet {
    pub(super) fn choose_engine(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        query: ServerQuery<'_>,
        now: Instant,
    ) -> Choice {
        let isolated_workspace = query.isolated_workspace;
        let pool = self.decode_pool(candidates, prompt, now);
        let placement_key = self.placement_key(candidates, prompt, isolated_workspace, now);
        let mut ranked: Vec<&Server> = candidates.to_vec();
        ranked.sort_by_key(|server| {
            let rank = rendezvous_hash(server.id_hash, placement_key);
            (pool.contains(&server.entry.id) != prompt.is_decode_heavy(), std::cmp::Reverse(rank))
        });
        let mut costs: Vec<CostedServer<'_>> = Vec::with_capacity(SERVERS_PER_ROUND);
        let mut plans = Vec::with_capacity(SERVERS_PER_ROUND);
        for (rank, server) in ranked.iter().enumerate() {
            let is_enough = rank > 0 && rank % SERVERS_PER_ROUND == 0;
            if is_enough && costs.iter().any(|(cost_ms, _)| *cost_ms < NEXT_ROUND_COST_MS) {
                break;
            }
            let plan = self.plan(server, &ranked, prompt, isolated_workspace, rank, now);
            let load = server.total_load(now);
            let expected_ms = engine_expected_ms(server, load, &plan, query.priority, now);
            let mut cost_ms = expected_ms + self.engine_cost_ms(server, load, prompt, &plan, now);
            cost_ms += pool_cost_ms(prompt, pool.contains(&server.entry.id));
            costs.push((cost_ms, *server));
            plans.push((plan, expected_ms));
        }
        let (best, runner_up) = two_cheapest(&costs).expect("there is a candidate");
        let position = costs
            .iter()
            .position(|(_, server)| server.entry.id == best.1.entry.id)
            .expect("the best is one of those considered");
        let (plan, expected_ms) = plans.swap_remove(position);
        let load = ServerLoad {
            requests: 1,
            long_runs: u32::from(prompt.is_decode_heavy()),
            unread_tokens: UnreadTokens::new(query.priority, plan.unread_tokens),
            memory_tokens: u64::from(prompt.unshared_tokens() + prompt.expected_output_tokens()),
        };
        build_choice(best, expected_ms, runner_up, Some(plan.choice), load)
    }

    /// Returns the servers that take long runs: as many as these need, the same on all nodes, those
    /// with the newest weights first.
    fn decode_pool(&self, candidates: &[&Server], prompt: &Prompt, now: Instant) -> Vec<ServerId> {
        let decode_heavy = self.decode_rate.tokens_per_s(now) * DECODE_POOL_MS_PER_TOKEN / 1_000.0;
        let slots: u32 = candidates.iter().map(|server| server.entry.slots.max(1)).sum();
        let slots_per_server = f64::from(slots) / candidates.len().max(1) as f64;
        let max_per_server =
            MAX_DECODE_HEAVY_PER_SERVER.min(slots_per_server * MAX_DECODE_HEAVY_SLOT_FRACTION);
        if slots_per_server < f64::from(MANY_SLOTS) {
            return Vec::new();
        }
        let needed = (decode_heavy / max_per_server).ceil() as usize;
        let size = needed.clamp(1, (candidates.len() / 2).max(1));
        let held = |server: &Server| server.weights.get(&prompt.model).copied().unwrap_or_default();
        let mut ranked: Vec<&&Server> = candidates.iter().collect();
        ranked.sort_by_key(|server| std::cmp::Reverse((held(server), server.id_hash)));
        ranked.into_iter().take(size).map(|server| server.entry.id.clone()).collect()
    }

    /// Returns the key whose homes a prompt goes to: its deepest shared prefix, or before the store
    /// has a long one, that one, so that one server reads it for all.
    fn placement_key(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        isolated_workspace: Option<&str>,
        now: Instant,
    ) -> PrefixKey {
        let newest = candidates.iter().filter_map(|server| server.weights.get(&prompt.model)).max();
        let salt = cache_salt(prompt, newest.copied().unwrap_or_default(), isolated_workspace);
        let keys = prompt.shared_keys(&salt);
        let is_unread = |(key, tokens): &(&PrefixKey, u32)| {
            *tokens >= MIN_STORED_TOKENS && !self.prefixes.is_stored(**key, now)
        };
        let unread = keys.iter().zip(prompt.shared_part_tokens()).find(is_unread);
        let key = match unread.filter(|_| self.kv_store.is_some()) {
            Some((key, _)) => Some(*key),
            None => prompt.shared_keys(isolated_workspace.unwrap_or_default()).last().copied(),
        };
        key.unwrap_or_else(|| prompt.unshared_key())
    }

    /// Works out what a server would read, fetch and save of a prompt whose homes are `homes`.
    fn plan(
        &self,
        server: &Server,
        homes: &[&Server],
        prompt: &Prompt,
        isolated_workspace: Option<&str>,
        rank: usize,
        now: Instant,
    ) -> PromptPlan {
        let weights = server.weights.get(&prompt.model).copied().unwrap_or_default();
        let cache_salt = cache_salt(prompt, weights, isolated_workspace);
        let keys = prompt.shared_keys(&cache_salt);
        let id = &server.entry.id;
        let is_held = |key: &PrefixKey| self.prefixes.is_cached_on(*key, id, now);
        // What is held of a prompt is a prefix of it.
        let held = keys.iter().rposition(is_held).map_or(0, |last| last + 1);
        let tokens: Vec<u32> = prompt.shared_part_tokens().collect();
        let missing: u32 = tokens[held..].iter().sum();
        let mut plan = PromptPlan::default();
        let stored = keys.iter().rposition(|key| self.prefixes.is_stored(*key, now));
        let stored = stored.map_or(0, |last| last + 1);
        let stored_missing: u32 = tokens[held..stored.max(held)].iter().sum();
        let source = self.prefix_source(server, &keys, now);
        if let Some(address) = source.cached_at.filter(|_| missing > 0) {
            plan.choice.fetch_from = Some(address);
            plan.fetched_tokens = missing;
        } else if let Some(store) = self.kv_store.as_ref().filter(|_| stored_missing > 0) {
            let fetch_s = store.transfer_s(stored_missing);
            if store.may_fetch(fetch_s, now) {
                plan.choice.fetch_from = Some(store.address());
                plan.choice.fetch_s = fetch_s;
                plan.fetched_tokens = stored_missing;
            }
        }
        if plan.choice.fetch_from.is_none() && missing > 0 {
            // Another home may have it from another node's request; a miss costs a millisecond.
            let other = homes.iter().find(|home| home.entry.id != *id);
            let other = other.filter(|home| home.weights.get(&prompt.model) == Some(&weights));
            plan.choice.fetch_from =
                source.possibly_cached_at.or(other.map(|home| home.entry.address));
        }
        self.plan_save(&mut plan.choice, prompt, &keys, &tokens, now);
        let read = keys.iter().zip(&tokens).skip(held);
        let is_known = |key: &PrefixKey| self.prefixes.likely_cached_on(*key, now).is_some();
        let known: u32 = read.filter(|(key, _)| is_known(key)).map(|(_, tokens)| tokens).sum();
        plan.recomputed_tokens = known.saturating_sub(plan.fetched_tokens);
        plan.unread_tokens = missing - plan.fetched_tokens + prompt.unshared_tokens();
        plan.choice.weights = weights;
        plan.choice.cache_salt = cache_salt;
        plan.choice.keys = keys;
        plan.choice.rank = rank;
        plan
    }

    /// Returns the other server that read a prompt's deepest prefix last.
    fn prefix_source(&self, server: &Server, keys: &[PrefixKey], now: Instant) -> PrefixSource {
        let Some(key) = keys.last() else { return PrefixSource::default() };
        let holder =
            self.prefixes.likely_cached_on(*key, now).and_then(|holder| self.servers.get(holder));
        let holder = holder.filter(|holder| {
            holder.entry.id != server.entry.id && holder.suspended_until(now).is_none()
        });
        let Some(holder) = holder else { return PrefixSource::default() };
        let address = Some(holder.entry.address);
        if self.prefixes.is_cached_on(*key, &holder.entry.id, now) {
            PrefixSource { cached_at: address, possibly_cached_at: address }
        } else {
            PrefixSource { cached_at: None, possibly_cached_at: address }
        }
    }

    /// Has a long prefix saved that the store lacks: the first one of a prompt in any case, since
    /// all servers need it, the others as far as the store's link allows.
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
        let mut unsaved =
            keys.iter().zip(tokens).enumerate().filter(|(_, (key, tokens))| {
                is_long(**tokens) && self.prefixes.needs_save(**key, now)
            });
        let Some((level, _)) = unsaved.next() else { return };
        let save_s = store.transfer_s(prompt.prompt_tokens);
        let is_first = level == 0 && keys.len() > 1;
        if is_first || store.may_save(save_s, now) {
            choice.save_to = Some(store.address());
            choice.save_s = save_s;
        }
    }

    /// Returns what speaks against a server beside the time until it answers.
    fn engine_cost_ms(
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
        cost_ms + self.zone_cost_ms(server) + server.health.cost_ms(now)
    }

    fn outdated_weights_cost_ms(
        &self,
        prompt: &Prompt,
        held: WeightsRevision,
        now: Instant,
    ) -> f64 {
        let since = self.targets.get(&prompt.model).and_then(|target| target.outdated_since(held));
        match since {
            None => 0.0,
            Some(since) if now >= since + OUTDATED_WEIGHTS_GRACE => OUTDATED_WEIGHTS_COST_MS,
            Some(_) if prompt.is_decode_heavy() => DECODE_HEAVY_OUTDATED_WEIGHTS_COST_MS,
            Some(_) => 0.0,
        }
    }

    fn capacity_cost_ms(&self, server: &Server, load: ServerLoad, prompt: &Prompt) -> f64 {
        let slots = server.entry.slots.max(1);
        let mut cost_ms = if slots >= MANY_SLOTS {
            f64::from(load.requests / slots) * FULL_SERVER_COST_MS
        } else {
            0.0
        };
        let capacity = self.kv_capacity_tokens.get(&server.entry.service).copied();
        if let Some(capacity) = capacity.filter(|capacity| *capacity > 0) {
            let needed = load.memory_tokens + u64::from(prompt.prompt_tokens);
            if needed as f64 > capacity as f64 * MAX_KV_CACHE_FRACTION {
                cost_ms += FULL_SERVER_COST_MS * needed as f64 / capacity as f64;
            }
        }
        cost_ms
    }
}

/// Returns the milliseconds until a server has read the prompt, behind what is as urgent.
fn engine_expected_ms(
    server: &Server,
    load: ServerLoad,
    plan: &PromptPlan,
    priority: u8,
    now: Instant,
) -> f64 {
    let ahead = f64::from(load.unread_tokens.ahead_of(priority)) + server.unreported_tokens(now);
    let mut expected_ms = (ahead + f64::from(plan.unread_tokens)) / PREFILL_TOKENS_PER_MS;
    expected_ms += slot_wait_ms(server, load);
    if plan.fetched_tokens > 0 {
        let fetched = f64::from(plan.fetched_tokens) / 1_000.0;
        expected_ms += FETCH_OVERHEAD_MS + fetched * FETCH_MS_PER_1K_TOKENS;
    }
    expected_ms
}

/// Returns the milliseconds for which a further request waits for a slot.
fn slot_wait_ms(server: &Server, load: ServerLoad) -> f64 {
    let slots = server.entry.slots.max(1);
    if slots >= MANY_SLOTS {
        return 0.0;
    }
    let waiting = (load.requests + 1).saturating_sub(slots);
    f64::from(waiting) / f64::from(slots) * SLOT_OCCUPANCY_MS
}

/// Other server from which a prefix can be fetched.
#[derive(Default)]
struct PrefixSource {
    /// Server that holds it.
    cached_at: Option<SocketAddr>,
    /// Server that may have evicted it.
    possibly_cached_at: Option<SocketAddr>,
}

#[derive(Default)]
struct PromptPlan {
    unread_tokens: u32,
    recomputed_tokens: u32,
    fetched_tokens: u32,
    choice: PromptChoice,
}

/// Returns the name under which prefixes are cached: no other weights, and no workspace beyond a
/// wall, have the same.
fn cache_salt(
    prompt: &Prompt,
    weights: WeightsRevision,
    isolated_workspace: Option<&str>,
) -> SmolStr {
    match isolated_workspace {
        Some(workspace) => format_smolstr!("{}/{weights}/{workspace}", prompt.model),
        None => format_smolstr!("{}/{weights}", prompt.model),
    }
}

fn pool_cost_ms(prompt: &Prompt, is_in_pool: bool) -> f64 {
    match (prompt.is_decode_heavy(), is_in_pool) {
        (true, false) => DECODE_OUTSIDE_POOL_COST_MS,
        (false, true) => PREFILL_IN_POOL_COST_MS,
        (true, true) | (false, false) => 0.0,
    }
}
