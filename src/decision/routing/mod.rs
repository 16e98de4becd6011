//! Choice of a backend server for a model request.
//!
//! The control thread owns a [`RoutingState`] and applies events to it; traffic threads choose
//! servers by the [`RoutingView`] that it publishes.

mod baseline;
pub mod config;
pub mod explain;
pub mod feedback;
pub mod fleet;
pub mod homes;
pub mod load;
pub mod messages;
pub mod poll;
pub mod prefix;
pub mod prefix_index;
pub mod score;
pub mod view;

pub use config::RoutingConfig;
pub use messages::*;
pub use poll::{PollConfig, PollKind, PollPlanner, PollRequest};
pub use prefix::{PrefixScope, prompt_levels};
pub use view::RoutingView;

use crate::document::Document;
use crate::types::{AvailabilityZone, ModelId, ServerId};
use fleet::{Fleet, ServerIndex, server_info};
use load::{ExcessWait, ServerState, Serving};
use prefix_index::PrefixIndex;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;
use view::ModelServers;

/// Mutable state of routing, owned by the control thread.
#[derive(Clone, Debug)]
pub struct RoutingState {
    policy: RoutingPolicy,
    own_zone: AvailabilityZone,
    config: Arc<RoutingConfig>,
    fleet: Arc<Fleet>,
    servers: imbl::Vector<Arc<ServerState>>,
    models: Arc<HashMap<ModelId, ModelServers>>,
    prefixes: PrefixIndex,
    /// Prefix keys to query the KV store for.
    store_queries: VecDeque<u64>,
    live_nodes: u32,
    /// Average excess wait of all servers, which counts against none of them.
    fleet_excess_wait: ExcessWait,
    /// When the first report stops ruling out a model, so that `models` must be recomputed.
    models_valid_until: Option<Instant>,
    /// Counter of the round-robin choices, shared by all views.
    next_turn: Arc<AtomicUsize>,
}

impl Default for RoutingState {
    fn default() -> Self {
        let zone = AvailabilityZone::default();
        Self::new(RoutingPolicy::default(), zone, RoutingConfig::default())
    }
}

