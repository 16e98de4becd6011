//! Which software version began a stream that its caller may resume at any node.
//!
//! What two versions write of one stream does not fit together, and servers do not check it. The
//! node that forwards the first event of a stream tells the owners of the stream: a few other nodes,
//! the first ones for it by rendezvous hashing, in different availability zones. A node that a caller
//! asks to resume a stream asks these nodes and some more. A stream that nobody knows goes on only if
//! its service has a single version in the record store, listed after the caller came: streams begin only
//! at recorded versions, so that it does not matter what this node has missed.
//!
//! Streams are told also while a service has a single version: a node that is killed just before it
//! learns of the second one could not tell them any more.
//!
//! When the live nodes change, each node that knows a stream tells those that have become its owners,
//! so that it stays known while nodes are stopped and started in turn. A stopping node owns no streams
//! any more, but answers for those that it knows until it has stopped.

use super::origin_messages::{
    KnownOrigin, OriginAnswer, OriginRecord, StreamKey, StreamOrigin, may_be_unproven,
};
use super::origin_search::OriginSearch;
use super::owners::{ASKED_NODES, OWNERS, node_hash, ranked_nodes};
use super::recorded_versions::RecordedVersions;
use super::store_era::{EraAnswer, EraKnowledge, KnownEra};
use super::version_records::{ServiceVersion, VersionListing};
use crate::decision::relay::peer_node::PeerNode;
use crate::types::{InstanceId, ServiceId, SoftwareVersion, StoreEra};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest time for which a caller resumes a stream; a version is remembered that long after its last
/// server was seen.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Time after which a version without a server that was seen counts as out of service; all servers are
/// looked through each second.
const UNSEEN_PERIOD: Duration = Duration::from_millis(1_500);

/// Maximum streams that are remembered.
const MAX_STREAMS: usize = 65_536;

/// Maximum versions in an answer: two already show that a service has several.
const MAX_ANSWERED_VERSIONS: usize = 4;

#[derive(Clone, Debug)]
struct KnownStream {
    /// Origin, `None` if it is ambiguous.
    origin: Option<StreamOrigin>,
    expires_at: Instant,
    /// Number of other nodes that are its owners: one less if this node is one of them.
    other_owners: usize,
    /// Hashes of the nodes that have been told of the stream.
    told: Vec<u64>,
}

/// Origins of streams and versions of services, as known to a node.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    /// Until when this node may have the first version of a service recorded for a stream that is taken up:
    /// none can have begun before the first start of the site. `None` if it may not.
    first_records_until: Option<Instant>,
    era: EraKnowledge,
    recorded_versions: RecordedVersions,
    streams: HashMap<StreamKey, KnownStream>,
    /// When a server of each version of a service was last seen.
    versions: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Instant>>,
    /// Other live nodes.
    nodes: Vec<PeerNode>,
    /// Other nodes that are stopping.
    stopping_nodes: Vec<PeerNode>,
    /// Streams whose owners may have changed since they were told.
    unchecked: VecDeque<StreamKey>,
}

/// Record for the nodes that have become owners of a stream.
pub type OriginReplica = (OriginRecord, Vec<SocketAddr>);

impl StreamOrigins {
    /// Returns the state of a node that starts now; `is_first_start` if the whole site starts for the
    /// first time.
    pub fn new(is_first_start: bool, now: Instant) -> Self {
        Self {
            first_records_until: is_first_start.then(|| now + MAX_STREAM_LIFETIME),
            era: EraKnowledge::new(is_first_start, now),
            recorded_versions: RecordedVersions::default(),
            streams: HashMap::new(),
            versions: BTreeMap::new(),
            nodes: Vec::new(),
            stopping_nodes: Vec::new(),
            unchecked: VecDeque::new(),
        }
    }

    /// Sets the other live nodes, and those that are stopping.
    pub fn set_nodes(&mut self, nodes: Vec<PeerNode>, stopping_nodes: Vec<PeerNode>) {
        if self.nodes != nodes {
            // Streams that are still unchecked go first, however often the nodes change.
            let queued: HashSet<StreamKey> = self.unchecked.iter().copied().collect();
            let others = self.streams.keys().filter(|stream| !queued.contains(stream));
            self.unchecked.extend(others);
        }
        self.nodes = nodes;
        self.stopping_nodes = stopping_nodes;
    }

