//! Evidence of which prompt parts crash servers, gathered from requests of which no two are alike.
//!
//! A crash while a server answers a request is a strike against keys of the request. The rank of a
//! strike is the length of a causal chain: it is one higher than the rank that was known for the key
//! when the request was sent. Servers that crash at the same moment therefore give rank 1 only. A
//! complete answer clears all strikes of its keys, since another cause explains their crashes.

use super::answered_keys::AnsweredKeys;
use super::key_strikes::KeyStrikes;
use super::proof::Proof;
use crate::types::{Incarnation, InstanceId, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};
use strum::Display;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Rank from which a node runs one request with the key at a time and resends none.
pub const PROBE_RANK: u32 = 2;

/// Rank from which all nodes refuse requests with the key, and number of crashes that no other key
/// may explain as well.
pub const REFUSAL_RANK: u32 = 3;

/// Time after an answer in which a first strike is not recorded against the answered keys.
const RECENT_ANSWER_PERIOD: Duration = Duration::from_secs(1);

/// Hash that names a prompt part of a model, or a whole request.
pub type SuspectKey = u64;

/// Key of a request with the highest rank that the node knew for it when the request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankedKey {
    /// Key of the request.
    pub key: SuspectKey,
    /// Rank that the node knew, 0 without strikes.
    pub rank: u32,
    /// When the node determined the rank.
    pub known_at: Instant,
}

/// Crash of a server while it answered a request with the key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyStrike {
    /// Key of the request.
    pub key: SuspectKey,
    /// Server that crashed.
    pub server: ServerId,
    /// Incarnation of the server that crashed, so that repeated reports of a crash count once.
    pub incarnation: Incarnation,
    /// Length of the chain of crashes, each of which was known when the next request was sent.
    pub rank: u32,
    /// Whether a request with the key has been answered since, so that something else caused the
    /// crash.
    #[serde(default)]
    pub is_cleared: bool,
    /// Milliseconds since the crash, so that a strike sent again does not live longer.
    #[serde(default)]
    pub age_ms: u64,
}

/// How a request is treated because of the strikes of its keys.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Treatment {
    /// The request runs normally.
    Normal,
    /// The request runs alone among those with the key at this node, and is not resent.
    Probe,
    /// The request must wait, since another one may have caused the same crashes and runs first.
    Waits {
        /// When it may be its turn.
        until: Instant,
    },
    /// The request is refused.
    Refused {
        /// When the refusal ends.
        until: Instant,
    },
}

/// Strikes and recent answers that a node knows of, and the probes that it runs.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    strikes: KeyStrikes,
    answered: AnsweredKeys,
    /// Running probes by key.
    probes: HashMap<SuspectKey, u32>,
    /// This node, which is not among `other_nodes`.
    own_node: u64,
    /// Hashes of the other live nodes.
    other_nodes: Vec<u64>,
}

impl CrashEvidence {
    /// Sets the live nodes, among which one tries a key whose refusal has ended.
    pub fn set_nodes(&mut self, own: &InstanceId, live: &[InstanceId]) {
        self.own_node = xxh3_64(own.as_bytes());
        let others = live.iter().filter(|node| *node != own);
        self.other_nodes = others.map(|node| xxh3_64(node.as_bytes())).collect();
    }

    /// Whether `key` has strikes that are neither cleared nor expired.
    pub fn is_suspect(&self, key: SuspectKey, now: Instant) -> bool {
        self.strikes.rank(key, now) > 0
    }

    /// Returns `keys` with the highest rank of their strikes that are neither cleared nor expired.
    pub fn ranked(&self, keys: &[SuspectKey], now: Instant) -> Vec<RankedKey> {
        let ranked = |key: &SuspectKey| RankedKey {
            key: *key,
            rank: self.strikes.rank(*key, now),
            known_at: now,
        };
        keys.iter().map(ranked).collect()
    }

    /// Returns how to treat a request with `keys`.
    pub fn treatment(&self, keys: &[SuspectKey], now: Instant) -> Treatment {
        let (mut refused_until, mut waits_until) = (None, None);
        let others = self.strikes.others(keys, now);
        for (key, others) in keys.iter().zip(others.iter().cycle()) {
            match self.strikes.proof(*key, others, None, now) {
                Proof::Conclusive => {
                    let until = self.strikes.refused_until(*key, now);
                    // After its time one node tries the key.
                    let is_tried =
                        until.is_none_or(|until| now >= until) && self.is_trial_node(*key);
                    refused_until = refused_until.max(until.filter(|_| !is_tried));
                }
                Proof::Tied { next_turn_at } => waits_until = waits_until.max(next_turn_at),
                Proof::None => {}
            }
        }
        match (refused_until, waits_until) {
            (Some(until), _) => Treatment::Refused { until: until.max(now) },
            (None, Some(until)) => Treatment::Waits { until },
            (None, None) if keys.iter().any(|key| self.needs_probe(*key, now)) => Treatment::Probe,
            (None, None) => Treatment::Normal,
        }
    }

    /// Returns those of `keys` that are refused because of their own strikes.
    pub fn refused(&self, keys: &[SuspectKey], now: Instant) -> BTreeSet<SuspectKey> {
        let is_over = |key: &SuspectKey| {
            let until = self.strikes.refused_until(*key, now);
            until.is_none_or(|until| now >= until) && self.is_trial_node(*key)
        };
        let mut refused = self.strikes.conclusive(keys, now);
        refused.retain(|key| !is_over(key));
        refused
    }

