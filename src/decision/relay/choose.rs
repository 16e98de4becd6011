//! The choice of a server for a request.
//!
//! Each candidate has a cost in milliseconds: the work that waits there, what of the prompt it would
//! have to read or fetch, the distance, and what is known of its health. All nodes rank the servers
//! of a prefix alike by rendezvous hashing, so that without a message they send it to one home, and
//! to the next ones only when the home has more work than a transfer of the prefix costs. Long runs
//! and long prompts go to different servers, since each prompt that is read delays every token there.

use super::fleet::Fleet;
use super::prompt::{PrefixKey, Prompt};
use super::server::{Server, ServerLoad, ServerState, UnreadTokens};
use crate::decision::routing::homes::rendezvous_rank;
use crate::types::{AvailabilityZone, ModelId, ServerId, ServiceId, WeightsRevision};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Prompt tokens that an engine reads in a millisecond between the steps of its runs: 4,096 in a
/// step of 50 ms, by the sheets of the engines in use.
const READ_TOKENS_PER_MS: f64 = 80.0;

/// Milliseconds by which each running request slows the others.
const REQUEST_COST_MS: f64 = 1.5;

/// Milliseconds that a fetch of a prefix takes beside the transfer.
const FETCH_COST_MS: f64 = 4.0;

/// Milliseconds in which 1,000 tokens come from another server or the store, queueing included.
const FETCH_1K_TOKENS_MS: f64 = 4.0;

/// Cost of reading 1,000 tokens again that another server has read, beside the time: wasted work.
const READ_AGAIN_COST_MS: f64 = 100.0;

/// Shared tokens from which a prefix is worth keeping in the store; shorter ones are read faster.
const LEAST_KEPT_TOKENS: u32 = 1_000;

/// Cost of a server that is not the home of the prefix, by its rank; the last holds for the others.
const RANK_COST_MS: [f64; 4] = [0.0, 20.0, 30.0, 40.0];

/// Cost of a server in another availability zone: the way there and back.
const OTHER_ZONE_COST_MS: f64 = 8.0;

/// Milliseconds that a plain call occupies a slot, as cost of a queue.
const PLAIN_CALL_MS: f64 = 60.0;

/// Requests for each slot that a plain server takes before it rejects some.
const PLAIN_QUEUE_FACTOR: u32 = 4;

/// Part of an engine's memory that requests may fill before its cache suffers.
const MEMORY_PART: f64 = 0.7;

/// Cost of a server whose memory or slots are taken: the time until a request ends.
const NO_ROOM_COST_MS: f64 = 250.0;

/// Time after newer weights are named in which older ones are as good.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1_200);

/// Cost of a server with older weights after that time.
const OLD_WEIGHTS_COST_MS: f64 = 300.0;

/// Cost of a long run at a server with older weights, which has to end before they change.
const LONG_RUN_OLD_WEIGHTS_COST_MS: f64 = 60.0;

/// Time after which a server with older weights is not used any more.
pub(super) const OLD_WEIGHTS_LIMIT: Duration = Duration::from_millis(6_000);

/// Wait before a caller comes back if no server is known.
const NO_SERVER_RETRY: Duration = Duration::from_millis(700);

/// Milliseconds in which a server of the pool of long runs generates a token of each.
const LONG_RUN_TOKEN_MS: f64 = 8.0;

/// Long runs that a server of their pool takes before the pool grows.
const LONG_RUNS_PER_SERVER: f64 = 28.0;

/// Cost of a long run outside its pool: each prompt read there delays all of its tokens.
const OUTSIDE_POOL_COST_MS: f64 = 60.0;

/// Cost of a long prompt at a server of the pool of long runs.
const INSIDE_POOL_COST_MS: f64 = 80.0;

/// Server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Server.
    pub server: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Cost in milliseconds, penalties included.
    pub cost_ms: f64,
    /// Expected milliseconds until the server begins to answer.
    pub expected_ms: f64,
    /// Cost of the next best server in milliseconds, none if there is no other.
    pub runner_up: Option<(ServerId, f64)>,
    /// What the choice says of a prompt.
    pub prompt: Option<PromptChoice>,
    /// Load that the request adds.
    pub load: ServerLoad,
}

