//! Time from the confirmation of a configuration to its being in force on the last node, and the bytes
//! that nodes send each other for it.

use super::fixture::ms;
use bytes::Bytes;
use coriandertide::decision::membership::{MemberRecord, MemberStatus, choose_partners};
use coriandertide::decision::relay::replica::{RecordsRequest, TopicDelta, TopicListing};
use coriandertide::decision::relay::{
    KeyedRecord, RecordPacker, RecordRequests, RecordTopic, Replica, record_packing,
};
use coriandertide::links::PartnerMessage;
use smol_str::{SmolStr, format_smolstr};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

const TOPIC: RecordTopic = RecordTopic::Operator;

/// Bytes a second of a link of 10 Mb/s half of which carries callers' requests.
const LINK_BYTES_PER_S: f64 = 625_000.0;

/// Time of a message between two nodes without its transfer.
const TRANSIT: Duration = Duration::from_millis(5);

/// Time of a wake-up of a pressed control thread.
const WAKE_UP: Duration = Duration::from_millis(10);

/// Time between two ticks of the control thread, which sends the digests of new records.
const TICK: Duration = Duration::from_millis(100);

/// Time between two digests without new records.
const DIGEST_PERIOD: Duration = Duration::from_millis(300);

/// Processor time per byte of a configuration that is decoded with 0.12 of a core.
const DECODE_NANOS_PER_BYTE: u64 = 150;

/// Nodes that read the topic, and the longest time until one of them asks for new records.
const FOLLOWERS: usize = 3;
const FOLLOWER_READ_GAP: Duration = Duration::from_millis(150);

/// Bytes of a page of records.
const PAGE_BYTES: usize = 64 * 1024;

/// Time between two changes.
const CHANGE_PERIOD: Duration = Duration::from_secs(3);