    /// Returns the strikes that a crash of `server` gives to the keys of a request which it was
    /// answering.
    ///
    /// A refused key explains the crash by itself. So do keys that have strikes and were not
    /// answered lately. Without either, a strike goes to the keys with the highest rank, and to all
    /// keys that were not answered lately, since the cause may be a key that is new to this node.
    pub fn strikes_of_crash(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        keys: &[RankedKey],
        now: Instant,
    ) -> Vec<KeyStrike> {
        let strike = |suspect: &RankedKey| KeyStrike {
            key: suspect.key,
            server: server.clone(),
            incarnation,
            rank: suspect.rank.saturating_add(1),
            is_cleared: false,
            age_ms: 0,
        };
        self.suspects(server, incarnation, keys, now).iter().map(strike).collect()
    }

    /// Merges a strike, own or a partner's; returns whether it changed anything and must be
    /// forwarded.
    pub fn add(&mut self, strike: KeyStrike, now: Instant) -> bool {
        let key = strike.key;
        let is_news = self.strikes.merge(strike, now);
        let answered_at = self.answered.answered_at(key);
        if answered_at.is_some_and(|at| self.strikes.are_crashes_before(key, at, now)) {
            self.strikes.clear(key, now);
        }
        is_news
    }

    /// Records that a request with `keys` was answered completely; returns the strikes that this
    /// clears and that partners must hear of.
    pub fn acquit(&mut self, keys: &[SuspectKey], now: Instant) -> Vec<KeyStrike> {
        let mut cleared = Vec::new();
        for key in keys {
            self.answered.insert(*key, now);
            cleared.extend(self.strikes.clear(*key, now));
        }
        cleared
    }

    /// Returns all strikes, cleared ones too, for a partner that has just connected.
    pub fn strikes(&self, now: Instant) -> Vec<KeyStrike> {
        self.strikes.all(now)
    }

    /// Begins a probe of a request with `keys`; false if a probe of a key that needs one already
    /// runs at this node. Each probe that began must be ended with the same keys.
    pub fn try_begin_probe(&mut self, keys: &[SuspectKey], now: Instant) -> bool {
        let is_running = |key: &SuspectKey| self.probes.contains_key(key);
        if keys.iter().any(|key| is_running(key) && self.needs_probe(*key, now)) {
            return false;
        }
        for key in keys {
            *self.probes.entry(*key).or_default() += 1;
        }
        true
    }

    /// Ends a probe.
    pub fn end_probe(&mut self, keys: &[SuspectKey]) {
        for key in keys {
            let Some(running) = self.probes.get_mut(key) else { continue };
            *running -= 1;
            if *running == 0 {
                self.probes.remove(key);
            }
        }
    }

    /// Whether this is the node that tries `key` after its refusal.
    fn is_trial_node(&self, key: SuspectKey) -> bool {
        let order = |node: u64| xxh3_64_with_seed(&key.to_le_bytes(), node);
        self.other_nodes.iter().all(|other| order(*other) < order(self.own_node))
    }

    fn needs_probe(&self, key: SuspectKey, now: Instant) -> bool {
        self.strikes.rank(key, now) >= PROBE_RANK
    }

    /// Returns the keys that may have caused the crash of a request sent with `keys`.
    fn suspects(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        keys: &[RankedKey],
        now: Instant,
    ) -> Vec<RankedKey> {
        let of_request: Vec<SuspectKey> = keys.iter().map(|sent| sent.key).collect();
        let crash = (server.clone(), incarnation);
        let others = self.strikes.others(&of_request, now);
        let is_refused = |sent: &&RankedKey| {
            let proof = others.as_ref().map(|o| self.strikes.proof(sent.key, o, Some(&crash), now));
            proof == Some(Proof::Conclusive)
        };
        let refused: Vec<RankedKey> = keys.iter().filter(is_refused).copied().collect();
        if !refused.is_empty() {
            return refused;
        }
        // Strikes that were cleared since the request was sent do not count.
        let current = |sent: &RankedKey| RankedKey {
            rank: sent.rank.min(self.strikes.rank_known_at(sent.key, sent.known_at, now)),
            ..*sent
        };
        let (answered, unanswered): (Vec<RankedKey>, Vec<RankedKey>) =
            keys.iter().map(current).partition(|suspect| self.answered.contains(suspect.key, now));
        if unanswered.iter().any(|suspect| suspect.rank > 0) {
            return highest_ranked(unanswered);
        }
        let mut suspects = highest_ranked(answered);
        suspects.retain(|suspect| suspect.rank > 0 || !self.is_recent(suspect.key, now));
        suspects.extend(unanswered);
        suspects
    }

    fn is_recent(&self, key: SuspectKey, now: Instant) -> bool {
        let answered_at = self.answered.answered_at(key);
        answered_at.is_some_and(|answered_at| now < answered_at + RECENT_ANSWER_PERIOD)
    }
}

fn highest_ranked(mut suspects: Vec<RankedKey>) -> Vec<RankedKey> {
    let highest = suspects.iter().map(|suspect| suspect.rank).max();
    suspects.retain(|suspect| Some(suspect.rank) == highest);
    suspects
}
