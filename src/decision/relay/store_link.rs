//! Share of the link of the store of kept KV cache that a node may use.
//!
//! The store moves one prefix after another. Requests wait for their prefix, so that a link with too
//! many transfers delays them all; a node therefore starts only transfers that fit into its share.

use super::configuration::KvCacheStore;
use crate::decision::admission::token_bucket::TokenBucket;
use std::net::SocketAddr;
use std::time::Instant;

/// Part of the link's capacity in each direction that all nodes together plan to use.
const USED_FRACTION: f64 = 0.9;

/// Seconds of the link that all nodes together may use at once in each direction.
const BURST_S: f64 = 1.0;

/// Bits of a megabit.
const MEGABIT: f64 = 1_000_000.0;

/// Store of kept KV cache, with a node's share of its link.
#[derive(Clone, Debug)]
pub struct StoreLink {
    store: KvCacheStore,
    kv_token_bytes: u64,
    fetches: TokenBucket,
    saves: TokenBucket,
    nodes: u32,
}

impl StoreLink {
    /// Returns the link of `store`, used by one of `nodes` nodes.
    pub fn new(store: KvCacheStore, kv_token_bytes: u64, nodes: u32, now: Instant) -> Self {
        let (rate, burst) = share(nodes);
        let bucket = TokenBucket::new(rate, burst, now);
        Self { store, kv_token_bytes, fetches: bucket.clone(), saves: bucket, nodes }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.store.address
    }

    /// Sets the number of nodes that share the link.
    pub fn set_nodes(&mut self, nodes: u32, now: Instant) {
        if nodes != self.nodes {
            self.nodes = nodes;
            let (rate, burst) = share(nodes);
            self.fetches.set_rate(rate, burst, now);
            self.saves.set_rate(rate, burst, now);
        }
    }

    /// Returns the seconds of the link that a transfer of `tokens` takes.
    pub fn transfer_s(&self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * self.kv_token_bytes as f64 * 8.0;
        bits / (self.store.link_mbit_per_s * MEGABIT).max(1.0)
    }

    /// Whether a fetch of that time fits into the share.
    pub fn may_fetch(&self, transfer_s: f64, now: Instant) -> bool {
        self.fetches.clone().available_at(transfer_s, now) <= now
    }

    /// Whether a save of that time fits into the share.
    pub fn may_save(&self, transfer_s: f64, now: Instant) -> bool {
        self.saves.clone().available_at(transfer_s, now) <= now
    }

    /// Takes the times of a fetch and a save out of the share.
    pub fn take(&mut self, fetch_s: f64, save_s: f64, now: Instant) {
        self.fetches.take(fetch_s, now);
        self.saves.take(save_s, now);
    }
}

/// Returns the seconds of the link that a node may use in a second, and at once.
fn share(nodes: u32) -> (f64, f64) {
    let nodes = f64::from(nodes.max(1));
    (USED_FRACTION / nodes, BURST_S / nodes)
}
