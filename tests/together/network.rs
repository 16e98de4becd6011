//! Virtual network of membership states with links, delays, partitions, kills and restarts.

use coriandertide::decision::membership::{
    MemberRecord, MemberStatus, MembershipCommand, MembershipEvent, MembershipSettings,
    MembershipState,
};
use coriandertide::types::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const STEP_MS: u64 = 100;
const MESSAGE_DELAY_MS: u64 = 20;
const REFUSAL_DELAY_MS: u64 = 10;
const DIAL_TIMEOUT_MS: u64 = 2_000;

pub struct Network {
    start: Instant,
    pub now_ms: u64,
    /// Running node at each address.
    pub nodes: Vec<Option<MembershipState>>,
    /// Partition group of each node; nodes of different groups cannot reach each other.
    pub groups: Vec<u8>,
    /// Pairs that cannot reach each other.
    pub cut_pairs: BTreeSet<Pair>,
    links: BTreeSet<Pair>,
    deliveries: BTreeMap<DeliveryKey, Delivery>,
    next_number: u64,
    started_runs: u64,
    pub sent_records: usize,
}

/// Pair of nodes, lower index first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pair(pub usize, pub usize);

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct DeliveryKey {
    at_ms: u64,
    /// Order of deliveries due at the same time.
    number: u64,
}

struct Delivery {
    to: usize,
    /// Run that the event is meant for; dropped if another one is running.
    run: InstanceId,
    event: MembershipEvent,
}

impl Network {
    pub fn new(nodes: usize) -> Self {
        let mut network = Self {
            start: Instant::now(),
            now_ms: 0,
            nodes: Vec::new(),
            groups: vec![0; nodes],
            cut_pairs: BTreeSet::new(),
            links: BTreeSet::new(),
            deliveries: BTreeMap::new(),
            next_number: 0,
            started_runs: 0,
            sent_records: 0,
        };
        network.nodes.resize_with(nodes, || None);
        for index in 0..nodes {
            network.start_node(index);
        }
        network
    }

    pub fn start_node(&mut self, index: usize) {
        self.kill(index);
        self.started_runs += 1;
        let record = MemberRecord {
            instance: format!("entry-{index}-{}", self.started_runs).into(),
            address: address(index),
            availability_zone: format!("zone-{}", index % 3).into(),
            started_unix_ms: 1_000_000 + self.now_ms,
            version: 0,
            status: MemberStatus::Alive,
            processor_percent: 0,
            peer_address: None,
            is_stopping: false,
        };
        self.nodes[index] = Some(MembershipState::new(record, MembershipSettings::default()));
        let seeds = (0..self.nodes.len()).map(address).collect();
        self.apply(index, MembershipEvent::SeedAddresses(seeds));
    }

    pub fn kill(&mut self, index: usize) {
        let Some(killed) = self.nodes[index].take() else { return };
        let peer_event = MembershipEvent::LinkClosed {
            peer: killed.local_record().instance.clone(),
            graceful: false,
        };
        for peer in self.linked_nodes(index) {
            self.links.remove(&pair(index, peer));
            self.send(peer, REFUSAL_DELAY_MS, peer_event.clone());
        }
    }

    pub fn linked_nodes(&self, index: usize) -> Vec<usize> {
        (0..self.nodes.len()).filter(|other| self.links.contains(&pair(index, *other))).collect()
    }

