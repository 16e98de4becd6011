//! Exchange of server loads between nodes.
//!
//! While every node has a link to every other one, each node sends its own load. Beyond that number
//! of nodes they form a tree, and a node sends each neighbour the sum of its own load and of the
//! loads received from the other neighbours. Each load thus reaches every node once, and messages
//! do not grow with the number of nodes.

use super::fleet::Fleet;
use super::health::SilenceChange;
use super::prefix_index::CachedPrefix;
use super::prompt::PrefixKey;
use super::server::{ServerLoad, ServerUpdate};
use crate::decision::membership::TreePlace;
use crate::types::{InstanceId, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use strum::Display;

/// Period in which a node sends its load.
const LOAD_PERIOD: Duration = Duration::from_millis(100);

/// Period during a rollout, which waits for requests to end, and of nodes that forward loads.
const SHORT_LOAD_PERIOD: Duration = Duration::from_millis(50);

/// Time after which an unchanged load is sent again; less than its lifetime at the partners.
const LOAD_REPEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// Maximum stored and maximum cached prefixes that wait to be sent to a neighbour. Prefixes beyond
/// that are dropped: the neighbour learns of them by using them.
const MAX_PENDING_PREFIXES: usize = 2_048;

/// Load at the backend servers of the sender and of the nodes whose loads it forwards.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayLoad {
    /// Number of nodes whose requests are counted.
    pub nodes: u32,
    /// Load and contact of each server with requests.
    pub servers: Vec<ServerUpdate>,
    /// Prefixes saved to the external store of KV cache, new since the last message.
    pub stored: Vec<PrefixKey>,
    /// Prefixes with the servers that have them cached, new since the last message.
    #[serde(rename = "held")]
    pub cached: Vec<CachedPrefix>,
    /// Output tokens per second of the decode-heavy requests that these nodes sent.
    #[serde(rename = "long_tokens_per_s")]
    pub decode_tokens_per_s: u32,
}

/// Why a received load is ignored.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum IgnoredLoad {
    /// The sender is no neighbour.
    NoNeighbour,
    /// It covers more nodes than there are: nodes with different member lists may forward loads in
    /// a circle for a while.
    TooManyNodes,
}

/// State of the exchange with a neighbour.
#[derive(Clone, Debug, Default)]
struct Neighbour {
    /// Nodes that its load covers, 0 before its first message.
    nodes: u32,
    /// Nodes and loads of the last message to the neighbour.
    last_sent: Option<(u32, Vec<(ServerId, ServerLoad)>)>,
    /// When to send even an unchanged load.
    repeat_at: Option<Instant>,
    /// Stored prefixes to send to the neighbour.
    stored: Vec<PrefixKey>,
    /// Cached prefixes to send to the neighbour.
    cached: Vec<CachedPrefix>,
}

/// Exchange of loads with all neighbours.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    /// Whether loads are forwarded along a tree of nodes.
    is_tree: bool,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    /// When the next round of load messages is due.
    next_round_at: Instant,
}

impl LoadExchange {
    /// Returns the exchange of a node without neighbours.
    pub fn new(now: Instant) -> Self {
        Self { is_tree: false, neighbours: BTreeMap::new(), next_round_at: now }
    }

    /// Whether loads are forwarded along a tree, so that they arrive later.
    pub fn is_tree(&self) -> bool {
        self.is_tree
    }

    /// Whether this node forwards the loads of other nodes.
    pub fn forwards_loads(&self) -> bool {
        self.is_tree && self.neighbours.len() > 1
    }

