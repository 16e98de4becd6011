//! Which software versions of services are recorded in the store, so that nodes that all start at
//! once know the versions of before their start.
//!
//! A version stays recorded until none of its streams can be resumed any more. Records carry no
//! times: a node that removes one has observed for long enough itself.

use super::era_confirmation::EraConfirmation;
use super::origins::{MAX_STREAM_LIFETIME, StreamOrigins};
use super::store_era::{EraAnswer, FIRST_ERA};
use crate::types::{InstanceId, LogPosition, ServiceId, SoftwareVersion, StoreEra, log_position};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Nodes that record a version; more than one, since a node may die before it has written.
const WRITERS: usize = 3;

/// Nodes that watch versions without servers, of which the first one removes their records.
const WATCHERS: usize = 3;

/// Seed of the rank of the nodes that watch.
pub const WATCHER_SEED: u64 = 0;

/// Time after a node's start in which it learns of the other nodes, before it writes.
const SETTLE_PERIOD: Duration = Duration::from_secs(2);

/// Time for which a record must have stayed the same, without a server of its version, before it is
/// removed. It is longer than the time after which other nodes take a version for new, and have it recorded.
const REMOVAL_DELAY: Duration = MAX_STREAM_LIFETIME.saturating_add(Duration::from_secs(5));

/// Delay after a removal that was not possible since a partition did not answer.
const REMOVAL_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Time in which a node that writes the record of a version tells the others.
const UNTOLD_PERIOD: Duration = Duration::from_secs(1);

/// Time after which an unanswered call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay after a failed call while callers wait for a listing.
const WANTED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Software version of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServiceVersion {
    /// Service.
    pub service: ServiceId,
    /// Software version of some of its servers.
    pub software: SoftwareVersion,
}

impl ServiceVersion {
    /// Returns a hash of the service and the version.
    pub fn key_hash(&self) -> u64 {
        xxh3_64_with_seed(self.software.as_bytes(), xxh3_64(self.service.as_bytes()))
    }
}

/// Partitions of the record store that keep the versions. A version counts as recorded once a majority has
/// its record, and what is recorded is known from any majority.
pub const VERSION_PARTITIONS: usize = 3;

/// Partitions that make a majority.
pub const VERSION_MAJORITY: usize = VERSION_PARTITIONS / 2 + 1;

/// Records of one partition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartitionListing {
    /// Versions, with the positions of their records.
    pub versions: BTreeMap<ServiceVersion, LogPosition>,
    /// Newest era that was confirmed here, `None` if none was.
    pub confirmed_era: Option<StoreEra>,
    /// Position of the next record.
    pub end: LogPosition,
}

/// Records of a majority of the partitions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionListing {
    /// Versions, with the partitions that have them and the positions of the records there.
    pub copies: BTreeMap<ServiceVersion, Vec<(usize, LogPosition)>>,
    /// Position of the next record of each partition, `None` for one that did not answer.
    pub ends: [Option<LogPosition>; VERSION_PARTITIONS],
    /// Newest era that was confirmed in one of the partitions, which is done after all versions are recorded in
    /// a majority; `None` if none was.
    pub confirmed_era: Option<StoreEra>,
}

impl From<[Option<PartitionListing>; VERSION_PARTITIONS]> for VersionListing {
    fn from(partitions: [Option<PartitionListing>; VERSION_PARTITIONS]) -> Self {
        let mut listing = Self::default();
        for (index, partition) in partitions.into_iter().enumerate() {
            let Some(PartitionListing { versions, confirmed_era, end }) = partition else {
                continue;
            };
            listing.ends[index] = Some(end);
            listing.confirmed_era = listing.confirmed_era.max(confirmed_era);
            for (version, position) in versions {
                listing.copies.entry(version).or_default().push((index, position));
            }
        }
        listing
    }
}

impl VersionListing {
    /// Returns the versions that a majority of the partitions has.
    pub fn recorded(&self) -> BTreeSet<ServiceVersion> {
        let recorded = self.copies.iter().filter(|(_, copies)| copies.len() >= VERSION_MAJORITY);
        recorded.map(|(version, _)| version.clone()).collect()
    }

