//! Naive twins: flat lists and full sorts in place of the index and the ranked homes.

use coriandertide::decision::routing::homes::rendezvous_hash;
use std::collections::BTreeSet;
use std::time::Instant;

/// Belief of the naive index.
#[derive(Clone, Debug)]
struct Belief {
    key: u64,
    server: u32,
    incarnation: u64,
    used_at: Instant,
}

/// Naive index: a list of beliefs and, by server, every incarnation ever seen.
#[derive(Clone, Debug, Default)]
pub struct NaiveIndex {
    beliefs: Vec<Belief>,
    seen: Vec<(u32, u64)>,
    doubted: BTreeSet<u32>,
}

impl NaiveIndex {
    fn last(&self, server: u32) -> Option<u64> {
        self.seen.iter().rev().find(|(known, _)| *known == server).map(|(_, it)| *it)
    }

    /// Takes in that a server answered; returns whether it is its present incarnation.
    pub fn observe(&mut self, server: u32, incarnation: u64) -> bool {
        let is_last = self.last(server) == Some(incarnation);
        if !is_last && self.seen.contains(&(server, incarnation)) {
            return false;
        }
        if !is_last {
            self.seen.push((server, incarnation));
        }
        self.doubted.remove(&server);
        true
    }

    pub fn mark_unconfirmed(&mut self, server: u32) {
        self.doubted.insert(server);
    }

    pub fn current(&self, server: u32) -> Option<u64> {
        self.last(server).filter(|_| !self.doubted.contains(&server))
    }

    pub fn store(&mut self, key: u64, server: u32, incarnation: u64, now: Instant) {
        self.remove(key, server);
        self.beliefs.push(Belief { key, server, incarnation, used_at: now });
    }

    pub fn remove(&mut self, key: u64, server: u32) {
        self.beliefs.retain(|belief| (belief.key, belief.server) != (key, server));
    }

    /// Returns the servers believed to hold `key` now, with the time of the last use.
    pub fn holders(&self, key: u64) -> Vec<(u32, Instant)> {
        let mut holders: Vec<(u32, Instant)> = self
            .beliefs
            .iter()
            .filter(|belief| belief.key == key)
            .filter(|belief| self.current(belief.server) == Some(belief.incarnation))
            .map(|belief| (belief.server, belief.used_at))
            .collect();
        holders.sort_unstable();
        holders
    }
}

/// Returns the homes of `key` by a full sort.
pub fn naive_homes(servers: &[(u32, u64)], key: u64, count: usize) -> Vec<u32> {
    let mut ranked: Vec<(u64, u32)> =
        servers.iter().map(|&(server, hash)| (rendezvous_hash(hash, key), server)).collect();
    ranked.sort_unstable();
    ranked.into_iter().rev().take(count).map(|(_, server)| server).collect()
}
