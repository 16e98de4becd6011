//! Origins of streams while nodes are stopped and started in turn and servers of two software versions
//! serve, at 6, 68 and 295 nodes.

use coriandertide::decision::relay::streams::{
    FoundVersion, OriginRecord, StreamKey, StreamOrigin, stream_key,
};
use coriandertide::decision::relay::{PeerNode, StreamOrigins};
use coriandertide::types::{ServiceId, SoftwareVersion};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: ServiceId = SmolStr::new_static("models");
const VERSIONS: [SoftwareVersion; 2] = [SmolStr::new_static("v1"), SmolStr::new_static("v2")];

const ZONES: usize = 3;
const TICK_MS: u64 = 100;
const STREAM_MS: u64 = 12_000;

/// Time for which a stopping node carries its streams.
const GRACE_MS: u64 = 7_400;

/// Time until a stopped node runs again.
const DOWN_MS: u64 = 500;

/// Time after its start from which callers resume streams at a node.
const CONTACT_MS: u64 = 3_000;

/// Chance that a stream begins at a node in a tick.
const BEGIN_CHANCE: f64 = 0.1;

/// Part of the datagrams that are lost.
const LOSS: f64 = 0.02;

/// Maximum streams that a node checks in a tick.
const MAX_CHECKED_STREAMS: usize = 256;

/// Part of the resumed streams that must go on: half of the new ones that begin, which are all.
const MIN_RESUMED_FRACTION: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Running { since_ms: u64 },
    Stopping { until_ms: u64 },
    Down { until_ms: u64 },
}

struct Node {
    phase: Phase,
    run: u32,
    origins: StreamOrigins,
}

struct Stream {
    key: StreamKey,
    node: usize,
    version: usize,
    ends_ms: u64,
}

struct Model {
    start: Instant,
    random: fastrand::Rng,
    nodes: Vec<Node>,
    streams: Vec<Stream>,
    /// Streams that went on at their version, and all that were resumed.
    resumed: (usize, usize),
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}

impl Model {
    fn new(count: usize, seed: u64) -> Self {
        let start = Instant::now();
        let node = || Node {
            phase: Phase::Running { since_ms: 0 },
            run: 0,
            origins: StreamOrigins::new(true, start),
        };
        let nodes = (0..count).map(|_| node()).collect();
        let random = fastrand::Rng::with_seed(seed);
        let mut model = Self { start, random, nodes, streams: Vec::new(), resumed: (0, 0) };
        (0..count).for_each(|node| model.observe_versions(node, start));
        model.share_membership();
        model
    }

    fn observe_versions(&mut self, node: usize, now: Instant) {
        for version in &VERSIONS {
            self.nodes[node].origins.observe_version(&SERVICE, version, now);
        }
    }

