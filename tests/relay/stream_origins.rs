//! Origins of streams at 6, 68 and 295 nodes: streams of killed nodes are resumed at other nodes
//! while a second software version joins, datagrams are lost, and nodes learn of it late.

use coriandertide::decision::relay::streams::{
    FoundVersion, KnownOrigin, OriginAnswer, OriginRecord, PartitionListing, ServiceVersion,
    StreamKey, StreamOrigin, VersionListing,
};
use coriandertide::decision::relay::{PeerNode, StreamOrigins};
use coriandertide::types::{ServiceId, SoftwareVersion};
use smol_str::{SmolStr, format_smolstr};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: ServiceId = SmolStr::new_static("models");
const OLD: SoftwareVersion = SmolStr::new_static("v1");
const NEW: SoftwareVersion = SmolStr::new_static("v1.1");

const ZONES: usize = 3;

/// Part of the datagrams that are lost.
const LOSS: f64 = 0.05;

/// Part of the nodes that learn of the new version up to [`MAX_LAG_MS`] late.
const LATE_NODES: f64 = 0.1;
const MAX_LAG_MS: u64 = 3_000;

const JOIN_MS: u64 = 1_000;
const END_MS: u64 = 3_200;
const STREAM_LENGTH_MS: u64 = 2_000;

/// Time between two streams that begin at a node.
const STREAM_PERIOD_MS: u64 = 200;

/// Rounds in which nodes that have not answered are asked.
const ROUNDS: usize = 4;

/// Streams that may go on at another version: users are promised no more than two.
const MAX_WRONG: usize = 2;

/// Part of the resumed streams that must go on: half of the new ones that begin, which are all.
const MIN_RESUMED_FRACTION: f64 = 0.5;

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Begin { node: usize },
    Learn { node: usize },
    Deliver { node: usize, record: usize },
    Kill,
    Resume { stream: usize },
}

struct Stream {
    node: usize,
    key: StreamKey,
    software: SoftwareVersion,
    begun_ms: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    right: usize,
    wrong: usize,
    refused: usize,
}

struct Model {
    random: fastrand::Rng,
    start: Instant,
    nodes: Vec<StreamOrigins>,
    knows_new: Vec<bool>,
    is_alive: Vec<bool>,
    streams: Vec<Stream>,
    records: Vec<OriginRecord>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    outcome: Outcome,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}