    /// Returns the era of the store, in which all partitions answered.
    pub fn era(&self) -> StoreEra {
        self.ends.iter().flatten().copied().map(log_position::era).max().unwrap_or_default()
    }

    /// Whether all versions of before the era are known to be recorded in it.
    pub fn is_era_confirmed(&self) -> bool {
        self.era() == FIRST_ERA || self.confirmed_era == Some(self.era())
    }

    /// Whether a partition has the record of a version.
    pub(super) fn contains(&self, service: &ServiceId, software: &SoftwareVersion) -> bool {
        let version = ServiceVersion { service: service.clone(), software: software.clone() };
        self.copies.contains_key(&version)
    }

    /// Returns the ends of all partitions, `None` if one did not answer.
    fn all_ends(&self) -> Option<[LogPosition; VERSION_PARTITIONS]> {
        let ends: Vec<LogPosition> = self.ends.iter().copied().collect::<Option<_>>()?;
        ends.try_into().ok()
    }
}

/// Call to the record store or to other nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionCall {
    /// List the recorded versions.
    List,
    /// Record a version.
    Add(ServiceVersion),
    /// Remove the record of a version unless a record was written since the listing.
    Remove {
        /// Version.
        version: ServiceVersion,
        /// Ends of the partitions in the listing.
        ends: [LogPosition; VERSION_PARTITIONS],
    },
    /// Record that all versions of before an era are recorded in it.
    ConfirmEra(StoreEra),
    /// Ask other nodes of which versions they may know open streams.
    AskNodes {
        /// Era that is to be confirmed.
        era: StoreEra,
        /// Hashes of the versions that are recorded.
        known: Vec<u64>,
        /// Nodes.
        nodes: Vec<SocketAddr>,
    },
}

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionOutcome {
    /// The recorded versions.
    Listed {
        /// What the store held at some moment after the request.
        listing: VersionListing,
        /// Era of the store.
        era: StoreEra,
        /// When it was requested.
        requested_at: Instant,
    },
    /// The version is recorded.
    Added {
        /// Version.
        version: ServiceVersion,
        /// Era of the store.
        era: StoreEra,
    },
    /// The version is not recorded any more.
    Removed(ServiceVersion),
    /// A record was written since the listing; nothing was removed.
    Conflict,
    /// The era `confirmed` is recorded as confirmed.
    EraConfirmed {
        /// Confirmed era.
        confirmed: StoreEra,
        /// Era of the store.
        era: StoreEra,
    },
    /// What some of the asked nodes have answered.
    NodesAnswered {
        /// Era that is to be confirmed.
        asked_era: StoreEra,
        /// Answers, with the addresses of the nodes.
        answers: Vec<(SocketAddr, EraAnswer)>,
    },
}

impl VersionOutcome {
    /// Returns the era in which the store answered, `None` if that does not matter.
    pub fn era(&self) -> Option<StoreEra> {
        match self {
            Self::Listed { era, .. } | Self::Added { era, .. } | Self::EraConfirmed { era, .. } => {
                Some(*era)
            }
            Self::Removed(_) | Self::Conflict | Self::NodesAnswered { .. } => None,
        }
    }
}

/// Version without servers whose record is to be removed.
#[derive(Clone, Debug)]
struct UnusedVersion {
    /// Positions of its records by partition, as first listed after the last server was seen.
    copies: BTreeMap<usize, LogPosition>,
    removable_at: Instant,
}

impl UnusedVersion {
    /// Whether no record was written again, by a listing of some partitions.
    fn is_unchanged(&self, copies: &[(usize, LogPosition)]) -> bool {
        let is_known =
            |partition, position| self.copies.get(partition).is_none_or(|known| known == position);
        copies.iter().all(|(partition, position)| is_known(partition, position))
    }
}

