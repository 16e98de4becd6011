//! All backend servers, and the choice of one for a request.
//!
//! Each candidate has a cost in milliseconds: the work that waits there, what of the prompt it would
//! have to read or fetch, the distance, and what is known of its health. All nodes rank the servers
//! of a prefix alike by rendezvous hashing, so that without a message they send it to one home, and
//! to the next ones only when the home has more work than a transfer of the prefix costs.

use super::kept_prefixes::KeptPrefixes;
use super::prompt::{PrefixKey, Prompt};
use super::server::{Server, ServerEntry, ServerLoad, ServerState};
use crate::decision::routing::homes::rendezvous_rank;
use crate::types::{AvailabilityZone, InstanceId, ModelId, ServerId, ServiceId, WeightsRevision};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Prompt tokens that an engine reads in a millisecond, by the sheets of the engines in use.
const READ_TOKENS_PER_MS: f64 = 110.0;

/// Milliseconds by which each running request slows the others.
const REQUEST_COST_MS: f64 = 1.5;

/// Milliseconds that a fetch of a prefix from the store takes, queueing included.
const FETCH_COST_MS: f64 = 30.0;

/// Cost of reading a prefix that another server has read, beside the time: the work is wasted.
const READ_AGAIN_COST_MS: f64 = 120.0;

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
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);

/// Cost of a server with older weights after that time.
const OLD_WEIGHTS_COST_MS: f64 = 300.0;

/// Time after which a server with older weights is not used any more.
const OLD_WEIGHTS_LIMIT: Duration = Duration::from_millis(6_500);

/// Wait before a caller comes back if no server is known.
const NO_SERVER_RETRY: Duration = Duration::from_millis(700);

/// Weights of a model that the servers are to have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightsTarget {
    /// Revision.
    pub revision: WeightsRevision,
    /// When this node learned of it.
    pub known_at: Instant,
}

/// Server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Server.
    pub server: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Expected milliseconds until the first token or the answer begins.
    pub expected_ms: f64,
    /// Cost of the next best server in milliseconds, none if there is no other.
    pub runner_up: Option<(ServerId, f64)>,
    /// What the choice says of a prompt.
    pub prompt: Option<PromptChoice>,
    /// Load that the request adds.
    pub load: ServerLoad,
}

/// Choice for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptChoice {
    /// Weights that the server is believed to hold.
    pub weights: WeightsRevision,
    /// Name under which the prefixes are cached.
    pub cache_salt: SmolStr,
    /// Keys of the shared prefixes.
    pub keys: Vec<PrefixKey>,
    /// Whether the server should fetch what the store has.
    pub fetches: bool,
    /// Whether the server should save the prefix to the store.
    pub saves: bool,
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
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
}

/// Backend servers known to a node.
#[derive(Clone, Debug)]
pub struct Fleet {
    availability_zone: AvailabilityZone,
    servers: BTreeMap<ServerId, Server>,
    targets: BTreeMap<ModelId, WeightsTarget>,
    kv_capacity_tokens: BTreeMap<ServiceId, u64>,
    /// Prefixes that were read lately.
    pub kept: KeptPrefixes,
    /// Address of the store of kept KV cache while it answers.
    pub kv_store: Option<SocketAddr>,
}

