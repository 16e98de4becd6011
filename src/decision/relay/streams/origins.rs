//! Which software version began a stream that its caller may resume at any node.
//!
//! What two versions write of one stream does not fit together, and servers do not check it. The
//! node that forwards the first event of a stream tells the owners of the stream: a few other nodes,
//! the first ones for it by rendezvous hashing, in different availability zones. A node that a caller
//! asks to resume a stream asks these nodes and some more. A stream that nobody knows goes on only if
//! its service has had a single version, by the word of a node that knows all versions of the time in
//! which the stream can have begun. That node's list of servers must have been confirmed since the
//! caller came: a node that was cut off or stood still does not know what has begun meanwhile.
//!
//! Streams are told also while a service has a single version: a node that is killed just before it
//! learns of the second one could not tell them any more.
//!
//! When the live nodes change, each node that knows a stream tells those that have become its owners,
//! so that it stays known while nodes are stopped and started in turn. A stopping node owns no streams
//! any more, but answers for those that it knows until it has stopped.

use super::origin_messages::{KnownOrigin, OriginAnswer, OriginRecord, StreamKey, StreamOrigin};
use super::origin_search::OriginSearch;
use super::owners::{ASKED_NODES, OWNERS, node_hash, ranked_nodes};
use super::recorded_versions::RecordedVersions;
use super::version_records::{ServiceVersion, VersionListing};
use crate::decision::relay::peer_node::PeerNode;
use crate::types::{InstanceId, ServiceId, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest time for which a caller resumes a stream; a version is remembered that long after its last
/// server was seen.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);

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
    /// Since when the node has observed versions.
    observed_since: Instant,
    /// Whether no stream began before that, since the site started for the first time.
    is_first_start: bool,
    /// Versions that the record store held after the node's start.
    recorded: BTreeSet<ServiceVersion>,
    recorded_versions: RecordedVersions,
    streams: HashMap<StreamKey, KnownStream>,
    /// When a server of each version of a service was last seen.
    versions: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Instant>>,
    /// When the list of servers was last known to be complete, `None` if it never was.
    servers_confirmed_at: Option<Instant>,
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
            observed_since: now,
            is_first_start,
            recorded: BTreeSet::new(),
            recorded_versions: RecordedVersions::default(),
            streams: HashMap::new(),
            versions: BTreeMap::new(),
            servers_confirmed_at: None,
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
        versions.insert(software.clone(), now).is_none()
    }

    /// Records that the list of servers, whose versions have been observed, was complete at `at`.
    pub fn confirm_servers(&mut self, at: Instant) {
        self.servers_confirmed_at = self.servers_confirmed_at.max(Some(at));
    }

    /// Whether the list of servers was known to be complete at a moment since `since`.
    pub(super) fn has_confirmed_since(&self, since: Instant) -> bool {
        self.servers_confirmed_at.is_some_and(|at| at >= since)
    }

    /// Adds versions that the record store holds, of which some may have left before this node's start.
    pub fn add_recorded(&mut self, listing: &VersionListing, now: Instant) {
        for version in &listing.recorded() {
            self.add_recorded_version(version, now);
        }
        self.recorded.extend(listing.copies.keys().cloned());
    }

    /// Adds a version that the record store holds; returns whether that is news.
    pub fn add_recorded_version(&mut self, version: &ServiceVersion, now: Instant) -> bool {
        let is_new = self.recorded_versions.add(version);
        let is_recorded = |software: SoftwareVersion| {
            let service = version.service.clone();
            self.recorded_versions.contains(&ServiceVersion { service, software })
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

    /// Returns the versions that the service may have had within [`MAX_STREAM_LIFETIME`], as far as
    /// this node knows.
    pub(super) fn possible_versions(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<SoftwareVersion> {
        let mut versions = self.versions(service, now);
        if self.has_observed_long(now) {
            return versions;
        }
        for recorded in self.recorded.iter().filter(|recorded| recorded.service == *service) {
            if !versions.contains(&recorded.software) {
                versions.push(recorded.software.clone());
            }
        }
        versions
    }

    /// Whether these are all versions that the service may have had.
    pub(super) fn knows_all_versions(&self, service: &ServiceId, now: Instant) -> bool {
        self.is_first_start
            || self.has_observed_long(now)
            || self.recorded.iter().any(|recorded| recorded.service == *service)
    }

    fn has_observed_long(&self, now: Instant) -> bool {
        now >= self.observed_since + MAX_STREAM_LIFETIME
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
        let mut versions = self.possible_versions(service, now);
        versions.truncate(MAX_ANSWERED_VERSIONS);
        let known = stream.map_or(KnownOrigin::Unknown, |stream| self.known(stream, now));
        let servers_age = self.servers_confirmed_at.map(|at| now.saturating_duration_since(at));
        OriginAnswer {
            known,
            versions,
            is_complete: self.knows_all_versions(service, now),
            servers_age_ms: servers_age
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
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