/// Choice for a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromptChoice {
    /// Weights that the server is believed to hold.
    pub weights: WeightsRevision,
    /// Name under which the prefixes are cached.
    pub cache_salt: SmolStr,
    /// Keys of the shared prefixes.
    pub keys: Vec<PrefixKey>,
    /// Where the server should fetch the prefix from.
    pub fetch_from: Option<SocketAddr>,
    /// Where the server should save the prefix to.
    pub save_to: Option<SocketAddr>,
    /// Seconds of the store's link that the fetch takes.
    pub fetch_s: f64,
    /// Seconds of the store's link that the save takes.
    pub save_s: f64,
    /// Rank of the server among the prefix's homes, 0 for the first.
    pub rank: usize,
}

/// Reason why no server can take a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UnavailableReason {
    /// The service has no servers.
    NoServer,
    /// All servers are out of reach or silent.
    Unreachable,
    /// All servers are full or change their weights.
    Closed,
    /// All servers have outdated weights.
    OutdatedWeights,
}

/// No server can take a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable {
    /// Reason.
    pub reason: UnavailableReason,
    /// When a server may take it.
    pub retry_at: Instant,
}

/// What decides the choice beside the servers.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Prompt, none for a plain call.
    pub prompt: Option<&'a Prompt>,
    /// Isolated workspace, whose cache entries no other one may use.
    pub wall: Option<&'a str>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
}

impl Fleet {
    /// Returns the server that a request should go to.
    ///
    /// # Errors
    ///
    /// No server can take the request now; the error says when one may.
    pub fn choose(&self, wanted: Wanted<'_>, now: Instant) -> Result<Choice, Unavailable> {
        let mut candidates: Vec<&Server> = self
            .servers
            .values()
            .filter(|server| server.entry.service == *wanted.service)
            .filter(|server| server.entry.state == ServerState::Ready && !server.is_gone(now))
            .filter(|server| !wanted.tried.contains(&server.entry.id))
            .collect();
        if candidates.is_empty() {
            return Err(unavailable(UnavailableReason::NoServer, now + NO_SERVER_RETRY));
        }
        keep_preferred(&mut candidates, |server| !server.is_vanished());
        if let Some(prompt) = wanted.prompt {
            candidates.retain(|server| self.has_usable_weights(server, &prompt.model, now));
            if candidates.is_empty() {
                let retry_at = now + NO_SERVER_RETRY;
                return Err(unavailable(UnavailableReason::OutdatedWeights, retry_at));
            }
        }
        if let Some(until) = earliest(&candidates, |server| server.closed_until(now)) {
            return Err(unavailable(UnavailableReason::Closed, until));
        }
        candidates.retain(|server| server.closed_until(now).is_none());
        if let Some(until) = earliest(&candidates, |server| server.health.suspended_until(now)) {
            return Err(unavailable(UnavailableReason::Unreachable, until));
        }
        candidates.retain(|server| server.health.suspended_until(now).is_none());
        match wanted.prompt {
            Some(prompt) => Ok(self.choose_engine(&candidates, prompt, wanted, now)),
            None => self.choose_plain(&candidates, now),
        }
    }

    fn has_usable_weights(&self, server: &Server, model: &ModelId, now: Instant) -> bool {
        let Some(held) = server.weights.get(model) else { return false };
        let since = self.targets.get(model).and_then(|target| target.outdated_since(*held));
        since.is_none_or(|since| now < since + OLD_WEIGHTS_LIMIT)
    }

    fn choose_plain(&self, candidates: &[&Server], now: Instant) -> Result<Choice, Unavailable> {
        let mut costs: Vec<(f64, &Server)> = Vec::with_capacity(candidates.len());
        for server in candidates {
            let requests = server.total_load(now).requests;
            let slots = server.entry.slots.max(1);
            if requests >= slots.saturating_mul(PLAIN_QUEUE_FACTOR) {
                continue;
            }
            let waiting = requests.saturating_sub(slots - 1);
            let taken = f64::from(requests) / f64::from(slots);
            let queue_ms = f64::from(waiting) / f64::from(slots) * PLAIN_CALL_MS;
            let cost_ms = queue_ms
                + taken * PLAIN_CALL_MS / 2.0
                + self.zone_cost_ms(server)
                + server.health.cost_ms(now);
            costs.push((cost_ms, *server));
        }
        let Some((best, runner_up)) = two_cheapest(&costs) else {
            let call = Duration::from_millis(PLAIN_CALL_MS as u64) * PLAIN_QUEUE_FACTOR;
            return Err(unavailable(UnavailableReason::Closed, now + call));
        };
        let load = ServerLoad { requests: 1, ..ServerLoad::default() };
        let slots = best.1.entry.slots.max(1);
        let waiting = best.1.total_load(now).requests.saturating_sub(slots - 1);
        let expected_ms = f64::from(waiting) / f64::from(slots) * PLAIN_CALL_MS;
        Ok(choice(best, expected_ms, runner_up, None, load))
    }

