//! Immutable view of the routing state, by which traffic threads choose servers.

use super::config::RoutingConfig;
use super::fleet::{Fleet, ModelInfo, ServerIndex, ServerInfo};
use super::homes::ranked_servers;
use super::load::ServerState;
use super::messages::{Expectation, RouteDecision, RouteQuery, RouteReason, RoutingPolicy};
use super::prefix_index::PrefixMap;
use super::score::{PromptLookup, Score, ScoreInput};
use crate::document::ScoreWeights;
use crate::types::{Incarnation, ModelId, ServerId};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum pseudo-random seconds added to a score, to spread requests over equally good servers.
const MAX_TIE_BREAK_S: f64 = 0.000_1;
/// Servers ranked after the last home that are scored too, as fallback for loaded homes.
const FALLBACK_HOMES: usize = 2;
/// Score weights of a workspace that is not in the document.
const DEFAULT_WEIGHTS: ScoreWeights =
    ScoreWeights { first_token: 1.0, recomputation: 0.5, zone_link: 1.0 };

/// Servers that may serve a model.
#[derive(Clone, Debug)]
pub struct ModelServers {
    /// Settings of the model in the document.
    pub info: ModelInfo,
    /// Index and name hash of each server, ordered by index.
    pub servers: Arc<[(ServerIndex, u64)]>,
}

/// Immutable view of the routing state; a clone shares its data.
#[derive(Clone, Debug)]
pub struct RoutingView {
    pub(super) policy: RoutingPolicy,
    pub(super) config: Arc<RoutingConfig>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) servers: imbl::Vector<Arc<ServerState>>,
    pub(super) models: Arc<HashMap<ModelId, ModelServers>>,
    pub(super) prefixes: PrefixMap,
    pub(super) live_nodes: u32,
    pub(super) next_turn: Arc<AtomicUsize>,
}

/// Server that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct EligibleServer<'a> {
    pub(super) index: ServerIndex,
    pub(super) state: &'a ServerState,
    pub(super) info: &'a ServerInfo,
    /// Rank among the servers for the anchor, 0 for the first home; `None` if it was not ranked.
    home_rank: Option<usize>,
}

/// Preference class of a server; a server of an earlier variant wins whatever its score.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    /// The server can take the request.
    Ready,
    /// This node has more than its share of requests in progress on the server.
    Overloaded,
    /// The server failed recently.
    BackingOff,
}

/// Server with its score.
#[derive(Clone, Copy, Debug)]
struct ScoredServer<'a> {
    server: EligibleServer<'a>,
    score: Score,
    is_home: bool,
    tier: Tier,
}

impl Default for RoutingView {
    fn default() -> Self {
        super::RoutingState::default().view()
    }
}

impl RoutingView {
    /// Returns the server chosen for `query`, `None` if no server is eligible.
    pub fn route(&self, query: &RouteQuery, now: Instant) -> Option<RouteDecision> {
        let model = self.models.get(&query.model)?;
        match self.policy {
            RoutingPolicy::Coriandertide => self.route_by_score(query, model, now),
            RoutingPolicy::RoundRobin
            | RoutingPolicy::LeastOutstanding
            | RoutingPolicy::PrefixHash => self.route_by_baseline(query, model, now),
        }
    }

    /// Counts a request as in progress on `server` until [`RoutingView::end_request`].
    pub fn begin_request(&self, server: &ServerId, expected_prefill_tokens: u32) {
        if let Some(info) = self.info(server) {
            info.counters.begin_request(expected_prefill_tokens);
        }
    }

    /// Subtracts the tokens passed to [`RoutingView::begin_request`] once the first token was
    /// received.
    pub fn finish_prefill(&self, server: &ServerId, expected_prefill_tokens: u32) {
        if let Some(info) = self.info(server) {
            info.counters.finish_prefill(expected_prefill_tokens);
        }
    }

