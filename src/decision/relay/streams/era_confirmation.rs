//! Confirmation of an era of the record store: which versions must be recorded in it again before its listings
//! prove that there are no others.
//!
//! Any version with open streams is known to the nodes that carry them, or to a node that knows all versions.
//! Once all live nodes have told what they know, and one of them knows all, the rest is recorded and the
//! era is confirmed. Streams of before an era end in [`MAX_STREAM_LIFETIME`], after which nobody is asked.

use super::origins::{MAX_STREAM_LIFETIME, StreamOrigins};
use super::store_era::{EraAnswer, KnownEra};
use super::version_records::{ServiceVersion, VersionCall, VersionListing};
use crate::types::{ServiceId, StoreEra};
use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which each node leaves the confirmation to the one before it, for the first
/// [`FIRST_NODES`] nodes and for the others.
const FIRST_RANK_DELAY: Duration = Duration::from_millis(250);
const RANK_DELAY: Duration = Duration::from_millis(50);
const FIRST_NODES: u32 = 3;

/// Time after which nodes that have not answered are asked again.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(100);

/// Progress of one node towards the confirmation of the present era.
#[derive(Clone, Debug, Default)]
pub(super) struct EraConfirmation {
    /// Whether the records were listed in the era.
    is_listed: bool,
    /// Versions that the store holds in the era.
    recorded: BTreeSet<ServiceVersion>,
    /// Versions that other nodes have named.
    named: BTreeSet<ServiceVersion>,
    /// Nodes that have answered.
    answered: HashSet<SocketAddr>,
    /// Whether one of them knows all versions.
    is_complete: bool,
    /// When nodes are asked again, `None` before the first time.
    ask_again_at: Option<Instant>,
}

impl EraConfirmation {
    /// Records a listing of the present era.
    pub(super) fn apply_listing(&mut self, listing: &VersionListing) {
        self.is_listed = true;
        self.recorded = listing.recorded();
    }

    /// Records that the store holds a version in the present era.
    pub(super) fn add_recorded(&mut self, version: ServiceVersion) {
        self.recorded.insert(version);
    }

    /// Records that the store does not hold a version any more.
    pub(super) fn remove_recorded(&mut self, version: &ServiceVersion) {
        self.recorded.remove(version);
    }

    /// Records what other nodes have answered in `era`; those that do not know of it are asked again.
    pub(super) fn apply_answers(&mut self, era: StoreEra, answers: Vec<(SocketAddr, EraAnswer)>) {
        for (address, answer) in answers {
            if answer.era.is_none_or(|known| known < era) {
                continue;
            }
            self.answered.insert(address);
            self.named.extend(answer.versions);
            self.is_complete |= answer.is_complete;
        }
    }

    /// Returns the next call towards the confirmation of `era`, `None` if nothing is to be done now. `rank` other
    /// nodes go first.
    pub(super) fn next_call(
        &mut self,
        KnownEra { era, known_at, .. }: KnownEra,
        rank: usize,
        origins: &StreamOrigins,
        services: &BTreeSet<ServiceId>,
        now: Instant,
    ) -> Option<VersionCall> {
        if now < known_at + rank_delay(rank) {
            return None;
        }
        if !self.is_listed {
            return Some(VersionCall::List);
        }
        let has_no_older_stream = now >= known_at + MAX_STREAM_LIFETIME;
        if !has_no_older_stream {
            let unanswered: Vec<SocketAddr> =
                origins.addresses().filter(|address| !self.answered.contains(address)).collect();
            if !unanswered.is_empty() {
                return self.ask(era, unanswered, now);
            }
            if !self.is_complete && !origins.is_complete(now) {
                return None;
            }
        }
        let is_missing = |version: &&ServiceVersion| {
            services.contains(&version.service) && !self.recorded.contains(version)
        };
        let own = origins.open_versions(now);
        let missing = self.named.iter().chain(&own).find(is_missing);
        Some(
            missing
                .map_or(VersionCall::ConfirmEra(era), |version| VersionCall::Add(version.clone())),
        )
    }

    fn ask(&mut self, era: StoreEra, nodes: Vec<SocketAddr>, now: Instant) -> Option<VersionCall> {
        if self.ask_again_at.is_some_and(|ask_again_at| now < ask_again_at) {
            return None;
        }
        self.ask_again_at = Some(now + ASK_AGAIN_DELAY);
        let known = self.recorded.iter().map(ServiceVersion::key_hash).collect();
        Some(VersionCall::AskNodes { era, known, nodes })
    }
}

fn rank_delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let first = rank.min(FIRST_NODES);
    FIRST_RANK_DELAY * first + RANK_DELAY * (rank - first)
}
