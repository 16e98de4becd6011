//! Exchange of server loads between nodes.
//!
//! While every node has a link to every other one, each node sends its own load. Beyond that number
//! of nodes they form a tree, and a node sends each neighbour the sum of its own load and of the
//! loads received from the other neighbours. Each load thus reaches every node once. A message on
//! the tree lists the servers that changed most, and the newest prefixes, up to a fixed number, so
//! that messages grow neither with the number of nodes nor with that of servers.

use super::fleet::Fleet;
use super::health::SilenceChange;
use super::load_changes::{SentUpdates, Suspicion};
use super::prefix_index::CachedPrefix;
use super::prompt::PrefixKey;
use super::server::{ServerLoad, ServerUpdate, UpdateScope};
use crate::decision::membership::TreePlace;
use crate::types::{InstanceId, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use strum::Display;

/// Period in which a node sends its load.
const LOAD_PERIOD: Duration = Duration::from_millis(100);

/// Period during a rollout, which waits for requests to end, between nodes that are all linked to
/// each other.
const SHORT_LOAD_PERIOD: Duration = Duration::from_millis(50);

/// Time after which an unchanged load is sent again; less than its lifetime at the partners.
const LOAD_REPEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// Time that the reports of other nodes about servers take along the tree: a report of a suspected
/// server and the answer of a node with contact.
const TREE_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Minimum time between two rounds on the tree if news about the contact with a server arrives.
const MIN_ROUND_GAP: Duration = Duration::from_millis(40);

/// Maximum stored and maximum cached prefixes that wait to be sent to a neighbour. Prefixes beyond
/// that are dropped: the neighbour learns of them by using them.
const MAX_PENDING_PREFIXES: usize = 2_048;

/// Maximum stored prefixes in a message on the tree; the others wait for the next one.
const MAX_STORED_PER_MESSAGE: usize = 64;

/// Maximum cached prefixes in a message on the tree. Older ones are dropped, since engines evict
/// prefixes within seconds.
const MAX_CACHED_PER_MESSAGE: usize = 24;

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
    /// Whether `servers` lists changes only, rather than all servers with requests.
    #[serde(default)]
    pub is_partial: bool,
}

impl RelayLoad {
    fn scope(&self) -> UpdateScope {
        if self.is_partial { UpdateScope::Changes } else { UpdateScope::AllServers }
    }
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
    /// Nodes and loads of the last message that listed all servers.
    last_sent: Option<(u32, Vec<(ServerId, ServerLoad)>)>,
    /// What the neighbour knows from messages that listed changes.
    sent_updates: SentUpdates,
    /// When to send even an unchanged load.
    repeat_at: Option<Instant>,
    /// Stored prefixes to send to the neighbour.
    stored: Vec<PrefixKey>,
    /// Cached prefixes to send to the neighbour.
    cached: Vec<CachedPrefix>,
}

impl Neighbour {
    /// Whether the neighbour must get a message even if no load has changed.
    fn needs_message(&self, now: Instant) -> bool {
        let is_repeat_due = self.repeat_at.is_none_or(|at| at <= now);
        is_repeat_due || !self.stored.is_empty() || !self.cached.is_empty()
    }
}

/// Exchange of loads with all neighbours.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    /// Whether loads are forwarded along a tree of nodes.
    is_tree: bool,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    /// When the next round of load messages is due.
    next_round_at: Instant,
    /// When the last round was sent.
    last_round_at: Instant,
}

impl LoadExchange {
    /// Returns the exchange of a node without neighbours.
    pub fn new(now: Instant) -> Self {
        Self { is_tree: false, neighbours: BTreeMap::new(), next_round_at: now, last_round_at: now }
    }

    /// Whether loads are forwarded along a tree, so that they arrive later.
    pub fn is_tree(&self) -> bool {
        self.is_tree
    }