impl RoutingState {
    /// Returns the state of a node that has just started in `own_zone`.
    pub fn new(policy: RoutingPolicy, own_zone: AvailabilityZone, config: RoutingConfig) -> Self {
        Self {
            policy,
            own_zone,
            config: Arc::new(config),
            fleet: Arc::new(Fleet::default()),
            servers: imbl::Vector::new(),
            models: Arc::new(HashMap::new()),
            prefixes: PrefixIndex::default(),
            store_queries: VecDeque::new(),
            live_nodes: 1,
            fleet_excess_wait: ExcessWait::default(),
            models_valid_until: None,
            next_turn: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Applies `event`.
    pub fn apply(&mut self, event: RoutingEvent, now: Instant) {
        match event {
            RoutingEvent::Document(document) => self.apply_document(&document, now),
            RoutingEvent::Leaving(servers) => self.apply_leaving(&servers),
            RoutingEvent::Load { server, report, requested_at } => {
                self.apply_load(&server, &report, requested_at, now);
            }
            RoutingEvent::CacheEvents { server, page } => self.apply_events(&server, &page, now),
            RoutingEvent::Sent(sent) => self.apply_sent(&sent, now),
            RoutingEvent::Answer(answer) => self.apply_answer(&answer, now),
            RoutingEvent::ServerFailed { server } => {
                let config = Arc::clone(&self.config);
                self.update_server(&server, |state| state.record_failure(&config, now));
            }
            RoutingEvent::LiveNodes(live_nodes) => self.live_nodes = live_nodes.max(1),
            RoutingEvent::StoredPrefixes(stored) => self.apply_stored(&stored, now),
        }
        if self.models_valid_until.is_some_and(|until| until <= now) {
            self.update_models(now);
        }
    }

    /// Returns an immutable view for the traffic threads; it shares its data with the state.
    pub fn view(&self) -> RoutingView {
        RoutingView {
            policy: self.policy,
            config: Arc::clone(&self.config),
            fleet: Arc::clone(&self.fleet),
            servers: self.servers.clone(),
            models: Arc::clone(&self.models),
            prefixes: self.prefixes.entries(),
            live_nodes: self.live_nodes,
            next_turn: Arc::clone(&self.next_turn),
        }
    }

    /// Returns the prefix index.
    pub fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// Removes and returns up to `limit` prefix keys that the KV store should be queried for.
    pub fn take_store_queries(&mut self, limit: usize) -> Vec<u64> {
        let count = self.store_queries.len().min(limit);
        self.store_queries.drain(..count).collect()
    }

    /// Returns the sequence number from which to request the cache events of `server`.
    ///
    /// Skips the oldest events if more than `max_events` are due: recent events matter more than a
    /// complete sequence.
    pub fn next_event_sequence(&mut self, server: &ServerId, max_events: u64) -> u64 {
        let mut from = 0;
        self.update_server(server, |state| {
            let reported = state.last_report.as_ref().map_or(0, |report| report.next_event);
            state.next_event = state.next_event.max(reported.saturating_sub(max_events));
            from = state.next_event;
        });
        from
    }

    /// Returns the state of `server`.
    pub fn server(&self, server: &ServerId) -> Option<&ServerState> {
        let index = self.fleet.index(server)?;
        self.servers.get(index as usize).map(Arc::as_ref)
    }

    fn apply_document(&mut self, document: &Document, now: Instant) {
        self.fleet = Arc::new(self.fleet.updated(document));
        while self.servers.len() < self.fleet.indexes.len() {
            self.servers.push_back(Arc::new(ServerState::new(None, &self.config)));
        }
        for (id, &index) in &self.fleet.indexes {
            let state = &mut self.servers[index as usize];
            let counters = state.info.as_ref().map(|info| Arc::clone(&info.counters));
            let info = server_info(document, id, &self.own_zone, counters.unwrap_or_default());
            Arc::make_mut(state).info = info.map(Arc::new);
        }
        self.update_models(now);
    }

    fn apply_leaving(&mut self, leaving: &BTreeSet<ServerId>) {
        for (id, &index) in &self.fleet.indexes {
            let state = &mut self.servers[index as usize];
            let is_leaving = leaving.contains(id);
            if state.is_listed_leaving != is_leaving {
                Arc::make_mut(state).is_listed_leaving = is_leaving;
            }
        }
    }

    fn update_server(&mut self, server: &ServerId, update: impl FnOnce(&mut ServerState)) {
        let Some(index) = self.fleet.index(server) else { return };
        if let Some(state) = self.servers.get_mut(index as usize) {
            update(Arc::make_mut(state));
        }
    }

    /// Recomputes which servers may serve each model.
    fn update_models(&mut self, now: Instant) {
        let reports = self.servers.iter().filter_map(|state| state.last_report.as_ref());
        let deadlines = reports.map(|report| report.absence_valid_until);
        self.models_valid_until = deadlines.filter(|until| now < *until).min();
        let models = self.fleet.models.iter().map(|(id, info)| {
            let servers = self.model_servers(id, info, now);
            (id.clone(), ModelServers { info: info.clone(), servers: servers.into() })
        });
        self.models = Arc::new(models.collect());
    }

    /// Returns the servers that report the model; if they are fewer than the minimum, also those
    /// whose models are unknown.
    fn model_servers(
        &self,
        model: &ModelId,
        info: &fleet::ModelInfo,
        now: Instant,
    ) -> Vec<(ServerIndex, u64)> {
        let mut serving = Vec::new();
        let mut unknown = Vec::new();
        for (index, state) in (0..).zip(self.servers.iter()) {
            let Some(server) = &state.info else { continue };
            match state.serving(model, &info.weights_version, now) {
                Serving::Yes => serving.push((index, server.name_hash)),
                Serving::Unknown => unknown.push((index, server.name_hash)),
                Serving::No => {}
            }
        }
        if serving.len() < info.min_servers {
            serving.append(&mut unknown);
            serving.sort_unstable();
        }
        serving
    }
}