/// Records of versions, as known to one node.
#[derive(Clone, Debug)]
pub struct VersionRecords {
    instance: InstanceId,
    started_at: Instant,
    /// Whether this node has not listed the records since its start, a restore of the store or a suspension.
    needs_listing: bool,
    /// Last listing, `None` if a record may have been written since.
    listing: Option<VersionListing>,
    /// When the records are listed since a version with servers is not known to be recorded, `None` if all
    /// are.
    list_untold_at: Option<Instant>,
    /// Listed versions without servers.
    unused: BTreeMap<ServiceVersion, UnusedVersion>,
    /// Until when the pending call is waited for, `None` if none is pending.
    pending_until: Option<Instant>,
    /// When the last call failed, `None` if it did not.
    failed_at: Option<Instant>,
    /// Progress towards the confirmation of the present era.
    confirmation: EraConfirmation,
}

impl VersionRecords {
    /// Returns the state of a node that starts now.
    pub fn new(instance: InstanceId, now: Instant) -> Self {
        Self {
            instance,
            started_at: now,
            needs_listing: true,
            listing: None,
            list_untold_at: None,
            unused: BTreeMap::new(),
            pending_until: None,
            failed_at: None,
            confirmation: EraConfirmation::default(),
        }
    }

    /// Returns the next call that this node makes; `services` have routes for streams.
    /// Its outcome, or its failure, must be reported.
    pub fn next_call(
        &mut self,
        origins: &StreamOrigins,
        services: &BTreeSet<ServiceId>,
        now: Instant,
    ) -> Option<VersionCall> {
        let is_pending = self.pending_until.is_some_and(|until| now < until);
        let is_wanted = origins.recorded_versions().is_listing_wanted(now);
        let delay = if is_wanted { WANTED_RETRY_DELAY } else { RETRY_DELAY };
        let is_delayed = self.failed_at.is_some_and(|failed_at| now < failed_at + delay);
        if services.is_empty() || is_pending || is_delayed {
            return None;
        }
        let call = self.needed_call(origins, services, now)?;
        self.pending_until = Some(now + CALL_TIMEOUT);
        Some(call)
    }

    /// Applies the outcome of a call; `origins` knows it already.
    pub fn apply(&mut self, outcome: VersionOutcome, origins: &StreamOrigins, now: Instant) {
        self.pending_until = None;
        self.failed_at = None;
        let listing = self.listing.take();
        match outcome {
            VersionOutcome::Listed { listing, .. } => {
                self.needs_listing = false;
                self.confirmation.apply_listing(&listing);
                self.update_unused(&listing, origins, now);
                self.listing = Some(listing);
            }
            VersionOutcome::Removed(version) => {
                self.confirmation.remove_recorded(&version);
                self.unused.remove(&version);
            }
            VersionOutcome::Added { version, .. } => self.confirmation.add_recorded(version),
            VersionOutcome::NodesAnswered { asked_era, answers } => {
                self.confirmation.apply_answers(asked_era, answers);
                self.listing = listing;
            }
            VersionOutcome::Conflict | VersionOutcome::EraConfirmed { .. } => {}
        }
    }

    /// Keeps the listed versions without servers, each with the time since which its record is the same.
    fn update_unused(&mut self, listing: &VersionListing, origins: &StreamOrigins, now: Instant) {
        let mut unused = BTreeMap::new();
        for (version, copies) in &listing.copies {
            if origins.is_in_service(version, now) {
                continue;
            }
            let known = self.unused.remove(version).filter(|known| known.is_unchanged(copies));
            let mut version_unused = known.unwrap_or_else(|| UnusedVersion {
                copies: BTreeMap::new(),
                removable_at: now + REMOVAL_DELAY,
            });
            version_unused.copies.extend(copies.iter().copied());
            unused.insert(version.clone(), version_unused);
        }
        self.unused = unused;
    }

    /// Records that a call failed; it may have taken effect.
    pub fn record_failure(&mut self, now: Instant) {
        self.pending_until = None;
        self.listing = None;
        self.failed_at = Some(now);
    }

    /// Begins anew, since a restored store may lack some records, or some were removed in a suspension.
    pub fn restart(&mut self) {
        self.confirmation = EraConfirmation::default();
        self.needs_listing = true;
        self.listing = None;
        self.unused.clear();
    }

    /// Lists the records again, if this node is one of those that list them at their start.
    pub fn list_again(&mut self) {
        self.needs_listing = true;
    }

