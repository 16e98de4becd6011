//! Load exchange of many nodes: each node learns the load of all by messages to few neighbours.

use super::fixture::*;
use coriandertide::decision::membership::{MemberRecord, MemberStatus, TreePlace, tree_place};
use coriandertide::decision::relay::load_exchange::{IgnoredLoad, RelayLoad};
use coriandertide::decision::relay::server::{PendingPrefill, ServerLoad};
use coriandertide::decision::relay::{Fleet, LoadExchange};
use coriandertide::links::PartnerMessage;
use coriandertide::types::InstanceId;
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum neighbours of a node at the largest supported site.
const MAX_NEIGHBOURS: usize = 30;

/// Bytes that a node may send for control in a second, by the target of the capacity page.
const CONTROL_BYTES_PER_S: usize = 14_000;

fn members(nodes: u16) -> Vec<MemberRecord> {
    let member = |node: u16| MemberRecord {
        instance: format_smolstr!("node-{node}"),
        address: SocketAddr::from(([127, 0, 0, 1], 2_000 + node)),
        availability_zone: ZONES[usize::from(node) % ZONES.len()].into(),
        started_unix_ms: 1,
        version: 0,
        status: MemberStatus::Alive,
        processor_percent: 0,
        peer_address: None,
        is_stopping: false,
    };
    (0..nodes).map(member).collect()
}

fn places(members: &[MemberRecord]) -> BTreeMap<InstanceId, TreePlace> {
    let place = |me: &MemberRecord| {
        let others: Vec<_> = members.iter().filter(|m| m.instance != me.instance).collect();
        (me.instance.clone(), tree_place(me, &others))
    };
    members.iter().map(place).collect()
}

/// Returns the number of nodes connected to the first one.
fn reached(places: &BTreeMap<InstanceId, TreePlace>) -> usize {
    let mut visited: BTreeSet<&InstanceId> = BTreeSet::new();
    let mut next: Vec<&InstanceId> = places.keys().take(1).collect();
    while let Some(node) = next.pop() {
        if visited.insert(node) {
            next.extend(places[node].neighbours());
        }
    }
    visited.len()
}

#[test]
fn all_nodes_compute_the_same_tree_with_few_neighbours() {
    for nodes in [1, 2, 3, 9, 15, 68, 84, 370] {
        let places = places(&members(nodes));
        assert_eq!(reached(&places), usize::from(nodes));
        let edges: usize = places.values().map(|place| place.children.len()).sum();
        assert_eq!(edges, usize::from(nodes) - 1);
        for (node, place) in &places {
            assert!(place.neighbours().count() <= MAX_NEIGHBOURS, "{nodes}: {place:?}");
            for child in &place.children {
                assert_eq!(places[child].parent.as_ref(), Some(node));
            }
        }
    }
}

#[test]
fn the_tree_has_one_link_per_other_zone() {
    let members = members(84);
    let zone: BTreeMap<_, _> =
        members.iter().map(|m| (m.instance.clone(), m.availability_zone.clone())).collect();
    let places = places(&members);
    let crossing = places
        .iter()
        .flat_map(|(node, place)| place.children.iter().filter(|child| zone[*child] != zone[node]));
    assert_eq!(crossing.count(), ZONES.len() - 1);
}

/// A few instances have several times the processor of the others.
#[test]
fn large_nodes_forward_for_the_others() {
    let mut members = members(295);
    for member in members.iter_mut().filter(|member| member.address.port() % 20 < 3) {
        member.processor_percent = 50;
    }
    let is_large = |node: &InstanceId| {
        members.iter().any(|member| member.instance == *node && member.processor_percent == 50)
    };
    let places = places(&members);
    let hubs = places.iter().filter(|(_, place)| place.children.len() >= MAX_NEIGHBOURS / 2);
    assert!(hubs.clone().count() > 0);
    assert!(hubs.into_iter().all(|(node, _)| is_large(node)));
}

#[test]
fn losing_a_node_moves_few_others() {
    let all = members(84);
    let before = places(&all);
    for lost in 0..84 {
        let mut others = all.clone();
        others.remove(lost);
        let after = places(&others);
        let moved = after.iter().filter(|(node, place)| place.parent != before[*node].parent);
        assert!(moved.count() <= 84 / 3, "{lost}");
    }
}

struct Site {
    now: Instant,
    nodes: BTreeMap<InstanceId, (LoadExchange, Fleet)>,
}

impl Site {
    fn new(nodes: u16) -> Self {
        Self::with_servers(nodes, 12)
    }

    fn with_servers(nodes: u16, servers: u16) -> Self {
        let now = Instant::now();
        let start = |(id, place): (InstanceId, TreePlace)| {
            let (mut exchange, mut fleet) = (LoadExchange::new(now), fleet(servers, 1));
            exchange.set_place(&place, true, &mut fleet);
            (id, (exchange, fleet))
        };
        Self { now, nodes: places(&members(nodes)).into_iter().map(start).collect() }
    }