    fn choose_engine(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        wanted: Wanted<'_>,
        now: Instant,
    ) -> Choice {
        let wall = wanted.wall;
        let pool = self.long_run_pool(candidates, prompt, now);
        let home_key = self.home_key(candidates, prompt, wall, now);
        let mut ranked: Vec<&Server> = candidates.to_vec();
        ranked.sort_by_key(|server| {
            let rank = rendezvous_rank(server.id_hash, home_key);
            (pool.contains(&server.entry.id) != prompt.is_long_run(), std::cmp::Reverse(rank))
        });
        let mut costs = Vec::with_capacity(ranked.len());
        let mut plans = Vec::with_capacity(ranked.len());
        for (rank, server) in ranked.iter().enumerate() {
            let plan = self.plan(server, ranked[0], prompt, wall, rank, now);
            let expected_ms = self.engine_expected_ms(server, &plan, wanted.priority, now);
            let mut cost_ms = expected_ms + self.engine_cost_ms(server, prompt, &plan, now);
            cost_ms += pool_cost_ms(prompt, pool.contains(&server.entry.id));
            costs.push((cost_ms, *server));
            plans.push((plan, expected_ms));
        }
        let (best, runner_up) = two_cheapest(&costs).expect("there is a candidate");
        let position = ranked
            .iter()
            .position(|server| server.entry.id == best.1.entry.id)
            .expect("the best is one of the ranked");
        let (plan, expected_ms) = plans.swap_remove(position);
        let load = ServerLoad {
            requests: 1,
            long_runs: u32::from(prompt.is_long_run()),
            unread_tokens: UnreadTokens::new(wanted.priority, plan.unread_tokens),
            memory_tokens: u64::from(prompt.own_tokens() + prompt.expected_output_tokens()),
        };
        choice(best, expected_ms, runner_up, Some(plan.choice), load)
    }

    /// Returns the servers that take long runs: as many as these need, the same on all nodes, those
    /// with the newest weights first.
    fn long_run_pool(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        now: Instant,
    ) -> Vec<ServerId> {
        let long_runs = self.long_tokens.per_s(now) * LONG_RUN_TOKEN_MS / 1_000.0;
        let wanted = (long_runs / LONG_RUNS_PER_SERVER).ceil() as usize;
        let size = wanted.clamp(1, (candidates.len() / 2).max(1));
        let held = |server: &Server| server.weights.get(&prompt.model).copied().unwrap_or_default();
        let mut ranked: Vec<&&Server> = candidates.iter().collect();
        ranked.sort_by_key(|server| std::cmp::Reverse((held(server), server.id_hash)));
        ranked.into_iter().take(size).map(|server| server.entry.id.clone()).collect()
    }

    /// Returns the key whose homes a prompt goes to: its deepest shared prefix, or before the store
    /// has a long one, that one, so that one server reads it for all.
    fn home_key(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        wall: Option<&str>,
        now: Instant,
    ) -> PrefixKey {
        let newest = candidates.iter().filter_map(|server| server.weights.get(&prompt.model)).max();
        let salt = cache_salt(prompt, newest.copied().unwrap_or_default(), wall);
        let keys = prompt.shared_keys(&salt);
        let is_unread = |(key, tokens): &(&PrefixKey, u32)| {
            *tokens >= LEAST_KEPT_TOKENS && !self.kept.is_stored(**key, now)
        };
        let unread = keys.iter().zip(prompt.shared_part_tokens()).find(is_unread);
        let key = match unread.filter(|_| self.kv_store.is_some()) {
            Some((key, _)) => Some(*key),
            None => prompt.shared_keys(wall.unwrap_or_default()).last().copied(),
        };
        key.unwrap_or_else(|| prompt.own_key())
    }

