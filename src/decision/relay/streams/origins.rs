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

use super::version_records::ServiceVersion;
use crate::decision::relay::peer_node::PeerNode;
use crate::types::{InstanceId, RequestId, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Longest time for which a caller resumes a stream; a version is remembered that long after its last
/// server was seen.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Other nodes that are told of a stream.
const OWNERS: usize = 3;

/// Other nodes that are asked for a stream; more than its owners, since the nodes may disagree for a
/// moment on which are live.
const ASKED_NODES: usize = 8;

/// Nodes with the highest hashes for a stream, among which its owners and those that are asked are.
const RANKED_NODES: usize = 2 * ASKED_NODES;

/// Maximum streams that are remembered.
const MAX_STREAMS: usize = 65_536;

/// Maximum versions in an answer: two already show that a service has several.
const MAX_ANSWERED_VERSIONS: usize = 4;

/// Hash of the request id of the attempt that brought the first event of a stream.
pub type StreamKey = u64;

/// Returns the key of the stream whose first event the attempt `request` brought.
pub fn stream_key(request: &RequestId) -> StreamKey {
    xxh3_64(request.as_bytes())
}

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service of the server.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Software version of the server.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// Record of the origin of a stream, sent to its owners.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Stream.
    #[serde(rename = "k")]
    pub stream: StreamKey,
    /// Origin.
    #[serde(rename = "o")]
    pub origin: StreamOrigin,
    /// Milliseconds for which it may be resumed.
    #[serde(rename = "r")]
    pub remaining_ms: u64,
}

/// What a node knows of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KnownOrigin {
    /// Nothing.
    Unknown,
    /// Two streams of different origins have the same id.
    Ambiguous,
    /// Its origin.
    Origin(StreamOrigin),
}

/// Answer of a node that was asked for a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OriginAnswer {
    /// What it knows of the stream.
    #[serde(rename = "o")]
    pub known: KnownOrigin,
    /// Versions that the service may have had within [`MAX_STREAM_LIFETIME`]; some of them if there are
    /// many.
    #[serde(rename = "v")]
    pub versions: Vec<SoftwareVersion>,
    /// Whether these are all such versions of which the node can know. Nodes of earlier builds do not
    /// say so.
    #[serde(rename = "c", default)]
    pub is_complete: bool,
    /// Milliseconds since the node's list of servers was known to be complete, `None` if it never was.
    /// Nodes of earlier builds do not tell, so that they confirm nothing.
    #[serde(rename = "a", default)]
    pub servers_age_ms: Option<u64>,
}

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
        let record = origin_record(stream, origin, known.expires_at, now);
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
    fn has_confirmed_since(&self, since: Instant) -> bool {
        self.servers_confirmed_at.is_some_and(|at| at >= since)
    }

    /// Adds versions that the record store holds, of which some may have left before this node's start.
    pub fn add_recorded(&mut self, recorded: BTreeSet<ServiceVersion>) {
        self.recorded.extend(recorded);
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
    fn possible_versions(&self, service: &ServiceId, now: Instant) -> Vec<SoftwareVersion> {
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
    fn knows_all_versions(&self, service: &ServiceId, now: Instant) -> bool {
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
        let record = origin_record(stream, origin.clone(), expires_at, now);
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
        let known = stream.map_or(KnownOrigin::Unknown, |stream| self.known(stream, now));
        let nodes = self.nodes.iter().chain(&self.stopping_nodes);
        let asked = ranked_nodes(nodes, stream.unwrap_or_default(), ASKED_NODES);
        let knows_all_versions = self.knows_all_versions(service, now);
        OriginSearch {
            began_at: now,
            knows_all_versions,
            service: service.clone(),
            known,
            versions: self.possible_versions(service, now),
            is_complete: knows_all_versions && self.has_confirmed_since(now),
            unanswered: asked.iter().map(|node| node.address).collect(),
            answers: 0,
            has_contradiction: false,
        }
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

fn node_hash(node: &PeerNode) -> u64 {
    xxh3_64(node.instance.as_bytes())
}

/// Returns the first `count` of the nodes for a stream: the first ones of several availability zones,
/// then the others, by their hashes.
fn ranked_nodes<'a>(
    nodes: impl IntoIterator<Item = &'a PeerNode>,
    stream: StreamKey,
    count: usize,
) -> Vec<&'a PeerNode> {
    let hash = |node: &PeerNode| xxh3_64_with_seed(node.instance.as_bytes(), stream);
    let mut ranked: Vec<(Reverse<u64>, &PeerNode)> =
        nodes.into_iter().map(|node| (Reverse(hash(node)), node)).collect();
    if ranked.len() > RANKED_NODES {
        ranked.select_nth_unstable_by_key(RANKED_NODES, |(hash, _)| *hash);
        ranked.truncate(RANKED_NODES);
    }
    ranked.sort_by(|(left, a), (right, b)| (left, &a.instance).cmp(&(right, &b.instance)));
    let mut chosen: Vec<&PeerNode> = Vec::with_capacity(count);
    for (_, node) in &ranked {
        let is_in_new_zone =
            chosen.iter().all(|other| other.availability_zone != node.availability_zone);
        if chosen.len() < OWNERS && is_in_new_zone {
            chosen.push(node);
        }
    }
    for (_, node) in &ranked {
        if chosen.len() < count && !chosen.contains(node) {
            chosen.push(node);
        }
    }
    chosen
}

fn origin_record(
    stream: StreamKey,
    origin: StreamOrigin,
    expires_at: Instant,
    now: Instant,
) -> OriginRecord {
    let remaining = expires_at.saturating_duration_since(now).as_millis();
    OriginRecord { stream, origin, remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX) }
}