impl Model {
    fn new(nodes: usize, kill_ms: u64, seed: u64) -> Self {
        let start = Instant::now();
        let mut model = Self {
            random: fastrand::Rng::with_seed(seed),
            start,
            nodes: vec![StreamOrigins::new(true, start); nodes],
            knows_new: vec![false; nodes],
            is_alive: vec![true; nodes],
            streams: Vec::new(),
            records: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            outcome: Outcome::default(),
        };
        for node in 0..nodes {
            let others = (0..nodes).filter(|other| *other != node);
            let others = others.map(|other| PeerNode {
                instance: format_smolstr!("n{other}"),
                availability_zone: format_smolstr!("z{}", other % ZONES),
                address: address(other),
                processor_percent: 0,
            });
            model.nodes[node].set_nodes(others.collect(), Vec::new());
            model.nodes[node].observe_version(&SERVICE, &OLD, start);
            let is_late = model.random.f64() < LATE_NODES;
            let lag_ms = model.random.u64(0..if is_late { MAX_LAG_MS } else { 150 });
            model.schedule(JOIN_MS + lag_ms, Event::Learn { node });
            let first_ms = model.random.u64(0..STREAM_PERIOD_MS);
            model.schedule(first_ms, Event::Begin { node });
        }
        model.schedule(kill_ms, Event::Kill);
        model
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            let now = self.start + Duration::from_millis(at_ms);
            match event {
                Event::Begin { node } if self.is_alive[node] => self.begin(node, at_ms, now),
                Event::Learn { node } if self.is_alive[node] => self.learn(node, now),
                Event::Deliver { node, record } if self.is_alive[node] => {
                    self.nodes[node].receive(self.records[record].clone(), now);
                }
                Event::Kill => self.kill(at_ms),
                Event::Resume { stream } => self.resume(stream, now),
                Event::Begin { .. } | Event::Learn { .. } | Event::Deliver { .. } => {}
            }
        }
        self.outcome
    }

    fn begin(&mut self, node: usize, at_ms: u64, now: Instant) {
        let is_new = self.knows_new[node] && self.random.bool();
        let software = if is_new { NEW } else { OLD };
        let key = self.random.u64(..);
        let origin = StreamOrigin { service: SERVICE, software: software.clone() };
        let expires_at = now + Duration::from_millis(15_000);
        let (record, owners) = self.nodes[node].begin(key, origin, expires_at, now);
        self.tell(record, &owners, at_ms);
        self.streams.push(Stream { node, key, software, begun_ms: at_ms });
        if at_ms + STREAM_PERIOD_MS < END_MS {
            self.schedule(at_ms + STREAM_PERIOD_MS, Event::Begin { node });
        }
    }

    fn learn(&mut self, node: usize, now: Instant) {
        self.knows_new[node] = true;
        assert!(self.nodes[node].observe_version(&SERVICE, &NEW, now));
    }

    fn tell(&mut self, record: OriginRecord, owners: &[SocketAddr], at_ms: u64) {
        let index = self.records.len();
        self.records.push(record);
        for owner in owners {
            if self.random.f64() >= LOSS {
                let node = usize::from(owner.port()) - 1_000;
                let delay_ms = self.random.u64(1..15);
                self.schedule(at_ms + delay_ms, Event::Deliver { node, record: index });
            }
        }
    }

    /// Kills a third of the nodes; the others do not notice before their streams are resumed.
    fn kill(&mut self, at_ms: u64) {
        for node in 0..self.nodes.len() {
            self.is_alive[node] = self.random.u8(0..3) > 0;
        }
        for index in 0..self.streams.len() {
            let stream = &self.streams[index];
            let is_open = stream.begun_ms + STREAM_LENGTH_MS > at_ms;
            if is_open && !self.is_alive[stream.node] {
                let delay_ms = self.random.u64(5..100);
                self.schedule(at_ms + delay_ms, Event::Resume { stream: index });
            }
        }
    }

    fn resume(&mut self, stream: usize, now: Instant) {
        let alive: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_alive[*node]).collect();
        let Some(&node) = alive.get(self.random.usize(0..alive.len().max(1))) else { return };
        let key = self.streams[stream].key;
        // The new version is recorded before the first stream begins at it.
        let is_recorded = self.streams.iter().any(|stream| stream.software == NEW);
        let recorded = if is_recorded { vec![OLD, NEW] } else { vec![OLD] };
        self.nodes[node].apply_listing(&listing(&recorded), now, now);
        let mut search = self.nodes[node].search(Some(key), &SERVICE, now);
        for _ in 0..ROUNDS {
            let asked = search.unanswered().to_vec();
            for asked in asked.into_iter().filter(|_| !search.is_over()).collect::<Vec<_>>() {
                let other = usize::from(asked.port()) - 1_000;
                let is_lost = self.random.f64() < LOSS * 2.0;
                if self.is_alive[other] && !is_lost && !search.is_over() {
                    search.add_answer(asked, self.nodes[other].answer(Some(key), &SERVICE, now));
                }
            }
        }
        let found = search.result();
        let software = match found {
            Some(FoundVersion::Known(software) | FoundVersion::Only(software)) => Some(software),
            None => None,
        };
        match software {
            None => self.outcome.refused += 1,
            Some(software) if software == self.streams[stream].software => self.outcome.right += 1,
            Some(_) => self.outcome.wrong += 1,
        }
    }
}