    /// Returns the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.keys()
    }

    /// Sets this node's neighbours; `is_tree` says whether loads are forwarded along a tree.
    /// Returns whether the neighbours have changed.
    pub fn set_place(&mut self, place: &TreePlace, is_tree: bool, fleet: &mut Fleet) -> bool {
        self.is_tree = is_tree;
        let current: BTreeSet<&InstanceId> = place.neighbours().collect();
        let is_changed = !self.neighbours.keys().eq(current.iter().copied());
        for peer in self.neighbours.keys().filter(|peer| !current.contains(peer)) {
            fleet.remove_partner(peer);
        }
        self.neighbours.retain(|peer, _| current.contains(peer));
        for peer in current {
            self.neighbours.entry(peer.clone()).or_default();
        }
        is_changed
    }

    /// Whether a round of load messages is due; if so, schedules the next one.
    pub fn start_round_if_due(&mut self, is_rollout: bool, now: Instant) -> bool {
        if now < self.next_round_at {
            return false;
        }
        let is_short = is_rollout || self.forwards_loads();
        self.next_round_at = now + if is_short { SHORT_LOAD_PERIOD } else { LOAD_PERIOD };
        true
    }

    /// Queues the prefixes that this node had saved or cached since the last call.
    pub fn queue_new_prefixes(&mut self, fleet: &mut Fleet) {
        let (stored, cached) =
            (fleet.prefixes.take_newly_stored(), fleet.prefixes.take_newly_cached());
        self.queue_prefixes(None, &stored, &cached);
    }

    /// Returns the next message for a neighbour, `None` if it already has this load.
    pub fn next_message(
        &mut self,
        peer: &InstanceId,
        fleet: &Fleet,
        now: Instant,
    ) -> Option<RelayLoad> {
        let mut load = self.load_without(peer, fleet, now);
        let neighbour = self.neighbours.get_mut(peer)?;
        let is_repeat_due = neighbour.repeat_at.is_none_or(|at| at <= now);
        let loads: Vec<(ServerId, ServerLoad)> =
            load.servers.iter().map(|update| (update.server.clone(), update.load)).collect();
        let is_unchanged = neighbour.last_sent.as_ref() == Some(&(load.nodes, loads.clone()));
        let has_all_prefixes = neighbour.stored.is_empty() && neighbour.cached.is_empty();
        if is_unchanged && has_all_prefixes && !is_repeat_due {
            return None;
        }
        neighbour.repeat_at = Some(now + LOAD_REPEAT_PERIOD);
        neighbour.last_sent = Some((load.nodes, loads));
        load.stored = std::mem::take(&mut neighbour.stored);
        load.cached = std::mem::take(&mut neighbour.cached);
        Some(load)
    }

    /// Applies a neighbour's load; `live_nodes` is the number of all nodes, including this one.
    /// Returns the servers that became silent or recovered.
    ///
    /// # Errors
    ///
    /// Why the load is ignored.
    pub fn receive(
        &mut self,
        peer: &InstanceId,
        load: &RelayLoad,
        live_nodes: u32,
        fleet: &mut Fleet,
        now: Instant,
    ) -> Result<Vec<(ServerId, SilenceChange)>, IgnoredLoad> {
        let neighbour = self.neighbours.get_mut(peer).ok_or(IgnoredLoad::NoNeighbour)?;
        if load.nodes >= live_nodes.max(2) {
            return Err(IgnoredLoad::TooManyNodes);
        }
        neighbour.nodes = load.nodes;
        if self.is_tree {
            self.queue_prefixes(Some(peer), &load.stored, &load.cached);
        }
        fleet.decode_rate.set_partner_rate(peer.clone(), f64::from(load.decode_tokens_per_s), now);
        let changes = fleet.apply_updates(peer, &load.servers, now);
        fleet.prefixes.add_stored_by_partner(&load.stored, now);
        fleet.prefixes.add_cached_by_partner(&load.cached, now);
        Ok(changes)
    }

    /// Returns the load to send to `peer`: in a tree that of this node and the other neighbours,
    /// otherwise that of this node alone.
    fn load_without(&self, peer: &InstanceId, fleet: &Fleet, now: Instant) -> RelayLoad {
        if !self.is_tree {
            let decode_tokens_per_s = fleet.decode_rate.local_tokens_per_s(now).round() as u32;
            return RelayLoad {
                nodes: 1,
                servers: fleet.local_updates(now),
                decode_tokens_per_s,
                ..RelayLoad::default()
            };
        }
        let others = self.neighbours.iter().filter(|(other, _)| *other != peer);
        let nodes = 1 + others.map(|(_, other)| other.nodes).sum::<u32>();
        let decode_tokens_per_s =
            fleet.decode_rate.tokens_per_s_without(Some(peer), now).round() as u32;
        let servers = fleet.updates_without(peer, now);
        RelayLoad { nodes, servers, decode_tokens_per_s, ..RelayLoad::default() }
    }

    /// Queues prefixes for all neighbours except `source`, which sent them.
    fn queue_prefixes(
        &mut self,
        source: Option<&InstanceId>,
        stored: &[PrefixKey],
        cached: &[CachedPrefix],
    ) {
        for (peer, neighbour) in &mut self.neighbours {
            if Some(peer) == source {
                continue;
            }
            let capacity = MAX_PENDING_PREFIXES.saturating_sub(neighbour.stored.len());
            neighbour.stored.extend(stored.iter().take(capacity));
            let capacity = MAX_PENDING_PREFIXES.saturating_sub(neighbour.cached.len());
            neighbour.cached.extend(cached.iter().take(capacity).cloned());
        }
    }
}