/// Returns a configuration of `routes` routes, of which the one numbered `version` has changed.
fn configuration(routes: u64, version: u64) -> Bytes {
    let mut random = fastrand::Rng::with_seed(7);
    let routes = (0..routes).map(|route| {
        let name = random.u32(..);
        let timeout_ms = if route == version { 3_000 + version } else { 3_000 };
        format!(
            "{{\"Name\":\"r-{name:07x}\",\"Hostname\":\"host-{}.example\",\"PathPrefix\":\"/{name:08x}/\",\
             \"Kind\":\"safe\",\"TimeoutMs\":{timeout_ms}.0,\"TargetLatencyMs\":300.0,\"Priority\":1,\
             \"Service\":\"service-{}\",\"MaxAttempts\":2,\"Public\":false}}",
            route % 9,
            route % 7
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(r#"{{"Version":{version},"Routes":[{}],"Services":[]}}"#, routes.join(",")).into()
}

fn record(version: u64, routes: u64) -> KeyedRecord {
    let value = Some(configuration(routes, version));
    KeyedRecord { topic: TOPIC, key: "config".into(), position: version, value }
}

fn member(node: usize) -> MemberRecord {
    MemberRecord {
        instance: format_smolstr!("node-{node}"),
        address: ([127, 0, 0, 1], 1_000 + node as u16).into(),
        availability_zone: ["north", "centre", "south"][node % 3].into(),
        started_unix_ms: 1,
        version: 0,
        status: MemberStatus::Alive,
        processor_percent: 12,
        peer_address: None,
        is_stopping: false,
    }
}

/// What happens at a node.
#[derive(Debug)]
enum Event {
    /// The store has answered its read.
    Read { version: u64 },
    /// A digest of a partner arrives.
    Digest { from: usize, known_below: u64 },
    /// A partner asks for records.
    Request { from: usize, request: RecordsRequest },
    /// A partner sends records.
    Records { from: usize, delta: Box<TopicDelta> },
    /// A tick of the control thread.
    Tick,
}

struct Node {
    replica: Replica,
    requests: RecordRequests,
    packer: RecordPacker,
    partners: Vec<usize>,
    next_digest_at: Instant,
    /// When what is queued on the link of the node has been sent, and received.
    sent_at: Instant,
    received_at: Instant,
    /// When the control thread has done what it was given.
    idle_at: Instant,
}

struct Nodes {
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    details: BTreeMap<u64, Event>,
    next_number: u64,
    routes: u64,
    sent_bytes: usize,
    /// When each version was in force on each node.
    in_force_at: BTreeMap<u64, BTreeMap<usize, Instant>>,
}

/// Result of one series of changes.
#[derive(Debug)]
struct Spread {
    longest: Duration,
    bytes_per_change: usize,
}

impl Nodes {
    fn new(count: usize, first_routes: u64, routes: u64, start: Instant) -> Self {
        let members: Vec<MemberRecord> = (0..count).map(member).collect();
        let mut partners: Vec<Vec<usize>> = vec![Vec::new(); count];
        for (node, local) in members.iter().enumerate() {
            let others: Vec<&MemberRecord> =
                members.iter().filter(|other| other.instance != local.instance).collect();
            for chosen in choose_partners(local, &others, 8, 4) {
                let other = usize::from(chosen.address.port()) - 1_000;
                if !partners[node].contains(&other) {
                    partners[node].push(other);
                    partners[other].push(node);
                }
            }
        }
        let nodes = partners.into_iter().map(|partners| {
            let mut replica = Replica::default();
            replica.apply_listing(
                TOPIC,
                TopicListing { records: vec![record(0, first_routes)], end: 1 },
            );
            Node {
                replica,
                requests: RecordRequests::default(),
                packer: RecordPacker::default(),
                partners,
                next_digest_at: start,
                sent_at: start,
                received_at: start,
                idle_at: start,
            }
        });
        Self {
            nodes: nodes.collect(),
            events: BinaryHeap::new(),
            details: BTreeMap::new(),
            next_number: 0,
            routes,
            sent_bytes: 0,
            in_force_at: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, at: Instant, node: usize, event: Event) {
        self.next_number += 1;
        self.details.insert(self.next_number, event);
        self.events.push(Reverse((at, self.next_number, node)));
    }

    /// Sends a message: it waits for the sender's link, and for the receiver's.
    fn send(&mut self, from: usize, to: usize, bytes: usize, now: Instant, event: Event) {
        self.sent_bytes += bytes;
        let transfer = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        let sent_at = self.nodes[from].sent_at.max(now) + transfer;
        self.nodes[from].sent_at = sent_at;
        let received_at = (self.nodes[to].received_at + transfer).max(sent_at + TRANSIT);
        self.nodes[to].received_at = received_at;
        self.schedule(received_at, to, event);
    }

    fn send_message(&mut self, from: usize, to: usize, message: PartnerMessage, now: Instant) {
        let bytes = message.encode().len();
        let event = match message {
            PartnerMessage::RecordsRequest(request) => Event::Request { from, request },
            PartnerMessage::Records(delta) => Event::Records { from, delta },
            other => panic!("unexpected message {other:?}"),
        };
        self.send(from, to, bytes, now, event);
    }

    fn send_request(&mut self, from: usize, to: usize, request: RecordsRequest, now: Instant) {
        let Node { replica, requests, .. } = &self.nodes[from];
        let request = requests.with_bases(request, replica);
        self.send_message(from, to, PartnerMessage::RecordsRequest(request), now);
    }

    fn send_digests(&mut self, node: usize, now: Instant) {
        const DIGEST_BYTES: usize = 150;
        self.nodes[node].next_digest_at = now + DIGEST_PERIOD;
        let known_below = self.nodes[node].replica.known_below(TOPIC).unwrap();
        for to in self.nodes[node].partners.clone() {
            self.send(node, to, DIGEST_BYTES, now, Event::Digest { from: node, known_below });
        }
    }

    /// Puts new records in force, which takes time for each byte.
    fn apply(&mut self, node: usize, updates: &[KeyedRecord], now: Instant) {
        if updates.is_empty() {
            return;
        }
        self.send_digests(node, now);
        for update in updates {
            let bytes = update.value.as_ref().map_or(0, Bytes::len) as u64;
            self.nodes[node].idle_at = self.nodes[node].idle_at.max(now)
                + Duration::from_nanos(bytes * DECODE_NANOS_PER_BYTE);
            let known = self.in_force_at.entry(update.position).or_default();
            known.entry(node).or_insert(self.nodes[node].idle_at);
        }
    }

    fn handle(&mut self, node: usize, event: Event, now: Instant) {
        match event {
            Event::Read { version } => {
                let records = vec![record(version, self.routes)];
                let updates = self.nodes[node].replica.apply_records(TOPIC, records, version + 1);
                self.apply(node, &updates, now);
            }
            Event::Digest { from, known_below } => {
                let Node { replica, requests, .. } = &mut self.nodes[node];
                let known = replica.known_below(TOPIC);
                if known >= Some(known_below) {
                    return;
                }
                let peer = name(from);
                let request = requests.announce(&peer, TOPIC, known_below, known, now);
                if let Some(request) = request {
                    self.send_request(node, from, request, now);
                }
            }
            Event::Request { from, request } => {
                let Node { replica, packer, .. } = &mut self.nodes[node];
                if let Some(mut delta) = replica.delta(&request, PAGE_BYTES) {
                    packer.pack(&mut delta, &request, replica);
                    let message = PartnerMessage::Records(Box::new(delta));
                    self.send_message(node, from, message, now);
                }
            }
            Event::Records { from, mut delta } => {
                let Node { replica, requests, .. } = &mut self.nodes[node];
                record_packing::unpack(&mut delta, replica).unwrap();
                let next_page = requests.receive(&name(from), &mut delta, now);
                let updates = replica.apply_delta(*delta);
                let known = replica.known_below(TOPIC);
                let next = next_page.map(|request| (name(from), request));
                let next = next.or_else(|| requests.next(TOPIC, known, now));
                self.apply(node, &updates, now);
                if let Some((peer, request)) = next {
                    let to = peer.trim_start_matches("node-").parse().unwrap();
                    self.send_request(node, to, request, now);
                }
            }
            Event::Tick => {
                if now >= self.nodes[node].next_digest_at {
                    self.send_digests(node, now);
                }
                self.schedule(now + TICK, node, Event::Tick);
            }
        }
    }

    fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, number, node))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, number, node)));
                return;
            }
            let Some(event) = self.details.remove(&number) else { continue };
            let idle_at = self.nodes[node].idle_at;
            if idle_at > at {
                self.schedule(idle_at, node, event);
                continue;
            }
            self.nodes[node].idle_at = at + WAKE_UP.mul_f64(0.1);
            self.handle(node, event, at);
        }
    }
}