    /// Checks at most `max_streams` of the streams whose owners may have changed; returns records for
    /// the nodes that have become owners.
    pub fn next_replicas(&mut self, max_streams: usize, now: Instant) -> Vec<OriginReplica> {
        let checked = self.unchecked.len().min(max_streams);
        let keys: Vec<StreamKey> = self.unchecked.drain(..checked).collect();
        keys.into_iter().filter_map(|stream| self.replicate(stream, now)).collect()
    }

    /// Returns the record of a stream for its owners that have not been told, `None` if all have.
    fn replicate(&mut self, stream: StreamKey, now: Instant) -> Option<OriginReplica> {
        let known = self.streams.get(&stream).filter(|known| now < known.expires_at)?;
        let origin = known.origin.clone()?;
        let owners = ranked_nodes(&self.nodes, stream, known.other_owners);
        let untold: Vec<&PeerNode> =
            owners.into_iter().filter(|node| !known.told.contains(&node_hash(node))).collect();
        if untold.is_empty() {
            return None;
        }
        let record = OriginRecord::new(stream, origin, known.expires_at, now);
        let addresses = untold.iter().map(|node| node.address).collect();
        let hashes: Vec<u64> = untold.into_iter().map(node_hash).collect();
        self.streams.get_mut(&stream)?.told.extend(hashes);
        Some((record, addresses))
    }

    /// Records that a server of a service has a version; returns whether it is a new one.
    pub fn observe_version(
        &mut self,
        service: &ServiceId,
        software: &SoftwareVersion,
        now: Instant,
    ) -> bool {
        let versions = self.versions.entry(service.clone()).or_default();
        versions.retain(|_, seen_at| now < *seen_at + MAX_STREAM_LIFETIME);
        let is_new = versions.insert(software.clone(), now).is_none();
        self.recorded_versions.observe(service, software, now);
        is_new
    }

    /// Whether a server of a version was seen lately.
    pub(super) fn is_in_service(&self, version: &ServiceVersion, now: Instant) -> bool {
        let versions = self.versions.get(&version.service);
        let seen_at = versions.and_then(|versions| versions.get(&version.software));
        seen_at.is_some_and(|seen_at| now < *seen_at + UNSEEN_PERIOD)
    }

    /// Returns the versions with servers that the record store is known to hold.
    pub fn recorded_versions_in_service(&self, now: Instant) -> Vec<ServiceVersion> {
        let mut versions = self.recorded_versions.all(now);
        versions.retain(|version| self.is_in_service(version, now));
        versions
    }

    /// Applies a listing of the record store that was requested at `requested_at`.
    pub fn apply_listing(&mut self, listing: &VersionListing, requested_at: Instant, now: Instant) {
        self.observe_era(listing.era(), now);
        if listing.is_era_confirmed() {
            self.era.confirm(listing.era());
        }
        // Before the first start of the site there were no streams.
        let is_proof = self.is_era_confirmed() && listing.is_era_confirmed()
            || self.first_records_until.is_some_and(|until| now < until);
        for version in &listing.recorded() {
            self.add_recorded_version(version, now);
        }
        self.era.apply_listing(listing.copies.keys(), is_proof, now);
        self.recorded_versions.set_listed(listing, is_proof, requested_at);
    }

    /// Records that the store is in `era`. After a restore, forgets what it may lack; returns whether it was
    /// restored.
    pub fn observe_era(&mut self, era: StoreEra, now: Instant) -> bool {
        let is_restored = self.era.observe(era, now);
        if is_restored {
            self.recorded_versions.clear();
            self.first_records_until = None;
        }
        is_restored
    }

    /// Returns the newest known era of the store, `None` before its first answer.
    pub(super) fn known_era(&self) -> Option<KnownEra> {
        self.era.known()
    }

    /// Whether the store is known to hold all versions of which streams may be open.
    pub fn is_era_confirmed(&self) -> bool {
        self.era.known().is_some_and(|known| known.is_confirmed)
    }

