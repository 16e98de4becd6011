//! What a node knows of the era of the record store, and what nodes tell each other of it.
//!
//! A store that comes back from a copy lacks its newest records, so that a version which it does not list may
//! have had streams. Its era is confirmed once all versions of these streams are recorded in it.

use super::origins::MAX_STREAM_LIFETIME;
use super::version_records::ServiceVersion;
use crate::types::StoreEra;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

/// Era of a store that was never restored, and lacks nothing.
pub(super) const FIRST_ERA: StoreEra = 0;

/// Era of the store, as known to a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownEra {
    /// Era.
    pub(super) era: StoreEra,
    /// When this node learned of it.
    pub(super) known_at: Instant,
    /// Whether the store holds all versions of earlier eras again.
    pub(super) is_confirmed: bool,
}

/// What a node knows of the era of the store, and of the versions before it.
#[derive(Clone, Debug)]
pub struct EraKnowledge {
    /// Newest era, `None` before the first answer of the store.
    known: Option<KnownEra>,
    /// From when this node knows all versions of which streams may be open.
    complete_at: Instant,
    /// Versions in listings, with the time until which their streams may be open.
    listed: BTreeMap<ServiceVersion, Instant>,
}

/// What a node says of the versions of open streams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EraAnswer {
    /// Newest era that it knows, `None` before the first answer of the store.
    #[serde(rename = "e")]
    pub era: Option<StoreEra>,
    /// Versions of which it may know open streams, without those that the query names.
    #[serde(rename = "v")]
    pub versions: Vec<ServiceVersion>,
    /// Whether there are no others, as far as the streams of all nodes are concerned.
    #[serde(rename = "c")]
    pub is_complete: bool,
}

impl EraKnowledge {
    /// Returns the knowledge of a node that starts now; no stream is older than the first start of the site.
    pub(super) fn new(is_first_start: bool, now: Instant) -> Self {
        let complete_at = if is_first_start { now } else { now + MAX_STREAM_LIFETIME };
        Self { known: None, complete_at, listed: BTreeMap::new() }
    }

    /// Returns the newest known era, `None` before the first answer of the store.
    pub(super) fn known(&self) -> Option<KnownEra> {
        self.known
    }

    /// Records that the store is in `era`; returns whether it was restored since the last known one.
    pub(super) fn observe(&mut self, era: StoreEra, now: Instant) -> bool {
        let earlier = self.known.map(|known| known.era);
        if earlier.is_some_and(|earlier| era <= earlier) {
            return false;
        }
        let is_confirmed = era == FIRST_ERA;
        self.known = Some(KnownEra { era, known_at: now, is_confirmed });
        earlier.is_some()
    }

    /// Records that an era is confirmed; returns whether that is news of the present one.
    pub(super) fn confirm(&mut self, era: StoreEra) -> bool {
        let known = self.known.as_mut().filter(|known| known.era == era && !known.is_confirmed);
        known.is_some_and(|known| {
            known.is_confirmed = true;
            true
        })
    }

    /// Records the versions in a listing of the store. One of a confirmed era names all of before.
    pub(super) fn apply_listing<'a>(
        &mut self,
        versions: impl Iterator<Item = &'a ServiceVersion>,
        is_confirmed: bool,
        now: Instant,
    ) {
        for version in versions {
            self.listed.insert(version.clone(), now + MAX_STREAM_LIFETIME);
        }
        if is_confirmed {
            self.complete_at = self.complete_at.min(now);
        }
    }

    /// Records that this node may have missed versions that came and went.
    pub(super) fn record_gap(&mut self, now: Instant) {
        self.complete_at = now + MAX_STREAM_LIFETIME;
    }

    /// Whether this node knows all versions of which streams may be open.
    pub(super) fn is_complete(&self, now: Instant) -> bool {
        now >= self.complete_at
    }

    /// Returns the versions in listings of which streams may be open.
    pub(super) fn listed(&self, now: Instant) -> impl Iterator<Item = &ServiceVersion> {
        let current = self.listed.iter().filter(move |(_, until)| now < **until);
        current.map(|(version, _)| version)
    }

    /// Forgets versions without open streams.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.listed.retain(|_, until| now < *until);
    }
}
