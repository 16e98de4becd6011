//! Order of the live nodes for a server, which all of them work out alike by rendezvous hashing.

use crate::types::{InstanceId, ServerId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum ranks that are remembered.
const MAX_RANKS: usize = 4_096;

/// Live nodes, as one of them knows them.
#[derive(Clone, Debug, Default)]
pub struct NodeRanking {
    own_node: u64,
    /// Hashes of the other live nodes.
    other_nodes: Vec<u64>,
    /// Highest number of live nodes so far: a node that has lost the others keeps to its share.
    max_nodes: usize,
    /// Ranks that were worked out for these nodes.
    ranks: RefCell<BTreeMap<ServerId, usize>>,
}

impl NodeRanking {
    /// Sets the live nodes.
    pub fn set_nodes(&mut self, own: &InstanceId, live: &[InstanceId]) {
        self.own_node = xxh3_64(own.as_bytes());
        let others = live.iter().filter(|node| *node != own);
        self.other_nodes = others.map(|node| xxh3_64(node.as_bytes())).collect();
        self.max_nodes = self.max_nodes.max(self.other_nodes.len() + 1);
        self.ranks.borrow_mut().clear();
    }

    /// Returns the highest number of live nodes so far, at least one.
    pub fn max_nodes(&self) -> usize {
        self.max_nodes.max(1)
    }

    /// Returns how many nodes come before this one for a server.
    pub fn own_rank(&self, server: &ServerId) -> usize {
        let mut ranks = self.ranks.borrow_mut();
        if let Some(rank) = ranks.get(server) {
            return *rank;
        }
        if ranks.len() >= MAX_RANKS {
            ranks.clear();
        }
        let order = |node: u64| xxh3_64_with_seed(server.as_bytes(), node);
        let own_order = order(self.own_node);
        let rank = self.other_nodes.iter().filter(|other| order(**other) > own_order).count();
        ranks.insert(server.clone(), rank);
        rank
    }
}