    /// Returns the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.keys()
    }

    /// Sets this node's neighbours; `is_tree` says whether loads are forwarded along a tree.
    /// Returns whether the neighbours have changed.
    pub fn set_place(&mut self, place: &TreePlace, is_tree: bool, fleet: &mut Fleet) -> bool {
        self.is_tree = is_tree;
        fleet.set_report_delay(if is_tree { TREE_REPORT_DELAY } else { Duration::ZERO });
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

    /// Starts the exchange with a neighbour anew, after the link to it was opened: neither side
    /// knows what the other still has of the messages before.
    pub fn restart(&mut self, peer: &InstanceId, fleet: &mut Fleet) {
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            fleet.remove_partner(peer);
            *neighbour = Neighbour { nodes: neighbour.nodes, ..Neighbour::default() };
        }
    }

    /// Whether a round of load messages is due; if so, schedules the next one.
    pub fn start_round_if_due(&mut self, is_rollout: bool, now: Instant) -> bool {
        if now < self.next_round_at {
            return false;
        }
        self.last_round_at = now;
        let is_short = is_rollout && !self.is_tree;
        self.next_round_at = now + if is_short { SHORT_LOAD_PERIOD } else { LOAD_PERIOD };
        true
    }

    /// Queues the prefixes that this node had saved or cached since the last call.
    pub fn queue_new_prefixes(&mut self, fleet: &mut Fleet) {
        let (stored, cached) =
            (fleet.prefixes.take_newly_stored(), fleet.prefixes.take_newly_cached());
        self.queue_prefixes(None, &stored, &cached);
    }

    /// Returns the next message for a neighbour, `None` if it needs none.
    pub fn next_message(
        &mut self,
        peer: &InstanceId,
        fleet: &Fleet,
        now: Instant,
    ) -> Option<RelayLoad> {
        if self.is_tree {
            return self.next_tree_message(peer, fleet, now);
        }
        let neighbour = self.neighbours.get_mut(peer)?;
        let mut load = RelayLoad {
            nodes: 1,
            servers: fleet.local_updates(now),
            decode_tokens_per_s: fleet.decode_rate.local_tokens_per_s(now).round() as u32,
            ..RelayLoad::default()
        };
        let loads: Vec<(ServerId, ServerLoad)> =
            load.servers.iter().map(|update| (update.server.clone(), update.load)).collect();
        let is_unchanged = neighbour.last_sent.as_ref() == Some(&(load.nodes, loads.clone()));
        if is_unchanged && !neighbour.needs_message(now) {
            return None;
        }
        neighbour.repeat_at = Some(now + LOAD_REPEAT_PERIOD);
        neighbour.last_sent = Some((load.nodes, loads));
        load.stored = std::mem::take(&mut neighbour.stored);
        load.cached = std::mem::take(&mut neighbour.cached);
        Some(load)
    }

    /// Returns the next message along the tree: what changed at this node and beyond its other
    /// neighbours.
    fn next_tree_message(
        &mut self,
        peer: &InstanceId,
        fleet: &Fleet,
        now: Instant,
    ) -> Option<RelayLoad> {
        let others = self.neighbours.iter().filter(|(other, _)| *other != peer);
        let nodes = 1 + others.map(|(_, other)| other.nodes).sum::<u32>();
        let neighbour = self.neighbours.get_mut(peer)?;
        let servers = neighbour.sent_updates.take_changes(peer, fleet, now);
        if servers.is_empty() && !neighbour.needs_message(now) {
            return None;
        }
        neighbour.repeat_at = Some(now + LOAD_REPEAT_PERIOD);
        let stored_len = neighbour.stored.len().min(MAX_STORED_PER_MESSAGE);
        let cached = std::mem::take(&mut neighbour.cached);
        let newest = cached.len().saturating_sub(MAX_CACHED_PER_MESSAGE);
        Some(RelayLoad {
            nodes,
            servers,
            stored: neighbour.stored.drain(..stored_len).collect(),
            cached: cached[newest..].to_vec(),
            decode_tokens_per_s: fleet.decode_rate.tokens_per_s_without(Some(peer), now).round()
                as u32,
            is_partial: true,
        })
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
        let known = self.suspicions(&load.servers, fleet, now);
        let changes = fleet.apply_updates(peer, &load.servers, load.scope(), now);
        fleet.prefixes.add_stored_by_partner(&load.stored, now);
        let newer = self.suspicions(&load.servers, fleet, now);
        if known.into_iter().zip(newer).any(|(known, newer)| known.has_changed(newer)) {
            self.next_round_at = self.next_round_at.min(self.last_round_at + MIN_ROUND_GAP);
        }
        fleet.prefixes.add_cached_by_partner(&load.cached, now);
        Ok(changes)
    }

    /// Returns the suspicion of each server in `updates`. Between nodes that are all linked to each
    /// other nothing is forwarded, so that none is of interest.
    fn suspicions(&self, updates: &[ServerUpdate], fleet: &Fleet, now: Instant) -> Vec<Suspicion> {
        if !self.is_tree {
            return Vec::new();
        }
        let servers = updates.iter().filter_map(|update| fleet.server(&update.server));
        servers.map(|server| Suspicion::of(server, now)).collect()
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