/// How the version of a stream was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundVersion {
    /// A node knows the stream.
    Known(SoftwareVersion),
    /// Nobody knows it, and the service has had no other version.
    Only(SoftwareVersion),
}

/// Search for the origin of a stream.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    began_at: Instant,
    /// Whether this node knows all versions once its list of servers is confirmed.
    knows_all_versions: bool,
    service: ServiceId,
    known: KnownOrigin,
    /// Versions that the service may have had, by this node's knowledge and by the answers.
    versions: Vec<SoftwareVersion>,
    /// Whether these are all, by the word of any node whose list of servers was confirmed since the
    /// search began.
    is_complete: bool,
    unanswered: Vec<SocketAddr>,
    answers: usize,
    /// Whether two nodes know different origins.
    has_contradiction: bool,
}

impl OriginSearch {
    /// Returns the nodes that have not answered.
    pub fn unanswered(&self) -> &[SocketAddr] {
        &self.unanswered
    }

    /// Returns the number of answers.
    pub fn answers(&self) -> usize {
        self.answers
    }

    /// Looks again at what this node itself knows.
    pub fn update(&mut self, origins: &StreamOrigins, stream: Option<StreamKey>, now: Instant) {
        self.add_versions(origins.possible_versions(&self.service, now));
        self.knows_all_versions = origins.knows_all_versions(&self.service, now);
        self.is_complete |= self.knows_all_versions && origins.has_confirmed_since(self.began_at);
        if let (KnownOrigin::Unknown, Some(stream)) = (&self.known, stream) {
            self.known = origins.known(stream, now);
        }
    }

    /// Whether a confirmation of this node's list of servers decides where the stream goes on.
    pub fn needs_confirmation(&self) -> bool {
        let may_be_only = self.known == KnownOrigin::Unknown && self.versions.len() == 1;
        may_be_only && self.knows_all_versions && !self.is_complete
    }

    fn add_versions(&mut self, versions: Vec<SoftwareVersion>) {
        for software in versions {
            if !self.versions.contains(&software) {
                self.versions.push(software);
            }
        }
    }

    /// Adds the answer of the node at `address`, which arrived at `now`; a second one of a node changes
    /// nothing.
    pub fn add_answer(&mut self, address: SocketAddr, answer: OriginAnswer, now: Instant) {
        let Some(index) = self.unanswered.iter().position(|asked| *asked == address) else {
            return;
        };
        self.unanswered.swap_remove(index);
        self.answers += 1;
        let age_ms = now.saturating_duration_since(self.began_at).as_millis();
        let is_confirmed = answer.servers_age_ms.is_some_and(|ms| u128::from(ms) < age_ms);
        self.is_complete |= answer.is_complete && is_confirmed;
        self.add_versions(answer.versions);
        match (&self.known, answer.known) {
            (_, KnownOrigin::Unknown) => {}
            (KnownOrigin::Unknown, known) => self.known = known,
            (known, other) => self.has_contradiction |= *known != other,
        }
    }

    /// Returns whether more answers cannot change the result.
    pub fn is_over(&self) -> bool {
        let is_confirmed = self.versions.len() == 1 && self.is_complete;
        self.known != KnownOrigin::Unknown || self.unanswered.is_empty() || is_confirmed
    }

    /// Returns the version at which the stream goes on, `None` if that is not certain.
    pub fn result(&self) -> Option<FoundVersion> {
        match &self.known {
            _ if self.has_contradiction => None,
            KnownOrigin::Ambiguous => None,
            KnownOrigin::Origin(origin) if origin.service != self.service => None,
            KnownOrigin::Origin(origin) => Some(FoundVersion::Known(origin.software.clone())),
            KnownOrigin::Unknown if !self.is_complete => None,
            KnownOrigin::Unknown => match self.versions.as_slice() {
                [only] => Some(FoundVersion::Only(only.clone())),
                _ => None,
            },
        }
    }
}