    /// Sends one message from every node to each neighbour that lacks its load; returns the number
    /// of messages.
    fn round(&mut self) -> usize {
        self.round_with_sizes().len()
    }

    /// Like [`Site::round`]; returns the encoded size of each message.
    fn round_with_sizes(&mut self) -> Vec<usize> {
        self.now += ms(100);
        self.exchange(|_, _| true)
    }

    /// Passes 100 ms in which each node sends a round whenever its schedule says so.
    fn pass_100_ms(&mut self) {
        for _ in 0..10 {
            self.now += ms(10);
            self.exchange(|exchange, now| exchange.start_round_if_due(false, now));
        }
    }

    fn exchange(
        &mut self,
        mut starts_round: impl FnMut(&mut LoadExchange, Instant) -> bool,
    ) -> Vec<usize> {
        let mut sent = Vec::new();
        for (id, (exchange, fleet)) in &mut self.nodes {
            if !starts_round(exchange, self.now) {
                continue;
            }
            exchange.queue_new_prefixes(fleet);
            let peers: Vec<_> = exchange.neighbours().cloned().collect();
            for peer in peers {
                let load = exchange.next_message(&peer, fleet, self.now);
                sent.extend(load.map(|load| (id.clone(), peer, load)));
            }
        }
        let live = self.nodes.len() as u32;
        let size = |load: &RelayLoad| PartnerMessage::RelayLoad(load.clone()).encode().len();
        let sizes = sent.iter().map(|(_, _, load)| size(load)).collect();
        for (from, to, load) in sent {
            let (exchange, fleet) = self.nodes.get_mut(&to).unwrap();
            exchange.receive(&from, &load, live, fleet, self.now).unwrap();
        }
        sizes
    }

    fn send(&mut self, node: &str, server: &str, load: ServerLoad) {
        self.nodes.get_mut(node).unwrap().1.begin_request(&server.into(), 1, load, self.now);
    }

    fn known_requests(&self, server: &str) -> BTreeSet<u32> {
        let known = |(_, fleet): &(LoadExchange, Fleet)| {
            fleet.server(&server.into()).unwrap().total_load(self.now).requests
        };
        self.nodes.values().map(known).collect()
    }
}

/// Hundreds of nodes and servers, all of them in use: messages that list every server take more of a
/// small node's link and processor than the requests do.
#[test]
fn messages_do_not_grow_with_nodes_and_servers() {
    let mut site = Site::with_servers(120, 256);
    let nodes: Vec<InstanceId> = site.nodes.keys().cloned().collect();
    let load = ServerLoad {
        requests: 1,
        pending_prefill: PendingPrefill::new(1, 9_000),
        memory_tokens: 9_000,
        ..ServerLoad::default()
    };
    let mut bytes = 0;
    for round in 0..20_u64 {
        for (index, node) in nodes.iter().enumerate() {
            let server = (index as u64 * 31 + round * 97) % 256;
            let (_, fleet) = site.nodes.get_mut(node).unwrap();
            let id = format_smolstr!("s{server}");
            fleet.begin_request(&id, round, load, site.now);
            fleet.prefixes.add_cached(&[round * 1_000 + server], &id, true, site.now);
        }
        let sizes = site.round_with_sizes();
        assert!(sizes.iter().all(|size| *size <= 3_000), "{:?}", sizes.iter().max());
        bytes += sizes.iter().sum::<usize>();
    }
    let bytes_per_node_and_s = bytes / nodes.len() / 2;
    assert!(bytes_per_node_and_s <= CONTROL_BYTES_PER_S, "{bytes_per_node_and_s}");
}

/// All servers gain and lose requests all the time, and one gets a backlog.
#[test]
fn a_backlog_is_known_everywhere_before_small_changes() {
    let mut site = Site::with_servers(120, 256);
    let nodes: Vec<InstanceId> = site.nodes.keys().cloned().collect();
    let small = ServerLoad { requests: 1, ..ServerLoad::default() };
    let prompt = ServerLoad {
        requests: 1,
        pending_prefill: PendingPrefill::new(1, 9_000),
        memory_tokens: 9_000,
        ..ServerLoad::default()
    };
    for round in 0..16_u64 {
        for (index, node) in nodes.iter().enumerate() {
            let server = (index as u64 * 31 + round * 97) % 256;
            site.send(node, &format!("s{server}"), small);
            if round == 5 && index % 3 == 0 {
                site.send(node, "s7", prompt);
            }
        }
        site.round();
    }
    let backlog = |(_, fleet): &(LoadExchange, Fleet)| {
        fleet.server(&"s7".into()).unwrap().total_load(site.now).pending_prefill.total()
    };
    let known: BTreeSet<u32> = site.nodes.values().map(backlog).collect();
    assert_eq!(known, [40 * 9_000].into());
}