    /// Works out what a server would read, fetch and save of a prompt whose home is `home`.
    fn plan(
        &self,
        server: &Server,
        home: &Server,
        prompt: &Prompt,
        wall: Option<&str>,
        rank: usize,
        now: Instant,
    ) -> EnginePlan {
        let weights = server.weights.get(&prompt.model).copied().unwrap_or_default();
        let cache_salt = cache_salt(prompt, weights, wall);
        let keys = prompt.shared_keys(&cache_salt);
        let id = &server.entry.id;
        let is_held = |key: &PrefixKey| self.kept.holder(*key, now) == Some(id);
        let held = keys.iter().take_while(|key| is_held(key)).count();
        let tokens: Vec<u32> = prompt.shared_part_tokens().collect();
        let missing: u32 = tokens[held..].iter().sum();
        let mut plan = EnginePlan::default();
        let is_other_home = rank > 0 && home.weights.get(&prompt.model) == Some(&weights);
        let home_has = is_other_home
            && keys.last().is_some_and(|key| {
                self.kept.holder(*key, now).is_some_and(|holder| *holder == home.entry.id)
            });
        let stored = keys.iter().rposition(|key| self.kept.is_stored(*key, now));
        let stored = stored.map_or(0, |last| last + 1);
        let stored_missing: u32 = tokens[held..stored.max(held)].iter().sum();
        if missing > 0 && home_has {
            plan.choice.fetch_from = Some(home.entry.address);
            plan.fetched_tokens = missing;
        } else if let Some(store) = self.kv_store.as_ref().filter(|_| stored_missing > 0) {
            let fetch_s = store.transfer_s(stored_missing);
            if store.may_fetch(fetch_s, now) {
                plan.choice.fetch_from = Some(store.address());
                plan.choice.fetch_s = fetch_s;
                plan.fetched_tokens = stored_missing;
            }
        }
        if plan.choice.fetch_from.is_none() && missing > 0 && is_other_home {
            // The home may have it from another node's request; a miss costs a millisecond.
            plan.choice.fetch_from = Some(home.entry.address);
        }
        self.plan_save(&mut plan.choice, prompt, &keys, &tokens, now);
        let read = keys.iter().zip(&tokens).skip(held);
        let is_known = |key: &PrefixKey| self.kept.holder(*key, now).is_some();
        let known: u32 = read.filter(|(key, _)| is_known(key)).map(|(_, tokens)| tokens).sum();
        plan.read_again_tokens = known.saturating_sub(plan.fetched_tokens);
        plan.unread_tokens = missing - plan.fetched_tokens + prompt.own_tokens();
        plan.choice.weights = weights;
        plan.choice.cache_salt = cache_salt;
        plan.choice.keys = keys;
        plan.choice.rank = rank;
        plan
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
        let is_long = |tokens: u32| tokens >= LEAST_KEPT_TOKENS;
        let mut unsaved = keys
            .iter()
            .zip(tokens)
            .enumerate()
            .filter(|(_, (key, tokens))| is_long(**tokens) && self.kept.is_unsaved(**key, now));
        let Some((level, _)) = unsaved.next() else { return };
        let save_s = store.transfer_s(prompt.prompt_tokens);
        let is_first = level == 0 && keys.len() > 1;
        if is_first || store.may_save(save_s, now) {
            choice.save_to = Some(store.address());
            choice.save_s = save_s;
        }
    }

    /// Returns the milliseconds until a server has read the prompt, behind what is as urgent.
    fn engine_expected_ms(
        &self,
        server: &Server,
        plan: &EnginePlan,
        priority: u8,
        now: Instant,
    ) -> f64 {
        let ahead = server.total_load(now).unread_tokens.ahead_of(priority);
        let ahead = f64::from(ahead) + server.herd_tokens(now);
        let mut expected_ms = (ahead + f64::from(plan.unread_tokens)) / READ_TOKENS_PER_MS;
        if plan.fetched_tokens > 0 {
            let fetched = f64::from(plan.fetched_tokens) / 1_000.0;
            expected_ms += FETCH_COST_MS + fetched * FETCH_1K_TOKENS_MS;
        }
        expected_ms
    }

    /// Returns what speaks against a server beside the time until it answers.
    fn engine_cost_ms(
        &self,
        server: &Server,
        prompt: &Prompt,
        plan: &EnginePlan,
        now: Instant,
    ) -> f64 {
        let load = server.total_load(now);
        let mut cost_ms = f64::from(load.requests) * REQUEST_COST_MS;
        cost_ms += RANK_COST_MS[plan.choice.rank.min(RANK_COST_MS.len() - 1)];
        cost_ms += f64::from(plan.read_again_tokens) / 1_000.0 * READ_AGAIN_COST_MS;
        cost_ms += self.old_weights_cost_ms(prompt, plan.choice.weights, now);
        cost_ms += self.room_cost_ms(server, load, prompt);
        cost_ms + self.zone_cost_ms(server) + server.health.cost_ms(now)
    }