/// Guards against streams of killed nodes that go on at another software version, and against
/// refusing most of them instead.
#[test]
fn streams_of_killed_nodes_go_on_at_the_version_that_began_them() {
    for nodes in [6, 68, 295] {
        for kill_ms in [900, 1_010, 1_100, 1_500, 3_000] {
            for seed in 0..4 {
                let outcome = Model::new(nodes, kill_ms, seed).run();
                let case = format!("{nodes} nodes, kill at {kill_ms} ms, seed {seed}: {outcome:?}");
                assert!(outcome.wrong <= MAX_WRONG, "{case}");
                let all = outcome.right + outcome.wrong + outcome.refused;
                let is_judged = all >= 12;
                assert!(
                    !is_judged || outcome.right as f64 >= all as f64 * MIN_RESUMED_FRACTION,
                    "{case}"
                );
            }
        }
    }
}

/// Returns a listing by which all partitions hold these versions.
fn listing(versions: &[SoftwareVersion]) -> VersionListing {
    let version = |software: &SoftwareVersion| ServiceVersion {
        service: SERVICE,
        software: software.clone(),
    };
    let versions = versions.iter().map(|software| (version(software), 0)).collect();
    let partition = PartitionListing { versions, confirmed_era: None, end: 1 };
    VersionListing::from([Some(partition.clone()), Some(partition.clone()), Some(partition)])
}

fn node(index: usize) -> PeerNode {
    PeerNode {
        instance: format_smolstr!("n{index}"),
        availability_zone: format_smolstr!("z{index}"),
        address: address(index),
        processor_percent: 0,
    }
}

/// Guards against guessing between versions.
#[test]
fn the_origin_of_an_unknown_or_ambiguous_stream_is_not_guessed() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let origin = |software| StreamOrigin { service: SERVICE, software };
    for is_first_start in [true, false] {
        let mut origins = StreamOrigins::new(is_first_start, now);
        origins.observe_version(&SERVICE, &OLD, now);
        assert_eq!(origins.search(Some(1), &SERVICE, now).result(), None);
        // Without a record, a version may have left before the node's start.
        origins.apply_listing(&listing(&[]), now, now);
        let search = origins.search(Some(1), &SERVICE, now);
        assert_eq!((search.lacks_record(), search.result()), (true, None));
        origins.apply_listing(&listing(&[OLD]), now, now);
        assert_eq!(origins.search(Some(1), &SERVICE, now).result(), Some(FoundVersion::Only(OLD)));
        // The records of another service tell nothing of this one.
        let other = ServiceId::from("other");
        origins.observe_version(&other, &OLD, now);
        assert_eq!(origins.search(Some(1), &other, now).result(), None);
        origins.apply_listing(&listing(&[OLD, NEW]), now, now);
        assert_eq!(origins.search(Some(1), &SERVICE, now).result(), None);
        origins.apply_listing(&listing(&[NEW]), now, now);
        assert_eq!(origins.search(Some(1), &SERVICE, now).result(), None);
    }
    let mut origins = StreamOrigins::new(false, now);
    origins.observe_version(&SERVICE, &OLD, now);
    origins.set_nodes(vec![node(1), node(2)], Vec::new());
    let mut search = origins.search(Some(1), &SERVICE, now);
    assert_eq!((search.is_over(), search.result()), (false, None));
    let answer = |known, versions| OriginAnswer { known, versions };
    search.add_answer(address(1), answer(KnownOrigin::Unknown, vec![OLD]));
    assert_eq!((search.needs_listing(), search.result()), (true, None));
    origins.apply_listing(&listing(&[OLD]), now, now);
    search.update(&origins, Some(1), now);
    assert_eq!((search.is_over(), search.result()), (true, Some(FoundVersion::Only(OLD))));
    // Servers of a second version may be known to others alone.
    search.add_answer(address(2), answer(KnownOrigin::Unknown, vec![OLD, NEW]));
    assert_eq!((search.is_over(), search.result()), (true, None));
    // An id that was used twice has no version, a known one of another service neither.
    origins.begin(2, origin(OLD), later, now);
    assert_eq!(origins.search(Some(2), &SERVICE, now).result(), Some(FoundVersion::Known(OLD)));
    assert_eq!(origins.search(Some(2), &"other".into(), now).result(), None);
    origins.begin(2, origin(NEW), later, now);
    assert_eq!(origins.search(Some(2), &SERVICE, now).result(), None);
    // Neither do nodes that contradict each other.
    let mut search = origins.search(Some(3), &SERVICE, now);
    search.add_answer(address(1), answer(KnownOrigin::Origin(origin(OLD)), vec![OLD]));
    search.add_answer(address(2), answer(KnownOrigin::Origin(origin(NEW)), vec![OLD]));
    assert_eq!(search.result(), None);
}

