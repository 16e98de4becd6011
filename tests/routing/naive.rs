//! Naive reference implementations: flat lists and full sorts instead of the prefix index and the
//! ranked homes.

use coriandertide::decision::routing::homes::rendezvous_hash;
use std::collections::BTreeSet;
use std::time::Instant;

/// Server that has a prefix cached.
#[derive(Clone, Debug)]
struct NaiveHolder {
    key: u64,
    server: u32,
    incarnation: u64,
    used_at: Instant,
}

/// Naive index: a list of holders and, by server, every incarnation ever seen.
#[derive(Clone, Debug, Default)]
pub struct NaiveIndex {
    holders: Vec<NaiveHolder>,
    seen: Vec<(u32, u64)>,
    unconfirmed: BTreeSet<u32>,
}

impl NaiveIndex {
    fn last(&self, server: u32) -> Option<u64> {
        self.seen.iter().rev().find(|(known, _)| *known == server).map(|(_, it)| *it)
    }

    /// Records that an incarnation answered; returns whether it is the server's current one.
    pub fn observe(&mut self, server: u32, incarnation: u64) -> bool {
        let is_last = self.last(server) == Some(incarnation);
        if !is_last && self.seen.contains(&(server, incarnation)) {
            return false;
        }
        if !is_last {
            self.seen.push((server, incarnation));
        }
        self.unconfirmed.remove(&server);
        true
    }

    pub fn mark_unconfirmed(&mut self, server: u32) {
        self.unconfirmed.insert(server);
    }

    pub fn confirmed(&self, server: u32) -> Option<u64> {
        self.last(server).filter(|_| !self.unconfirmed.contains(&server))
    }

    pub fn store(&mut self, key: u64, server: u32, incarnation: u64, now: Instant) {
        self.remove(key, server);
        self.holders.push(NaiveHolder { key, server, incarnation, used_at: now });
    }

    pub fn remove(&mut self, key: u64, server: u32) {
        self.holders.retain(|holder| (holder.key, holder.server) != (key, server));
    }

    /// Returns the current holders of `key`, with the time of the last use.
    pub fn holders(&self, key: u64) -> Vec<(u32, Instant)> {
        let mut holders: Vec<(u32, Instant)> = self
            .holders
            .iter()
            .filter(|holder| holder.key == key)
            .filter(|holder| self.confirmed(holder.server) == Some(holder.incarnation))
            .map(|holder| (holder.server, holder.used_at))
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
