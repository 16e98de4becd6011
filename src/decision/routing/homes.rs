//! Homes of a prefix: the servers that all nodes send it to without exchanging a message.

use super::config::RoutingConfig;
use super::fleet::ServerIndex;
use std::time::{Duration, Instant};

/// Server with its rank for a prefix; the highest is the first home.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RankedServer {
    /// Rendezvous hash of the server's name and the prefix key.
    pub hash: u64,
    /// Server.
    pub server: ServerIndex,
}

/// Returns the rendezvous hash of a server's name hash and a prefix key.
///
/// The finaliser of SplitMix64: every bit of both inputs reaches every bit of the result.
pub fn rendezvous_hash(name_hash: u64, key: u64) -> u64 {
    let mut mixed = (name_hash ^ key.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the `count` servers of highest rank for `key`, best first.
pub fn ranked_servers(
    servers: impl Iterator<Item = (ServerIndex, u64)>,
    key: u64,
    count: usize,
) -> Vec<RankedServer> {
    let mut best: Vec<RankedServer> = Vec::with_capacity(count + 1);
    for (server, name_hash) in servers {
        let ranked = RankedServer { hash: rendezvous_hash(name_hash, key), server };
        if best.len() == count && best.last().is_none_or(|last| ranked <= *last) {
            continue;
        }
        let position = best.partition_point(|better| *better > ranked);
        best.insert(position, ranked);
        best.truncate(count);
    }
    best
}

/// Exponentially decayed count of a prefix's requests from this node, and its number of homes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixRate {
    count: f32,
    home_count: u32,
    counted_at: Instant,
}

/// What the number of homes is worked out from.
#[derive(Clone, Copy, Debug)]
pub struct HomeCountInputs {
    /// Live nodes, this one included.
    pub live_nodes: u32,
    /// Seconds for which a request occupies a server.
    pub occupancy_s: f64,
    /// Requests that a server runs at once.
    pub concurrent_requests: u32,
    /// Servers that could be homes.
    pub servers: usize,
}

impl PrefixRate {
    /// Returns the rate of a prefix that was not requested yet.
    pub fn new(now: Instant) -> Self {
        Self { count: 0.0, home_count: 1, counted_at: now }
    }

    /// Returns the number of homes.
    pub fn home_count(&self) -> u32 {
        self.home_count
    }

    /// Returns the requests a second from this node.
    pub fn requests_per_s(&self, window: Duration, now: Instant) -> f64 {
        self.decayed_count(window, now) / window.as_secs_f64()
    }

    /// Counts a request and adjusts the number of homes.
    pub fn record_request(
        &mut self,
        inputs: HomeCountInputs,
        config: &RoutingConfig,
        now: Instant,
    ) {
        self.count = (self.decayed_count(config.rate_window, now) + 1.0) as f32;
        self.counted_at = self.counted_at.max(now);
        let total_per_s =
            self.requests_per_s(config.rate_window, now) * f64::from(inputs.live_nodes.max(1));
        let running_requests = total_per_s * inputs.occupancy_s;
        let requests_per_home = f64::from(inputs.concurrent_requests) * config.max_home_utilisation;
        self.home_count = adjusted_home_count(
            self.home_count,
            running_requests / requests_per_home,
            inputs.servers,
            config,
        );
    }

    fn decayed_count(&self, window: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        f64::from(self.count) * (-age.as_secs_f64() / window.as_secs_f64()).exp()
    }
}

/// Returns the homes after a load of `wanted` homes' worth was seen.
///
/// It grows at once and shrinks by one at a time, when the load would fit well into one home less.
fn adjusted_home_count(
    home_count: u32,
    needed_homes: f64,
    servers: usize,
    config: &RoutingConfig,
) -> u32 {
    let max_count = u32::try_from(servers).unwrap_or(u32::MAX).min(config.max_homes).max(1);
    let home_count = home_count.min(max_count);
    if needed_homes > f64::from(home_count) {
        return (needed_homes.ceil() as u32).min(max_count);
    }
    let fits_in_fewer = needed_homes < f64::from(home_count - 1) * config.home_shrink_factor;
    if fits_in_fewer { home_count - 1 } else { home_count }
}