/// Guards against streams that are remembered for ever, and against forgetting a version while its
/// streams may be resumed.
#[test]
fn origins_and_versions_expire() {
    let now = Instant::now();
    let after = |s| now + Duration::from_secs(s);
    let mut origins = StreamOrigins::new(true, now);
    origins.set_nodes(vec![node(1)], Vec::new());
    origins.observe_version(&SERVICE, &OLD, now);
    assert!(origins.observe_version(&SERVICE, &NEW, now));
    origins.observe_version(&SERVICE, &NEW, after(50));
    assert_eq!(origins.versions(&SERVICE, after(59)).len(), 2);
    assert_eq!(origins.versions(&SERVICE, after(61)), [NEW]);
    let origin = StreamOrigin { service: SERVICE, software: OLD };
    let (record, owners) = origins.begin(1, origin, after(1_000), now);
    assert_eq!((record.remaining_ms, owners), (60_000, vec![address(1)]));
    origins.remove_expired(after(59));
    assert_eq!(origins.len(), 1);
    origins.remove_expired(after(61));
    assert!(origins.is_empty());
}

/// Guards against a stream that goes on at the only version that nodes know which all started after it
/// began: the servers of its own version may have left before.
#[test]
fn nodes_that_started_after_a_stream_began_do_not_vouch_for_its_version() {
    let now = Instant::now();
    for node_count in [6, 68, 295] {
        let mut nodes = vec![StreamOrigins::new(false, now); node_count];
        for (index, origins) in nodes.iter_mut().enumerate() {
            let others = (0..node_count).filter(|other| *other != index);
            origins.set_nodes(others.map(node).collect(), Vec::new());
            origins.observe_version(&SERVICE, &NEW, now);
        }
        let mut search = nodes[0].search(Some(1), &SERVICE, now);
        for asked in search.unanswered().to_vec() {
            let other = usize::from(asked.port()) - 1_000;
            search.add_answer(asked, nodes[other].answer(Some(1), &SERVICE, now));
        }
        assert_eq!(search.result(), None, "{node_count} nodes");
    }
}

/// Guards against a node that was cut off, or stood still, and takes what it knew before for proof that there
/// is one version: its age, its first start, an older listing, and the word of other nodes prove nothing.
#[test]
fn a_node_out_of_step_does_not_vouch_for_the_version_of_a_stream() {
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    for (is_first_start, came_ms) in [(true, 3_000), (true, 90_000), (false, 90_000)] {
        let mut origins = StreamOrigins::new(is_first_start, now);
        origins.set_nodes(vec![node(1), node(2)], Vec::new());
        origins.observe_version(&SERVICE, &OLD, after(came_ms - 1_000));
        origins.apply_listing(&listing(&[OLD]), after(came_ms - 1), after(came_ms));
        let mut search = origins.search(Some(1), &SERVICE, after(came_ms));
        assert!(search.needs_listing());
        for index in [1, 2] {
            let answer = OriginAnswer { known: KnownOrigin::Unknown, versions: vec![OLD] };
            search.add_answer(address(index), answer);
        }
        assert_eq!(search.result(), None);
        // A listing since then decides, also if the version came and went unseen.
        let listed_at = after(came_ms + 10);
        let mut same = origins.clone();
        same.apply_listing(&listing(&[OLD]), after(came_ms), listed_at);
        let mut decided = search.clone();
        decided.update(&same, Some(1), listed_at);
        assert_eq!(decided.result(), Some(FoundVersion::Only(OLD)));
        origins.apply_listing(&listing(&[OLD, NEW]), after(came_ms), listed_at);
        search.update(&origins, Some(1), listed_at);
        assert_eq!(search.result(), None);
    }
}