    fn needed_call(
        &mut self,
        origins: &StreamOrigins,
        services: &BTreeSet<ServiceId>,
        now: Instant,
    ) -> Option<VersionCall> {
        if origins.recorded_versions().is_listing_wanted(now) {
            return Some(VersionCall::List);
        }
        let is_settled = now >= self.started_at + SETTLE_PERIOD;
        let rank = |version: &ServiceVersion| origins.rank(&self.instance, version.key_hash());
        let unrecorded = unrecorded_versions(origins, services, now);
        let must_write = |version: &&ServiceVersion| {
            let is_awaited = origins.recorded_versions().is_awaited(&version.service);
            is_awaited || is_settled && rank(version) < WRITERS
        };
        if let Some(version) = unrecorded.iter().find(must_write) {
            // Most nodes hear of versions from partners, and do not list them at their start.
            return Some(match self.needs_listing {
                true => VersionCall::List,
                false => VersionCall::Add(version.clone()),
            });
        }
        if !is_settled {
            return None;
        }
        let unconfirmed = origins.known_era().filter(|known| !known.is_confirmed);
        if let Some(known) = unconfirmed {
            let rank = origins.rank(&self.instance, WATCHER_SEED);
            let call = self.confirmation.next_call(known, rank, origins, services, now);
            if call.is_some() {
                return call;
            }
        }
        let is_watcher = origins.rank(&self.instance, WATCHER_SEED) < WATCHERS;
        if self.needs_listing && is_watcher || self.is_untold(origins, &unrecorded, now) {
            return Some(VersionCall::List);
        }
        self.needed_removal(origins, now)
    }

    /// Whether one of the versions that are not known to be recorded has servers, and nobody has told of it
    /// for a while.
    fn is_untold(
        &mut self,
        origins: &StreamOrigins,
        unrecorded: &[ServiceVersion],
        now: Instant,
    ) -> bool {
        let has_unknown = unrecorded.iter().any(|version| origins.is_in_service(version, now));
        if !has_unknown {
            self.list_untold_at = None;
            return false;
        }
        let list_at = *self.list_untold_at.get_or_insert(now + UNTOLD_PERIOD);
        if now < list_at {
            return false;
        }
        self.list_untold_at = None;
        true
    }

    /// Returns the call that is needed for the removal of a record.
    fn needed_removal(&mut self, origins: &StreamOrigins, now: Instant) -> Option<VersionCall> {
        self.unused.retain(|version, _| !origins.is_in_service(version, now));
        let rank = origins.rank(&self.instance, WATCHER_SEED);
        let has_left = |version: &ServiceVersion| {
            !self.unused.contains_key(version) && !origins.is_in_service(version, now)
        };
        let mut known = origins.recorded_versions().all(now).into_iter();
        if rank < WATCHERS && known.any(|version| has_left(&version)) {
            return Some(VersionCall::List);
        }
        let mut unused = self.unused.iter_mut();
        let is_due = |unused: &UnusedVersion| rank == 0 && now >= unused.removable_at;
        let (version, unused) = unused.find(|(_, unused)| is_due(unused))?;
        let Some(listing) = self.listing.take() else { return Some(VersionCall::List) };
        let copies = listing.copies.get(version);
        let is_same = copies.is_some_and(|copies| unused.is_unchanged(copies));
        match listing.all_ends().filter(|_| is_same) {
            Some(ends) => Some(VersionCall::Remove { version: version.clone(), ends }),
            None => {
                // A partition has not answered.
                unused.removable_at = now + REMOVAL_RETRY_DELAY;
                None
            }
        }
    }
}

/// Returns the versions of services, as far as their servers were seen lately, that are not known to be
/// recorded.
fn unrecorded_versions(
    origins: &StreamOrigins,
    services: &BTreeSet<ServiceId>,
    now: Instant,
) -> Vec<ServiceVersion> {
    let versions_of = |service: &ServiceId| {
        let versions = origins.versions(service, now).into_iter();
        let service = service.clone();
        versions.map(move |software| ServiceVersion { service: service.clone(), software })
    };
    let versions = services.iter().flat_map(versions_of);
    versions.filter(|version| !origins.recorded_versions().contains(version, now)).collect()
}