    /// Ends the count that [`RoutingView::begin_request`] started. `pending_prefill_tokens` is 0
    /// after [`RoutingView::finish_prefill`], otherwise the tokens passed to `begin_request`.
    pub fn end_request(&self, server: &ServerId, pending_prefill_tokens: u32) {
        if let Some(info) = self.info(server) {
            info.counters.finish_prefill(pending_prefill_tokens);
            info.counters.end_request();
        }
    }

    /// Returns the current incarnation of `server`, `None` while it is unknown or unconfirmed.
    pub fn incarnation(&self, server: &ServerId) -> Option<Incarnation> {
        self.state(self.fleet.index(server)?)?.incarnations.confirmed()
    }

    fn info(&self, server: &ServerId) -> Option<&ServerInfo> {
        let index = self.fleet.index(server)?;
        self.state(index)?.info.as_deref()
    }

    pub(super) fn state(&self, index: ServerIndex) -> Option<&ServerState> {
        self.servers.get(index as usize).map(Arc::as_ref)
    }

    /// Returns the server at `index` if it is in service and `query` does not exclude it.
    fn eligible(
        &self,
        query: &RouteQuery,
        index: ServerIndex,
        home_rank: Option<usize>,
    ) -> Option<EligibleServer<'_>> {
        let state = self.state(index).filter(|state| state.is_in_service())?;
        let info = state.info.as_deref()?;
        let is_excluded = query.excluded.contains(&info.id);
        (!is_excluded).then_some(EligibleServer { index, state, info, home_rank })
    }

    fn route_by_baseline(
        &self,
        query: &RouteQuery,
        model: &ModelServers,
        now: Instant,
    ) -> Option<RouteDecision> {
        let all = model.servers.iter().filter_map(|&(index, _)| self.eligible(query, index, None));
        let mut eligible: Vec<EligibleServer<'_>> = all.collect();
        if eligible.iter().any(|server| !server.state.is_backing_off(now)) {
            eligible.retain(|server| !server.state.is_backing_off(now));
        }
        let (chosen, reason) = match self.policy {
            RoutingPolicy::LeastOutstanding => self.least_outstanding(&eligible)?,
            RoutingPolicy::PrefixHash => self.prefix_hash(query, &eligible)?,
            RoutingPolicy::RoundRobin | RoutingPolicy::Coriandertide => {
                self.round_robin(&eligible)?
            }
        };
        Some(RouteDecision {
            server: chosen.info.id.clone(),
            address: chosen.info.address,
            runner_up: None,
            expected_hit_tokens: 0,
            queued_requests: chosen.info.counters.outstanding_requests(),
            reason,
            import_keys: Vec::new(),
            expectation: Expectation::default(),
        })
    }

    fn route_by_score(
        &self,
        query: &RouteQuery,
        model: &ModelServers,
        now: Instant,
    ) -> Option<RouteDecision> {
        let prompt = PromptLookup::new(&query.levels, &self.prefixes, now);
        let input = ScoreInput {
            config: &self.config,
            model: &model.info,
            weights: self.score_weights(query),
            live_nodes: self.live_nodes,
            now,
        };
        let seed = xxh3_64(query.request.as_bytes());
        let mut best: Option<ScoredServer<'_>> = None;
        let mut second: Option<ScoredServer<'_>> = None;
        for server in self.candidates(query, model, &prompt, seed) {
            let scored = self.score_server(server, &prompt, &input, seed);
            if best.as_ref().is_none_or(|best| scored.is_before(best)) {
                second = best.replace(scored);
            } else if second.as_ref().is_none_or(|second| scored.is_before(second)) {
                second = Some(scored);
            }
        }
        let best = best?;
        Some(RouteDecision {
            server: best.server.info.id.clone(),
            address: best.server.info.address,
            runner_up: second.map(|second| second.server.info.id.clone()),
            expected_hit_tokens: best.score.hit.tokens as u32,
            queued_requests: best.score.load.requests as u32,
            reason: best.reason(),
            import_keys: if best.score.uses_import { prompt.import_keys() } else { Vec::new() },
            expectation: Expectation {
                wait_ms: (best.score.wait_s * 1_000.0) as u32,
                cached_level: prompt.cached_level(best.server.index, best.server.state),
                is_home: best.is_home,
            },
        })
    }

    fn score_weights(&self, query: &RouteQuery) -> ScoreWeights {
        self.fleet.score_weights.get(&query.workspace).copied().unwrap_or(DEFAULT_WEIGHTS)
    }

    /// Returns the servers to score: all of a small set, otherwise homes, holders and a sample.
    fn candidates(
        &self,
        query: &RouteQuery,
        model: &ModelServers,
        prompt: &PromptLookup<'_>,
        seed: u64,
    ) -> Vec<EligibleServer<'_>> {
        let servers = &model.servers;
        let homes = prompt.home_count() as usize;
        let ranked =
            ranked_servers(servers.iter().copied(), prompt.anchor_key(), homes + FALLBACK_HOMES);
        let mut candidates: Vec<EligibleServer<'_>> = Vec::with_capacity(servers.len().min(64));
        for ranked in ranked {
            candidates.extend(self.eligible(query, ranked.server, Some(candidates.len())));
        }
        let mut push = |index: ServerIndex| {
            if candidates.iter().all(|known| known.index != index) {
                candidates.extend(self.eligible(query, index, None));
            }
        };
        if servers.len() <= self.config.max_full_scan_servers {
            servers.iter().for_each(|&(index, _)| push(index));
            return candidates;
        }
        let is_server_of_model =
            |index: &ServerIndex| servers.binary_search_by_key(index, |&(index, _)| index).is_ok();
        prompt.holders().filter(is_server_of_model).for_each(&mut push);
        for step in 0..self.config.sampled_servers as u64 {
            let position = (seed.rotate_left(8 * step as u32) % servers.len() as u64) as usize;
            push(servers[position].0);
        }
        candidates
    }

    fn score_server<'a>(
        &self,
        server: EligibleServer<'a>,
        prompt: &PromptLookup<'_>,
        input: &ScoreInput<'_>,
        seed: u64,
    ) -> ScoredServer<'a> {
        let EligibleServer { index, state, info, home_rank } = server;
        let mut score = input.score(prompt, index, state, info, home_rank);
        let tie_break =
            super::homes::rendezvous_hash(info.name_hash, seed) as f64 / u64::MAX as f64;
        score.cost_s += tie_break * MAX_TIE_BREAK_S;
        let is_home = home_rank.is_some_and(|rank| rank < prompt.home_count() as usize);
        ScoredServer { server, score, is_home, tier: self.tier(state, info, input.now) }
    }

    fn tier(&self, state: &ServerState, info: &ServerInfo, now: Instant) -> Tier {
        if state.is_backing_off(now) {
            return Tier::BackingOff;
        }
        let node_share = f64::from(info.concurrent_requests) / f64::from(self.live_nodes.max(1));
        let limit = (node_share * self.config.overload_factor).ceil() + 1.0;
        let own_requests = f64::from(info.counters.outstanding_requests());
        if own_requests > limit { Tier::Overloaded } else { Tier::Ready }
    }
}

impl ScoredServer<'_> {
    /// Whether this server is preferred to `other`.
    fn is_before(&self, other: &Self) -> bool {
        let by_score = self.score.cost_s.total_cmp(&other.score.cost_s);
        self.tier.cmp(&other.tier).then(by_score).is_lt()
    }

    fn reason(&self) -> RouteReason {
        if self.score.uses_import {
            RouteReason::Import
        } else if self.score.hit.is_likely_cached {
            RouteReason::CachedPrefix
        } else if self.is_home {
            RouteReason::Home
        } else {
            RouteReason::Spill
        }
    }
}