fn name(node: usize) -> SmolStr {
    format_smolstr!("node-{node}")
}

/// Confirms `changes` configurations, each of which the followers read from the store. Nodes begin with
/// one of `first_routes`.
fn spread(count: usize, first_routes: u64, routes: u64, changes: u64) -> Spread {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(count as u64 + routes);
    let mut nodes = Nodes::new(count, first_routes, routes, start);
    for node in 0..count {
        let at = start + TICK.mul_f64(random.f64());
        nodes.schedule(at, node, Event::Tick);
    }
    nodes.run_until(start + ms(500));
    let record_bytes = configuration(routes, 1).len();
    let mut longest = Duration::ZERO;
    let sent_before = nodes.sent_bytes;
    let mut digest_bytes = 0;
    for version in 1..=changes {
        let confirmed_at = start + CHANGE_PERIOD * version as u32;
        nodes.run_until(confirmed_at);
        let transfer = Duration::from_secs_f64(record_bytes as f64 / LINK_BYTES_PER_S);
        for follower in 0..FOLLOWERS.min(count) {
            let read_at = confirmed_at + FOLLOWER_READ_GAP.mul_f64(random.f64());
            let received_at = nodes.nodes[follower].received_at.max(read_at) + transfer;
            nodes.nodes[follower].received_at = received_at;
            nodes.schedule(received_at, follower, Event::Read { version });
        }
        nodes.run_until(confirmed_at + CHANGE_PERIOD);
        let in_force = nodes.in_force_at.get(&version).cloned().unwrap_or_default();
        let last = match in_force.len() == count {
            true => in_force.values().max().unwrap().duration_since(confirmed_at),
            false => CHANGE_PERIOD,
        };
        longest = longest.max(last);
        // Digests are sent without changes too.
        digest_bytes +=
            150 * nodes.nodes.iter().map(|node| node.partners.len()).sum::<usize>() * 10;
    }
    let sent = (nodes.sent_bytes - sent_before).saturating_sub(digest_bytes);
    Spread { longest, bytes_per_change: sent / changes as usize }
}

/// Routes of configurations of about 1, 30 and 260 KB.
const SIZES: [u64; 3] = [5, 150, 1_400];

/// Guards against a large configuration whose copies fill the links of the nodes, so that it is in force
/// too late on the last of them.
#[test]
fn large_configurations_are_in_force_in_time() {
    for (nodes, bound_ms) in [(6, 1_500), (58, 1_500), (295, 2_000)] {
        for routes in SIZES {
            let spread = spread(nodes, routes, routes, 5);
            println!("{nodes} nodes, {routes} routes: {spread:?}");
            assert!(spread.longest <= ms(bound_ms), "{nodes} nodes, {routes} routes: {spread:?}");
        }
    }
}

/// Guards against many new routes, of which the nodes have no earlier version, that are served too late.
#[test]
fn many_new_routes_are_in_force_in_time() {
    for (nodes, bound_ms) in [(6, 1_500), (58, 1_500), (295, 2_000)] {
        let spread = spread(nodes, SIZES[0], SIZES[2], 1);
        println!("{nodes} nodes: {spread:?}");
        assert!(spread.longest <= ms(bound_ms), "{nodes} nodes: {spread:?}");
    }
}

/// Guards against a change of one route that costs a copy of the whole configuration for each node.
#[test]
fn a_change_costs_a_tenth_of_the_copies_of_a_configuration() {
    for nodes in [6, 58, 295] {
        let copies = configuration(SIZES[2], 1).len() * nodes;
        let bytes = spread(nodes, SIZES[2], SIZES[2], 5).bytes_per_change;
        assert!(bytes <= copies / 10, "{nodes} nodes: {bytes} bytes, {copies} in copies");
    }
}
