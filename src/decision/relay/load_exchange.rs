//! Exchange of loads: what all nodes have at the servers, summed along the tree of nodes.
//!
//! While every node has a link to every other, each tells its own load. Beyond that number a node
//! tells each neighbour in the tree the sum of its own load and of what the other neighbours told,
//! so that each load reaches every node once and messages don't grow with the nodes.

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

/// Period in which a node tells its load.
const LOAD_PERIOD: Duration = Duration::from_millis(100);

/// Period while a rollout waits for requests to end, and of nodes that pass on the loads of others.
const SHORT_LOAD_PERIOD: Duration = Duration::from_millis(50);

/// Time after which an unchanged load is told again; less than it holds at the partners.
const LOAD_REPEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// Prefixes that may wait for a neighbour to be told; it learns of others by using them.
const MAX_PENDING_PREFIXES: usize = 2_048;

/// Requests at backend servers, of the sender and of the nodes for which it speaks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayLoad {
    /// Nodes whose requests are counted.
    pub nodes: u32,
    /// Load and signs of each server in use.
    pub servers: Vec<ServerUpdate>,
    /// Prefixes saved to the store of kept KV cache that the receiver was not told of before.
    pub stored: Vec<PrefixKey>,
    /// Prefixes with the servers that read them, which the receiver was not told of before.
    pub held: Vec<CachedPrefix>,
    /// Output tokens a second of the long runs that these nodes started.
    pub long_tokens_per_s: u32,
}

/// Why a load is not taken in.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum IgnoredLoad {
    /// Its sender is no neighbour.
    NoNeighbour,
    /// It speaks for more nodes than there are: nodes with different member sets may pass loads on
    /// in a circle for a while.
    TooManyNodes,
}

/// What a neighbour told and was told.
#[derive(Clone, Debug, Default)]
struct Neighbour {
    /// Nodes for which it speaks, 0 before its first message.
    nodes: u32,
    /// Nodes and loads that it was told last.
    last_sent: Option<(u32, Vec<(ServerId, ServerLoad)>)>,
    repeat_at: Option<Instant>,
    /// Stored prefixes that it has not been told of.
    stored: Vec<PrefixKey>,
    /// Prefixes that servers read of which it has not been told.
    held: Vec<CachedPrefix>,
}

/// Loads that go to and come from the neighbours.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    /// Whether a neighbour is told what others told.
    is_tree: bool,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    next_at: Instant,
}

impl LoadExchange {
    /// Returns the exchange of a node without neighbours.
    pub fn new(now: Instant) -> Self {
        Self { is_tree: false, neighbours: BTreeMap::new(), next_at: now }
    }

    /// Whether loads come over several nodes, and thus later.
    pub fn is_tree(&self) -> bool {
        self.is_tree
    }

    /// Whether this node passes the loads of others on.
    pub fn forwards_loads(&self) -> bool {
        self.is_tree && self.neighbours.len() > 1
    }

    /// Returns the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.keys()
    }

    /// Takes in this node's place; `passes_on` says whether the nodes form a tree. Returns whether
    /// the neighbours are others than before.
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

    /// Whether loads are to be told now.
    pub fn start_round_if_due(&mut self, is_rollout: bool, now: Instant) -> bool {
        if now < self.next_at {
            return false;
        }
        let is_short = is_rollout || self.forwards_loads();
        self.next_at = now + if is_short { SHORT_LOAD_PERIOD } else { LOAD_PERIOD };
        true
    }

    /// Takes in the prefixes that this node had saved or read.
    pub fn queue_new_prefixes(&mut self, fleet: &mut Fleet) {
        let (stored, held) =
            (fleet.prefixes.take_newly_stored(), fleet.prefixes.take_newly_cached());
        self.queue_prefixes(None, &stored, &held);
    }

    /// Returns what a neighbour is to be told, none if it knows that.
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
        let knows_prefixes = neighbour.stored.is_empty() && neighbour.held.is_empty();
        if is_unchanged && knows_prefixes && !is_repeat_due {
            return None;
        }
        neighbour.repeat_at = Some(now + LOAD_REPEAT_PERIOD);
        neighbour.last_sent = Some((load.nodes, loads));
        load.stored = std::mem::take(&mut neighbour.stored);
        load.held = std::mem::take(&mut neighbour.held);
        Some(load)
    }

    /// Takes in what a neighbour told; `live_nodes` are all nodes, this one included. Returns the
    /// servers that fell silent or were heard again by that.
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
            self.queue_prefixes(Some(peer), &load.stored, &load.held);
        }
        fleet.decode_rate.set_partner_rate(peer.clone(), f64::from(load.long_tokens_per_s), now);
        let changes = fleet.apply_updates(peer, &load.servers, now);
        fleet.prefixes.add_stored_by_partner(&load.stored, now);
        fleet.prefixes.add_cached_by_partner(&load.held, now);
        Ok(changes)
    }

    fn load_without(&self, peer: &InstanceId, fleet: &Fleet, now: Instant) -> RelayLoad {
        if !self.is_tree {
            let long_tokens_per_s = fleet.decode_rate.local_tokens_per_s(now).round() as u32;
            return RelayLoad {
                nodes: 1,
                servers: fleet.local_updates(now),
                long_tokens_per_s,
                ..RelayLoad::default()
            };
        }
        let others = self.neighbours.iter().filter(|(other, _)| *other != peer);
        let nodes = 1 + others.map(|(_, other)| other.nodes).sum::<u32>();
        let long_tokens_per_s =
            fleet.decode_rate.tokens_per_s_without(Some(peer), now).round() as u32;
        let servers = fleet.updates_without(peer, now);
        RelayLoad { nodes, servers, long_tokens_per_s, ..RelayLoad::default() }
    }

    fn queue_prefixes(
        &mut self,
        source: Option<&InstanceId>,
        stored: &[PrefixKey],
        held: &[CachedPrefix],
    ) {
        for (peer, neighbour) in &mut self.neighbours {
            if Some(peer) == source {
                continue;
            }
            let room = MAX_PENDING_PREFIXES.saturating_sub(neighbour.stored.len());
            neighbour.stored.extend(stored.iter().take(room));
            let room = MAX_PENDING_PREFIXES.saturating_sub(neighbour.held.len());
            neighbour.held.extend(held.iter().take(room).cloned());
        }
    }
}
