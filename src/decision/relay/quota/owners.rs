//! Which nodes own the quota of a workspace; all nodes work it out alike.

use crate::decision::relay::peer_node::PeerNode;
use crate::types::{InstanceId, WorkspaceId};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Owners of a quota.
pub const OWNERS: usize = 2;

/// Percent of a core from which a node owns quotas before smaller ones: an owner answers for all
/// nodes.
const LARGE_PROCESSOR_PERCENT: u32 = 25;

/// Number of large nodes below which all nodes own quotas.
const MIN_LARGE_NODES: usize = 4;

/// Time after which nodes that are not seen are taken for gone instead of cut off.
const MAX_CUT_PERIOD: Duration = Duration::from_secs(30);

/// Live nodes, as one of them knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct Nodes {
    /// Nodes that may own quotas.
    candidates: Vec<PeerNode>,
    live: usize,
    /// Highest number of live nodes.
    expected: usize,
    /// Since when fewer are seen, `None` if all are.
    reduced_since: Option<Instant>,
}

impl Nodes {
    /// Sets the live nodes, this one included.
    pub(super) fn set(&mut self, live: Vec<PeerNode>, now: Instant) {
        // A node that was killed and has started again is known by two ids for a moment.
        let addresses: BTreeSet<SocketAddr> = live.iter().map(|node| node.address).collect();
        self.live = addresses.len();
        self.expected = self.expected.max(self.live);
        let is_large = |node: &PeerNode| node.processor_percent >= LARGE_PROCESSOR_PERCENT;
        let are_large_enough = live.iter().filter(|node| is_large(node)).count() >= MIN_LARGE_NODES;
        self.candidates =
            live.into_iter().filter(|node| !are_large_enough || is_large(node)).collect();
        match self.live == self.expected {
            true => self.reduced_since = None,
            false => {
                self.reduced_since.get_or_insert(now);
            }
        }
    }

    /// Takes nodes for gone that were not seen for long.
    pub(super) fn tick(&mut self, now: Instant) {
        if self.reduced_since.is_some_and(|since| now >= since + MAX_CUT_PERIOD) {
            log::info!("event=nodes_gone expected={} live={}", self.expected, self.live);
            self.expected = self.live;
            self.reduced_since = None;
        }
    }

    /// Returns the number of live nodes.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    /// Returns the part of the nodes that is seen. The owners on each side of a cut grant that part of
    /// a quota, since those on the other side grant the rest.
    pub(super) fn seen_fraction(&self) -> f64 {
        self.live as f64 / self.expected.max(1) as f64
    }

    /// Returns the owners of a quota, best one first; the second one is in another availability zone
    /// if there is one.
    pub(super) fn owners(&self, workspace: &WorkspaceId) -> Vec<&PeerNode> {
        let seed = xxh3_64(workspace.as_bytes());
        let order = |node: &&PeerNode| {
            (Reverse(xxh3_64_with_seed(node.instance.as_bytes(), seed)), node.instance.clone())
        };
        let Some(first) = self.candidates.iter().min_by_key(order) else { return Vec::new() };
        let others = || self.candidates.iter().filter(|node| node.instance != first.instance);
        let elsewhere = others().filter(|node| node.availability_zone != first.availability_zone);
        let second = elsewhere.min_by_key(order).or_else(|| others().min_by_key(order));
        [Some(first), second].into_iter().flatten().collect()
    }

    /// Whether a node owns the quota of a workspace.
    pub(super) fn is_owner(&self, instance: &InstanceId, workspace: &WorkspaceId) -> bool {
        self.owners(workspace).iter().any(|owner| owner.instance == *instance)
    }
}