    /// Records that all versions of before an era are recorded in it; returns whether that is news of the
    /// present one.
    pub fn confirm_era(&mut self, era: StoreEra) -> bool {
        self.era.confirm(era)
    }

    /// Records that this node may have missed versions that came and went.
    pub fn record_gap(&mut self, now: Instant) {
        self.era.record_gap(now);
    }

    /// Whether this node knows all versions of which streams may be open.
    pub(super) fn is_complete(&self, now: Instant) -> bool {
        self.era.is_complete(now)
    }

    /// Returns the versions of which streams may be open, as far as this node knows.
    pub(super) fn open_versions(&self, now: Instant) -> BTreeSet<ServiceVersion> {
        let mut versions: BTreeSet<ServiceVersion> = self.era.listed(now).cloned().collect();
        for service in self.versions.keys() {
            let seen = self.versions(service, now).into_iter();
            let service = service.clone();
            versions
                .extend(seen.map(|software| ServiceVersion { service: service.clone(), software }));
        }
        for known in self.streams.values().filter(|known| now < known.expires_at) {
            let Some(StreamOrigin { service, software }) = known.origin.clone() else { continue };
            // Servers of a proven version have been seen, here or by the node that told of the stream.
            if !may_be_unproven(&software) {
                versions.insert(ServiceVersion { service, software });
            }
        }
        versions
    }

    /// Answers a node that confirms an era and has recorded the versions with the hashes `known`.
    pub fn answer_era(&self, known: &[u64], now: Instant) -> EraAnswer {
        let mut versions: Vec<ServiceVersion> = self.open_versions(now).into_iter().collect();
        versions.retain(|version| !known.contains(&version.key_hash()));
        let era = self.era.known().map(|known| known.era);
        EraAnswer { era, versions, is_complete: self.era.is_complete(now) }
    }

