//! Load exchange of many nodes: each node learns the load of all by messages to few neighbours.

use super::fixture::*;
use coriandertide::decision::membership::{MemberRecord, MemberStatus, TreePlace, tree_place};
use coriandertide::decision::relay::load_exchange::IgnoredLoad;
use coriandertide::decision::relay::server::ServerLoad;
use coriandertide::decision::relay::{Fleet, LoadExchange};
use coriandertide::types::InstanceId;
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum neighbours of a node at the largest supported site.
const MAX_NEIGHBOURS: usize = 30;

fn members(nodes: u16) -> Vec<MemberRecord> {
    let member = |node: u16| MemberRecord {
        instance: format_smolstr!("node-{node}"),
        address: SocketAddr::from(([127, 0, 0, 1], 2_000 + node)),
        availability_zone: ZONES[usize::from(node) % ZONES.len()].into(),
        started_unix_ms: 1,
        version: 0,
        status: MemberStatus::Alive,
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
        let now = Instant::now();
        let start = |(id, place): (InstanceId, TreePlace)| {
            let (mut exchange, mut fleet) = (LoadExchange::new(now), fleet(12, 1));
            exchange.set_place(&place, true, &mut fleet);
            (id, (exchange, fleet))
        };
        Self { now, nodes: places(&members(nodes)).into_iter().map(start).collect() }
    }

    /// Sends one message from every node to each neighbour that lacks its load; returns the number
    /// of messages.
    fn round(&mut self) -> usize {
        self.now += ms(100);
        let mut sent = Vec::new();
        for (id, (exchange, fleet)) in &mut self.nodes {
            exchange.queue_new_prefixes(fleet);
            let peers: Vec<_> = exchange.neighbours().cloned().collect();
            for peer in peers {
                let load = exchange.next_message(&peer, fleet, self.now);
                sent.extend(load.map(|load| (id.clone(), peer, load)));
            }
        }
        let live = self.nodes.len() as u32;
        let count = sent.len();
        for (from, to, load) in sent {
            let (exchange, fleet) = self.nodes.get_mut(&to).unwrap();
            exchange.receive(&from, &load, live, fleet, self.now).unwrap();
        }
        count
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