impl Fleet {
    /// Returns the empty fleet of a node in `availability_zone`.
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            servers: BTreeMap::new(),
            targets: BTreeMap::new(),
            kv_capacity_tokens: BTreeMap::new(),
            kept: KeptPrefixes::default(),
            kv_store: None,
        }
    }

    /// Takes in a server's report.
    pub fn set_entry(&mut self, entry: ServerEntry) {
        match self.servers.get_mut(&entry.id) {
            Some(server) => server.update(entry),
            None => {
                self.servers.insert(entry.id.clone(), Server::new(entry));
            }
        }
    }

    /// Takes in that a server's entry vanished.
    pub fn remove_entry(&mut self, id: &ServerId, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if !server.vanish(now) {
            self.servers.remove(id);
        }
    }

    /// Drops servers whose entries vanished and did not come back.
    pub fn drop_gone(&mut self, now: Instant) -> Vec<ServerId> {
        let gone: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| server.is_gone(now))
            .map(|s| s.entry.id.clone())
            .collect();
        gone.iter().for_each(|id| {
            self.servers.remove(id);
        });
        gone
    }

    /// Sets the memory of a service's engines.
    pub fn set_kv_capacity(&mut self, service: ServiceId, tokens: u64) {
        self.kv_capacity_tokens.insert(service, tokens);
    }

    /// Takes in that `revision` of a model's weights was named; returns whether it is news.
    pub fn set_target(&mut self, model: ModelId, revision: WeightsRevision, now: Instant) -> bool {
        let known = self.targets.get(&model).map_or(0, |target| target.revision);
        if revision <= known {
            return false;
        }
        self.targets.insert(model, WeightsTarget { revision, known_at: now });
        true
    }

    /// Returns the weights that the servers are to have.
    pub fn targets(&self) -> &BTreeMap<ModelId, WeightsTarget> {
        &self.targets
    }

    /// Returns the server with `id`.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the server with `id`, to change it.
    pub fn server_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Takes in the weights that a server holds, as learned from an answer or a partner.
    pub fn set_weights(&mut self, id: &ServerId, model: &ModelId, revision: WeightsRevision) {
        if let Some(server) = self.servers.get_mut(id) {
            server.weights.insert(model.clone(), revision);
        }
    }

    /// Sets the loads that a partner has at the servers.
    pub fn set_partner_loads(
        &mut self,
        partner: &InstanceId,
        loads: &[(ServerId, ServerLoad)],
        now: Instant,
    ) {
        for (id, load) in loads {
            if let Some(server) = self.servers.get_mut(id) {
                server.set_partner_load(partner.clone(), *load, now);
            }
        }
    }

    /// Returns this node's load at each server that has some.
    pub fn own_loads(&self) -> Vec<(ServerId, ServerLoad)> {
        let loaded = self.servers.values().filter(|server| server.own_load.requests > 0);
        loaded.map(|server| (server.entry.id.clone(), server.own_load)).collect()
    }

    /// Takes in that a request with `load` is sent to a server.
    pub fn begin(&mut self, id: &ServerId, attempt: u64, load: ServerLoad, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.add(load);
            server.health.note_sent(attempt, now);
        }
    }

    /// Takes in that a server has read the prompt of a request.
    pub fn note_first_answer(&mut self, id: &ServerId, attempt: u64, unread_tokens: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.unread_tokens =
                server.own_load.unread_tokens.saturating_sub(unread_tokens);
            server.health.note_ended(attempt);
        }
    }

    /// Takes in that a request with `load` has ended.
    pub fn end(&mut self, id: &ServerId, attempt: u64, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.subtract(load);
            server.health.note_ended(attempt);
        }
    }

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
            Some(prompt) => Ok(self.choose_engine(&candidates, prompt, wanted.wall, now)),
            None => self.choose_plain(&candidates, now),
        }
    }

    fn has_usable_weights(&self, server: &Server, model: &ModelId, now: Instant) -> bool {
        let Some(revision) = server.weights.get(model) else { return false };
        let Some(target) = self.targets.get(model) else { return true };
        *revision >= target.revision || now < target.known_at + OLD_WEIGHTS_LIMIT
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
            costs.push((cost_ms, server));
        }
        let Some((best, runner_up)) = two_cheapest(&costs) else {
            let call = Duration::from_millis(PLAIN_CALL_MS as u64) * PLAIN_QUEUE_FACTOR;
            return Err(unavailable(UnavailableReason::Closed, now + call));
        };
        let load = ServerLoad { requests: 1, ..ServerLoad::default() };
        Ok(choice(best, runner_up, None, load))
    }

    fn choose_engine(
        &self,
        candidates: &[&Server],
        prompt: &Prompt,
        wall: Option<&str>,
        now: Instant,
    ) -> Choice {
        let subject =
            prompt.shared_keys(wall.unwrap_or_default()).last().copied().unwrap_or_default();
        let mut ranked: Vec<&Server> = candidates.to_vec();
        ranked.sort_by_key(|server| std::cmp::Reverse(rendezvous_rank(server.id_hash, subject)));
        let mut costs = Vec::with_capacity(ranked.len());
        let mut plans = Vec::with_capacity(ranked.len());
        for (rank, server) in ranked.iter().enumerate() {
            let plan = self.plan(server, prompt, wall, rank, now);
            costs.push((self.engine_cost_ms(server, prompt, &plan, now), *server));
            plans.push(plan);
        }
        let (best, runner_up) = two_cheapest(&costs).expect("there is a candidate");
        let position = ranked
            .iter()
            .position(|server| server.entry.id == best.1.entry.id)
            .expect("the best is one of the ranked");
        let plan = plans.swap_remove(position);
        let load = ServerLoad {
            requests: 1,
            unread_tokens: plan.unread_tokens,
            memory_tokens: u64::from(prompt.own_tokens() + prompt.output_tokens),
        };
        choice(best, runner_up, Some(plan.choice), load)
    }

    fn plan(
        &self,
        server: &Server,
        prompt: &Prompt,
        wall: Option<&str>,
        rank: usize,
        now: Instant,
    ) -> EnginePlan {
        let weights = server.weights.get(&prompt.model).copied().unwrap_or_default();
        let cache_salt = match wall {
            Some(wall) => format_smolstr!("{}/{weights}/{wall}", prompt.model),
            None => format_smolstr!("{}/{weights}", prompt.model),
        };
        let keys = prompt.shared_keys(&cache_salt);
        let deepest = keys.last().copied();
        let holder = deepest.and_then(|key| self.kept.holder(key, now));
        let is_held = holder == Some(&server.entry.id);
        let is_long = prompt.shared_tokens() >= LEAST_KEPT_TOKENS && self.kv_store.is_some();
        let is_stored = deepest.is_some_and(|key| self.kept.is_stored(key, now));
        let any_stored = keys.iter().any(|key| self.kept.is_stored(*key, now));
        let shared_tokens = u64::from(prompt.shared_tokens());
        let unread_shared = if is_held || (is_long && is_stored) { 0 } else { shared_tokens };
        EnginePlan {
            is_held,
            is_read_elsewhere: holder.is_some() && !is_held,
            unread_tokens: unread_shared + u64::from(prompt.own_tokens()),
            choice: PromptChoice {
                weights,
                cache_salt,
                keys,
                fetches: is_long && any_stored,
                saves: is_long && !is_stored,
                rank,
            },
        }
    }

    fn engine_cost_ms(
        &self,
        server: &Server,
        prompt: &Prompt,
        plan: &EnginePlan,
        now: Instant,
    ) -> f64 {
        let load = server.total_load(now);
        let mut cost_ms = (load.unread_tokens + plan.unread_tokens) as f64 / READ_TOKENS_PER_MS;
        cost_ms += f64::from(load.requests) * REQUEST_COST_MS;
        cost_ms += RANK_COST_MS[plan.choice.rank.min(RANK_COST_MS.len() - 1)];
        let is_stored = plan.choice.fetches && !plan.choice.saves;
        if is_stored && !plan.is_held {
            cost_ms += FETCH_COST_MS;
        } else if plan.is_read_elsewhere {
            let shared = f64::from(prompt.shared_tokens()) / f64::from(LEAST_KEPT_TOKENS);
            cost_ms += READ_AGAIN_COST_MS * shared.min(1.0);
        }
        let target = self.targets.get(&prompt.model);
        let is_old = target.is_some_and(|target| {
            plan.choice.weights < target.revision && now >= target.known_at + OLD_WEIGHTS_GRACE
        });
        if is_old {
            cost_ms += OLD_WEIGHTS_COST_MS;
        }
        cost_ms += self.room_cost_ms(server, load, prompt);
        cost_ms + self.zone_cost_ms(server) + server.health.cost_ms(now)
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

struct EnginePlan {
    is_held: bool,
    is_read_elsewhere: bool,
    unread_tokens: u64,
    choice: PromptChoice,
}

type Costed<'a> = (f64, &'a Server);

fn choice(
    best: Costed<'_>,
    runner_up: Option<Costed<'_>>,
    prompt: Option<PromptChoice>,
    load: ServerLoad,
) -> Choice {
    let entry = &best.1.entry;
    Choice {
        server: entry.id.clone(),
        address: entry.address,
        availability_zone: entry.availability_zone.clone(),
        expected_ms: best.0,
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