    pub fn advance(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            while let Some(entry) = self.deliveries.first_entry() {
                if entry.key().at_ms > self.now_ms {
                    break;
                }
                let Delivery { to, run, event } = entry.remove();
                if self.instance(to) == Some(&run) {
                    self.apply(to, event);
                }
            }
            for index in 0..self.nodes.len() {
                self.apply(index, MembershipEvent::Tick);
            }
        }
    }

    /// Asserts that the live members seen by each running node are exactly the running nodes.
    pub fn assert_converged(&self) {
        let running: BTreeSet<&InstanceId> =
            self.nodes.iter().flatten().map(|node| &node.local_record().instance).collect();
        for node in self.nodes.iter().flatten() {
            let me = &node.local_record().instance;
            let seen: BTreeSet<&InstanceId> =
                node.live_members().map(|member| &member.instance).chain([me]).collect();
            assert_eq!(seen, running, "view of {me} at {} ms", self.now_ms);
            let expected = if running.len() == 1 { self.nodes.len() } else { running.len() };
            assert_eq!(node.live_nodes() as usize, expected, "a node without links counts seeds");
        }
    }

    fn instance(&self, index: usize) -> Option<&InstanceId> {
        self.nodes[index].as_ref().map(|node| &node.local_record().instance)
    }

    fn index_of(&self, instance: &InstanceId) -> Option<usize> {
        (0..self.nodes.len()).find(|index| self.instance(*index) == Some(instance))
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        self.groups[a] == self.groups[b] && !self.cut_pairs.contains(&pair(a, b))
    }

    fn send(&mut self, to: usize, delay_ms: u64, event: MembershipEvent) {
        let Some(run) = self.instance(to).cloned() else { return };
        self.next_number += 1;
        let key = DeliveryKey { at_ms: self.now_ms + delay_ms, number: self.next_number };
        self.deliveries.insert(key, Delivery { to, run, event });
    }

    pub fn apply(&mut self, index: usize, event: MembershipEvent) {
        let now = self.start + Duration::from_millis(self.now_ms);
        let Some(node) = &mut self.nodes[index] else { return };
        let me = node.local_record().instance.clone();
        for command in node.apply(event, now) {
            match command {
                MembershipCommand::Dial(address) => self.dial(index, address),
                MembershipCommand::Close(peer) => self.close(index, &peer),
                MembershipCommand::SendRecords { to, records } => {
                    self.sent_records += records.len();
                    let event = MembershipEvent::Records { peer: me.clone(), records };
                    self.transmit(index, &to, event);
                }
                MembershipCommand::SendPing { to, digest } => {
                    self.transmit(index, &to, MembershipEvent::Ping { peer: me.clone(), digest });
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, to: &InstanceId, event: MembershipEvent) {
        let Some(to) = self.index_of(to) else { return };
        if self.links.contains(&pair(from, to)) && self.can_reach(from, to) {
            let peer = self.instance(from).cloned().expect("the sender is running");
            self.send(to, MESSAGE_DELAY_MS, MembershipEvent::MessageReceived(peer));
            self.send(to, MESSAGE_DELAY_MS, event);
        }
    }

    fn dial(&mut self, from: usize, to: SocketAddr) {
        let index = usize::from(to.port()) - 1;
        if !self.can_reach(from, index) {
            self.send(from, DIAL_TIMEOUT_MS, MembershipEvent::DialFailed(to));
        } else if self.nodes[index].is_none() {
            self.send(from, REFUSAL_DELAY_MS, MembershipEvent::DialFailed(to));
        } else if self.links.insert(pair(from, index)) {
            for (at, peer, dialed) in [(from, index, true), (index, from, false)] {
                let peer = self.nodes[peer]
                    .as_ref()
                    .expect("both nodes are running")
                    .local_record()
                    .clone();
                self.send(at, MESSAGE_DELAY_MS, MembershipEvent::LinkOpened { peer, dialed });
            }
        }
    }

    fn close(&mut self, from: usize, peer: &InstanceId) {
        let Some(to) = self.index_of(peer) else { return };
        if self.links.remove(&pair(from, to)) && self.can_reach(from, to) {
            let peer = self.instance(from).cloned().expect("the closing node is running");
            self.send(to, MESSAGE_DELAY_MS, MembershipEvent::LinkClosed { peer, graceful: true });
        }
    }
}

pub fn pair(a: usize, b: usize) -> Pair {
    Pair(a.min(b), a.max(b))
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).expect("few nodes");
    SocketAddr::from(([10, 0, 0, 1], port))
}