    /// Returns the addresses of the other nodes that carry streams.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.nodes.iter().chain(&self.stopping_nodes).map(|node| node.address)
    }

    /// Whether this node may have the first version of a service recorded for a stream that is taken up.
    pub fn may_record_first(&self, now: Instant) -> bool {
        self.first_records_until.is_some_and(|until| now < until)
    }

    /// Adds a version that the record store holds; returns whether that is news.
    pub fn add_recorded_version(&mut self, version: &ServiceVersion, now: Instant) -> bool {
        let is_new = self.recorded_versions.add(version, now);
        if self.is_in_service(version, now) {
            self.recorded_versions.observe(&version.service, &version.software, now);
        }
        let is_recorded = |software: SoftwareVersion| {
            let service = version.service.clone();
            self.recorded_versions.contains(&ServiceVersion { service, software }, now)
        };
        if self.versions(&version.service, now).into_iter().all(is_recorded) {
            self.recorded_versions.end_requests(&version.service);
        }
        is_new
    }

    /// Returns the versions that the record store is known to hold.
    pub fn recorded_versions(&self) -> &RecordedVersions {
        &self.recorded_versions
    }

    /// Returns the versions that the record store is known to hold, to change them.
    pub fn recorded_versions_mut(&mut self) -> &mut RecordedVersions {
        &mut self.recorded_versions
    }

    /// Returns how many other nodes are before `instance` in the order of `seed`.
    pub fn rank(&self, instance: &InstanceId, seed: u64) -> usize {
        let hash = |instance: &InstanceId| xxh3_64_with_seed(instance.as_bytes(), seed);
        let own = hash(instance);
        self.nodes.iter().filter(|node| hash(&node.instance) > own).count()
    }

    /// Returns the versions of which this node has seen servers within [`MAX_STREAM_LIFETIME`].
    pub fn versions(&self, service: &ServiceId, now: Instant) -> Vec<SoftwareVersion> {
        let seen = self.versions.get(service).into_iter().flatten();
        let current = seen.filter(|(_, seen_at)| now < **seen_at + MAX_STREAM_LIFETIME);
        current.map(|(software, _)| software.clone()).collect()
    }

    /// Records the origin of a stream of which this node is about to forward events; returns the
    /// record and the nodes that must be told.
    pub fn begin(
        &mut self,
        stream: StreamKey,
        origin: StreamOrigin,
        expires_at: Instant,
        now: Instant,
    ) -> (OriginRecord, Vec<SocketAddr>) {
        let expires_at = expires_at.min(now + MAX_STREAM_LIFETIME);
        let record = OriginRecord::new(stream, origin.clone(), expires_at, now);
        self.merge(stream, origin, expires_at, OWNERS, now);
        let owners = ranked_nodes(&self.nodes, stream, OWNERS);
        (record, owners.iter().map(|node| node.address).collect())
    }

    /// Records what another node says of a stream.
    pub fn receive(&mut self, record: OriginRecord, now: Instant) {
        let remaining = Duration::from_millis(record.remaining_ms).min(MAX_STREAM_LIFETIME);
        self.merge(record.stream, record.origin, now + remaining, OWNERS - 1, now);
    }

    /// Returns what this node knows of a stream.
    pub fn known(&self, stream: StreamKey, now: Instant) -> KnownOrigin {
        match self.streams.get(&stream).filter(|known| now < known.expires_at) {
            None => KnownOrigin::Unknown,
            Some(KnownStream { origin: None, .. }) => KnownOrigin::Ambiguous,
            Some(KnownStream { origin: Some(origin), .. }) => KnownOrigin::Origin(origin.clone()),
        }
    }

    /// Answers a query of another node.
    pub fn answer(
        &self,
        stream: Option<StreamKey>,
        service: &ServiceId,
        now: Instant,
    ) -> OriginAnswer {
        let mut versions = self.versions(service, now);
        versions.truncate(MAX_ANSWERED_VERSIONS);
        let known = stream.map_or(KnownOrigin::Unknown, |stream| self.known(stream, now));
        OriginAnswer { known, versions }
    }

    /// Returns the state of a search for the origin of a stream, `None` if the caller did not name
    /// its first attempt.
    pub fn search(
        &self,
        stream: Option<StreamKey>,
        service: &ServiceId,
        now: Instant,
    ) -> OriginSearch {
        let nodes = self.nodes.iter().chain(&self.stopping_nodes);
        let asked = ranked_nodes(nodes, stream.unwrap_or_default(), ASKED_NODES);
        let unanswered = asked.iter().map(|node| node.address).collect();
        let mut search = OriginSearch::new(service.clone(), unanswered, now);
        search.update(self, stream, now);
        search
    }

    /// Forgets expired streams and versions.
    pub fn remove_expired(&mut self, now: Instant) {
        self.streams.retain(|_, known| now < known.expires_at);
        for versions in self.versions.values_mut() {
            versions.retain(|_, seen_at| now < *seen_at + MAX_STREAM_LIFETIME);
        }
        self.versions.retain(|_, versions| !versions.is_empty());
        self.recorded_versions.remove_expired(now);
        self.era.remove_expired(now);
    }

    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn merge(
        &mut self,
        stream: StreamKey,
        origin: StreamOrigin,
        expires_at: Instant,
        other_owners: usize,
        now: Instant,
    ) {
        if self.streams.len() >= MAX_STREAMS {
            self.make_room(now);
        }
        match self.streams.get_mut(&stream).filter(|known| now < known.expires_at) {
            Some(known) => {
                if known.origin.as_ref() != Some(&origin) {
                    known.origin = None;
                }
                known.expires_at = known.expires_at.max(expires_at);
            }
            None => {
                // The node where the stream began tells all of its owners.
                let owners = ranked_nodes(&self.nodes, stream, other_owners);
                let told = owners.into_iter().map(node_hash).collect();
                let known = KnownStream { origin: Some(origin), expires_at, other_owners, told };
                self.streams.insert(stream, known);
            }
        }
    }

    fn make_room(&mut self, now: Instant) {
        self.streams.retain(|_, known| now < known.expires_at);
        if self.streams.len() < MAX_STREAMS {
            return;
        }
        let first = self.streams.iter().min_by_key(|(_, known)| known.expires_at);
        if let Some(stream) = first.map(|(stream, _)| *stream) {
            self.streams.remove(&stream);
        }
    }
}