    fn share_membership(&mut self) {
        let peer = |index: usize, run: u32| PeerNode {
            instance: format_smolstr!("n{index}-{run}"),
            availability_zone: format_smolstr!("z{}", index % ZONES),
            address: address(index),
            processor_percent: 0,
        };
        let phases: Vec<(Phase, PeerNode)> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(i, node)| (node.phase, peer(i, node.run)))
            .collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let others = || phases.iter().enumerate().filter(|(other, _)| *other != index);
            let live = others().filter(|(_, (phase, _))| matches!(phase, Phase::Running { .. }));
            let stopping =
                others().filter(|(_, (phase, _))| matches!(phase, Phase::Stopping { .. }));
            let live = live.map(|(_, (_, peer))| peer.clone()).collect();
            let stopping = stopping.map(|(_, (_, peer))| peer.clone()).collect();
            node.origins.set_nodes(live, stopping);
        }
    }

    /// Stops `stops` nodes in turn, `gap_ms` apart.
    fn run(&mut self, stops: usize, gap_ms: u64) {
        let end_ms = STREAM_MS + stops as u64 * gap_ms + GRACE_MS + CONTACT_MS;
        for at_ms in (0..end_ms).step_by(TICK_MS as usize) {
            let now = self.start + Duration::from_millis(at_ms);
            self.change_phases(stops, gap_ms, at_ms, now);
            for node in 0..self.nodes.len() {
                if matches!(self.nodes[node].phase, Phase::Running { .. })
                    && self.random.f64() < BEGIN_CHANCE
                {
                    self.begin(node, at_ms, now);
                }
                let origins = &mut self.nodes[node].origins;
                for (record, owners) in origins.next_replicas(MAX_CHECKED_STREAMS, now) {
                    self.tell(&record, &owners, now);
                }
            }
            self.streams.retain(|stream| at_ms < stream.ends_ms);
        }
    }

    fn change_phases(&mut self, stops: usize, gap_ms: u64, at_ms: u64, now: Instant) {
        let mut has_changed = false;
        for index in 0..self.nodes.len() {
            let stops_at_ms = STREAM_MS + (index as u64 * gap_ms).next_multiple_of(TICK_MS);
            let next = match self.nodes[index].phase {
                Phase::Running { .. } if index < stops && at_ms == stops_at_ms => {
                    Phase::Stopping { until_ms: at_ms + GRACE_MS }
                }
                Phase::Stopping { until_ms } if at_ms >= until_ms => {
                    Phase::Down { until_ms: at_ms + DOWN_MS }
                }
                Phase::Down { until_ms } if at_ms >= until_ms => {
                    self.nodes[index].run += 1;
                    self.nodes[index].origins = StreamOrigins::new(false, now);
                    self.observe_versions(index, now);
                    Phase::Running { since_ms: at_ms }
                }
                _ => continue,
            };
            self.nodes[index].phase = next;
            has_changed = true;
            if matches!(next, Phase::Down { .. }) {
                self.resume_streams_of(index, at_ms, now);
            }
        }
        if has_changed {
            self.share_membership();
        }
    }

    fn begin(&mut self, node: usize, at_ms: u64, now: Instant) {
        let key = stream_key(&format_smolstr!("s{}", self.random.u64(..)));
        let version = self.random.usize(0..VERSIONS.len());
        let origin = StreamOrigin { service: SERVICE, software: VERSIONS[version].clone() };
        let ends_ms = at_ms + STREAM_MS;
        let expires_at = self.start + Duration::from_millis(ends_ms + 4_000);
        let (record, owners) = self.nodes[node].origins.begin(key, origin, expires_at, now);
        self.tell(&record, &owners, now);
        self.streams.push(Stream { key, node, version, ends_ms });
    }

    fn tell(&mut self, record: &OriginRecord, owners: &[SocketAddr], now: Instant) {
        for owner in owners {
            let node = &mut self.nodes[usize::from(owner.port()) - 1_000];
            if !matches!(node.phase, Phase::Down { .. }) && self.random.f64() >= LOSS {
                node.origins.receive(record.clone(), now);
            }
        }
    }

    /// Resumes the streams that a node cuts at nodes that have run for a while.
    fn resume_streams_of(&mut self, cut: usize, at_ms: u64, now: Instant) {
        let is_in_touch = |node: &Node| match node.phase {
            Phase::Running { since_ms } => since_ms == 0 || at_ms >= since_ms + CONTACT_MS,
            Phase::Stopping { .. } | Phase::Down { .. } => false,
        };
        let usable: Vec<usize> =
            (0..self.nodes.len()).filter(|node| is_in_touch(&self.nodes[*node])).collect();
        let cut_streams: Vec<(StreamKey, usize)> = self
            .streams
            .iter()
            .filter(|stream| stream.node == cut && at_ms < stream.ends_ms)
            .map(|stream| (stream.key, stream.version))
            .collect();
        if usable.is_empty() {
            return;
        }
        for (key, version) in cut_streams {
            let node = usable[self.random.usize(0..usable.len())];
            let mut search = self.nodes[node].origins.search(Some(key), &SERVICE, now);
            for asked in search.unanswered().to_vec() {
                let other = &self.nodes[usize::from(asked.port()) - 1_000];
                if !matches!(other.phase, Phase::Down { .. }) {
                    let answer = other.origins.answer(Some(key), &SERVICE, now);
                    search.add_answer(asked, answer);
                }
            }
            self.resumed.1 += 1;
            match search.result() {
                Some(FoundVersion::Known(found) | FoundVersion::Only(found)) => {
                    assert_eq!(found, VERSIONS[version], "went on at another version");
                    self.resumed.0 += 1;
                }
                None => {}
            }
        }
    }
}

/// Guards against forgetting streams in a rolling restart, so that callers cannot resume those that
/// stopping nodes cut.
#[test]
fn streams_cut_by_nodes_that_stop_in_turn_go_on() {
    let gaps_ms = [200, 1_000, 1_300, 2_000, 4_000];
    let small = gaps_ms.into_iter().flat_map(|gap_ms| [(6, 6, gap_ms), (8, 8, gap_ms)]);
    for (count, stops, gap_ms) in small.chain([(68, 8, 1_000), (295, 2, 1_000)]) {
        let mut model = Model::new(count, gap_ms);
        model.run(stops, gap_ms);
        let (went_on, all) = model.resumed;
        assert!(
            went_on as f64 >= all as f64 * MIN_RESUMED_FRACTION,
            "{count} nodes, a stop each {gap_ms} ms: {went_on} of {all} streams went on"
        );
    }
}