    fn old_weights_cost_ms(&self, prompt: &Prompt, held: WeightsRevision, now: Instant) -> f64 {
        let since = self.targets.get(&prompt.model).and_then(|target| target.outdated_since(held));
        match since {
            None => 0.0,
            Some(since) if now >= since + OLD_WEIGHTS_GRACE => OLD_WEIGHTS_COST_MS,
            Some(_) if prompt.is_long_run() => LONG_RUN_OLD_WEIGHTS_COST_MS,
            Some(_) => 0.0,
        }
    }

    fn room_cost_ms(&self, server: &Server, load: ServerLoad, prompt: &Prompt) -> f64 {
        let slots = server.entry.slots.max(1);
        let mut cost_ms = f64::from(load.requests / slots) * NO_ROOM_COST_MS;
        let capacity = self.kv_capacity_tokens.get(&server.entry.service).copied();
        if let Some(capacity) = capacity.filter(|capacity| *capacity > 0) {
            let needed = load.memory_tokens + u64::from(prompt.prompt_tokens);
            if needed as f64 > capacity as f64 * MEMORY_PART {
                cost_ms += NO_ROOM_COST_MS * needed as f64 / capacity as f64;
            }
        }
        cost_ms
    }

    fn zone_cost_ms(&self, server: &Server) -> f64 {
        let is_near = server.entry.availability_zone == self.availability_zone;
        if is_near { 0.0 } else { OTHER_ZONE_COST_MS }
    }
}

#[derive(Default)]
struct EnginePlan {
    unread_tokens: u32,
    read_again_tokens: u32,
    fetched_tokens: u32,
    choice: PromptChoice,
}

/// Returns the name under which prefixes are cached: no other weights, and no workspace beyond a
/// wall, have the same.
fn cache_salt(prompt: &Prompt, weights: WeightsRevision, wall: Option<&str>) -> SmolStr {
    match wall {
        Some(wall) => format_smolstr!("{}/{weights}/{wall}", prompt.model),
        None => format_smolstr!("{}/{weights}", prompt.model),
    }
}

fn pool_cost_ms(prompt: &Prompt, is_in_pool: bool) -> f64 {
    match (prompt.is_long_run(), is_in_pool) {
        (true, false) => OUTSIDE_POOL_COST_MS,
        (false, true) => INSIDE_POOL_COST_MS,
        (true, true) | (false, false) => 0.0,
    }
}

type Costed<'a> = (f64, &'a Server);

fn choice(
    best: Costed<'_>,
    expected_ms: f64,
    runner_up: Option<Costed<'_>>,
    prompt: Option<PromptChoice>,
    load: ServerLoad,
) -> Choice {
    let entry = &best.1.entry;
    Choice {
        server: entry.id.clone(),
        address: entry.address,
        availability_zone: entry.availability_zone.clone(),
        cost_ms: best.0,
        expected_ms,
        runner_up: runner_up.map(|(cost_ms, server)| (server.entry.id.clone(), cost_ms)),
        prompt,
        load,
    }
}

fn unavailable(reason: UnavailableReason, retry_at: Instant) -> Unavailable {
    Unavailable { reason, retry_at }
}

/// Drops the servers that are not preferred, unless that would drop all.
fn keep_preferred(candidates: &mut Vec<&Server>, is_preferred: impl Fn(&Server) -> bool) {
    if candidates.iter().any(|server| is_preferred(server)) {
        candidates.retain(|server| is_preferred(server));
    }
}

/// Returns the earliest time until which a server is barred, if all are.
fn earliest(
    candidates: &[&Server],
    barred_until: impl Fn(&Server) -> Option<Instant>,
) -> Option<Instant> {
    let times: Option<Vec<Instant>> =
        candidates.iter().map(|server| barred_until(server)).collect();
    times?.into_iter().min()
}

fn two_cheapest<'a>(costs: &[Costed<'a>]) -> Option<(Costed<'a>, Option<Costed<'a>>)> {
    let mut best: Option<Costed<'a>> = None;
    let mut second: Option<Costed<'a>> = None;
    for &costed in costs {
        if best.is_none_or(|(cost_ms, _)| costed.0 < cost_ms) {
            second = best;
            best = Some(costed);
        } else if second.is_none_or(|(cost_ms, _)| costed.0 < cost_ms) {
            second = Some(costed);
        }
    }
    best.map(|best| (best, second))
}