/// An engine goes dark with a request of one node; another engine answers that node late, but others
/// at once.
#[test]
fn only_a_dark_server_is_silent_at_all_nodes() {
    let mut site = Site::with_servers(120, 256);
    let request = ServerLoad { requests: 1, ..ServerLoad::default() };
    site.send("node-3", "s1", request);
    site.send("node-4", "s2", request);
    for _ in 0..14 {
        let (_, fleet) = site.nodes.get_mut("node-90").unwrap();
        fleet.server_mut(&"s2".into()).unwrap().health.record_contact(site.now);
        site.pass_100_ms();
        let is_silent = |(_, fleet): &(LoadExchange, Fleet)| {
            fleet.server(&"s2".into()).unwrap().is_silent(site.now)
        };
        assert!(!site.nodes.values().any(is_silent));
    }
    let is_silent = |(_, fleet): &(LoadExchange, Fleet)| {
        fleet.server(&"s1".into()).unwrap().is_silent(site.now)
    };
    assert!(site.nodes.values().all(is_silent));
}

/// A message is lost with its link, and the load that it announced ends meanwhile.
#[test]
fn a_reopened_link_leaves_no_old_load() {
    let mut site = Site::new(9);
    let request = ServerLoad { requests: 1, ..ServerLoad::default() };
    site.send("node-5", "s3", request);
    (0..7).for_each(|_| {
        site.round();
    });
    assert_eq!(site.known_requests("s3"), [1].into());
    let (exchange, fleet) = site.nodes.get_mut("node-5").unwrap();
    fleet.end_request(&"s3".into(), 1, request);
    let peers: Vec<InstanceId> = exchange.neighbours().cloned().collect();
    for peer in &peers {
        exchange.next_message(peer, fleet, site.now);
        exchange.restart(peer, fleet);
    }
    for peer in &peers {
        let (exchange, fleet) = site.nodes.get_mut(peer).unwrap();
        exchange.restart(&"node-5".into(), fleet);
    }
    (0..7).for_each(|_| {
        site.round();
    });
    assert_eq!(site.known_requests("s3"), [0].into());
}

#[test]
fn every_node_learns_the_load_of_all_nodes() {
    let mut site = Site::new(84);
    let request = ServerLoad { requests: 1, ..ServerLoad::default() };
    for node in 0..84 {
        site.send(&format!("node-{node}"), "s3", request);
    }
    (0..7).for_each(|_| {
        site.round();
    });
    assert_eq!(site.known_requests("s3"), [84].into());
    site.nodes.get_mut("node-5").unwrap().1.end_request(&"s3".into(), 1, request);
    (0..7).for_each(|_| {
        site.round();
    });
    assert_eq!(site.known_requests("s3"), [83].into());
}

#[test]
fn every_node_learns_which_prefixes_are_stored() {
    let mut site = Site::new(68);
    let now = site.now;
    site.nodes.get_mut("node-9").unwrap().1.prefixes.add_stored(&[77], now);
    (0..7).for_each(|_| {
        site.round();
    });
    assert!(site.nodes.values().all(|(_, fleet)| fleet.prefixes.is_stored(77, site.now)));
}

/// Requests with the same prefix come through many nodes, each of which gets one.
#[test]
fn every_node_learns_which_server_cached_a_prefix() {
    let mut site = Site::new(68);
    let now = site.now;
    let server = "s4".into();
    site.nodes.get_mut("node-9").unwrap().1.prefixes.add_cached(&[1, 77], &server, true, now);
    (0..7).for_each(|_| {
        site.round();
    });
    let holders =
        site.nodes.values().map(|(_, fleet)| fleet.prefixes.likely_cached_on(77, site.now));
    assert!(holders.into_iter().all(|holder| holder == Some(&server)));
}

#[test]
fn unchanged_loads_are_sent_rarely() {
    let mut site = Site::new(68);
    (0..8).for_each(|_| {
        site.round();
    });
    let messages: usize = (0..20).map(|_| site.round()).sum();
    assert!(messages <= 3 * 2 * 67, "{messages}");
}

#[test]
fn loads_that_circulate_are_ignored() {
    let mut site = Site::new(9);
    let (id, (exchange, fleet)) = site.nodes.iter_mut().next().unwrap();
    let peer = exchange.neighbours().next().unwrap().clone();
    let mut load = exchange.next_message(&peer, fleet, site.now).unwrap();
    load.nodes = 9;
    assert_eq!(
        exchange.receive(&peer, &load, 9, fleet, site.now),
        Err(IgnoredLoad::TooManyNodes),
        "{id}"
    );
}
