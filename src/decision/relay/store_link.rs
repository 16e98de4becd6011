//! A node's share of the link to the external store of KV cache.
//!
//! The store transfers one prefix after another, and requests wait for their prefix, so too many
//! transfers delay all requests. A node therefore starts only transfers that fit into its share.

use super::configuration::KvCacheStore;
use crate::decision::admission::token_bucket::TokenBucket;
use std::net::SocketAddr;
use std::time::Instant;

/// Fraction of the link's capacity that all nodes together use in each direction.
const USED_FRACTION: f64 = 0.9;

/// Seconds of link time that all nodes together may use in a burst, in each direction.
const BURST_S: f64 = 1.0;

/// Bits per megabit.
const BITS_PER_MEGABIT: f64 = 1_000_000.0;

/// External store of KV cache with a node's share of its link.
#[derive(Clone, Debug)]
pub struct StoreLink {
    store: KvCacheStore,
    kv_token_bytes: u64,
    /// Seconds of link time that this node may use for fetches.
    fetch_budget_s: TokenBucket,
    /// Seconds of link time that this node may use for saves.
    save_budget_s: TokenBucket,
    /// Nodes that share the link.
    nodes: u32,
}

impl StoreLink {
    /// Returns the link to `store` for one of `nodes` nodes.
    pub fn new(store: KvCacheStore, kv_token_bytes: u64, nodes: u32, now: Instant) -> Self {
        let (rate, burst) = share(nodes);
        let bucket = TokenBucket::new(rate, burst, now);
        Self { store, kv_token_bytes, fetch_budget_s: bucket.clone(), save_budget_s: bucket, nodes }
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
            self.fetch_budget_s.set_rate(rate, burst, now);
            self.save_budget_s.set_rate(rate, burst, now);
        }
    }

    /// Returns the seconds of link time that a transfer of `tokens` takes.
    pub fn transfer_s(&self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * self.kv_token_bytes as f64 * 8.0;
        bits / (self.store.link_mbit_per_s * BITS_PER_MEGABIT).max(1.0)
    }

    /// Whether a fetch of `transfer_s` fits into the share.
    pub fn may_fetch(&self, transfer_s: f64, now: Instant) -> bool {
        self.fetch_budget_s.clone().available_at(transfer_s, now) <= now
    }

    /// Whether a save of `transfer_s` fits into the share.
    pub fn may_save(&self, transfer_s: f64, now: Instant) -> bool {
        self.save_budget_s.clone().available_at(transfer_s, now) <= now
    }

    /// Takes the link time of a fetch and a save out of the share.
    pub fn take(&mut self, fetch_s: f64, save_s: f64, now: Instant) {
        self.fetch_budget_s.take(fetch_s, now);
        self.save_budget_s.take(save_s, now);
    }
}

/// Returns the link time in seconds that a node may use per second, and in a burst.
fn share(nodes: u32) -> (f64, f64) {
    let nodes = f64::from(nodes.max(1));
    (USED_FRACTION / nodes, BURST_S / nodes)
}
