//! Home servers of a prefix by rendezvous hashing, on which all nodes agree without messages.

use super::config::RoutingConfig;
use super::fleet::ServerIndex;
use std::time::{Duration, Instant};

/// Server with its rendezvous hash for a prefix; the highest hash is the first home.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RankedServer {
    /// Rendezvous hash of the server's name and the prefix key.
    pub hash: u64,
    /// Index of the server.
    pub server: ServerIndex,
}

/// Returns the rendezvous hash of a server's name hash and a prefix key.
///
/// Uses the finaliser of SplitMix64, so that each input bit affects every bit of the result.
pub fn rendezvous_hash(name_hash: u64, key: u64) -> u64 {
    let mut mixed = (name_hash ^ key.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the `count` servers with the highest rendezvous hash for `key`, highest first.
pub fn ranked_servers(
    servers: impl Iterator<Item = (ServerIndex, u64)>,
    key: u64,
    count: usize,
) -> Vec<RankedServer> {
    let mut top: Vec<RankedServer> = Vec::with_capacity(count + 1);
    for (server, name_hash) in servers {
        let ranked = RankedServer { hash: rendezvous_hash(name_hash, key), server };
        if top.len() == count && top.last().is_none_or(|last| ranked <= *last) {
            continue;
        }
        let position = top.partition_point(|better| *better > ranked);
        top.insert(position, ranked);
        top.truncate(count);
    }
    top
}

/// Exponentially decayed count of this node's requests for a prefix, and its number of homes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixRate {
    /// Decayed number of requests at `counted_at`.
    count: f32,
    home_count: u32,
    counted_at: Instant,
}

/// Inputs to the number of homes of a prefix.
#[derive(Clone, Copy, Debug)]
pub struct HomeCountInputs {
    /// Live nodes, this one included.
    pub live_nodes: u32,
    /// Seconds for which a request occupies a server.
    pub occupancy_s: f64,
    /// Requests that a server runs concurrently.
    pub concurrent_requests: u32,
    /// Number of known servers, an upper bound of the homes.
    pub servers: usize,
}

impl PrefixRate {
    /// Returns the rate of a prefix that has not been requested.
    pub fn new(now: Instant) -> Self {
        Self { count: 0.0, home_count: 1, counted_at: now }
    }

    /// Returns the number of homes.
    pub fn home_count(&self) -> u32 {
        self.home_count
    }

    /// Returns this node's requests per second, averaged over `window`.
    pub fn requests_per_s(&self, window: Duration, now: Instant) -> f64 {
        self.decayed_count(window, now) / window.as_secs_f64()
    }

    /// Counts a request and updates the number of homes.
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

/// Returns the new number of homes of a prefix whose load fills `needed_homes` homes.
///
/// The number grows at once. It shrinks by one at a time, and only when the load is well below what
/// one home less can take, so that a steady rate at a boundary does not change it back and forth.
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
