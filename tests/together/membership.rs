//! The membership views of nodes on a virtual network converge to the nodes that are running.

use crate::network::{Network, pair};
use crate::proptest_config;
use coriandertide::decision::membership::MembershipEvent;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Partition(u8),
    Heal,
    Cut(usize, usize),
    Wait(u64),
}

const NODES: usize = 6;

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    prop_oneof![
        2 => node.clone().prop_map(Fault::Kill),
        3 => node.clone().prop_map(Fault::Start),
        1 => any::<u8>().prop_map(Fault::Partition),
        1 => Just(Fault::Heal),
        2 => (node.clone(), node).prop_map(|(a, b)| Fault::Cut(a, b)),
        4 => (0..12_000u64).prop_map(Fault::Wait),
    ]
}

proptest! {
    #![proptest_config(proptest_config(0x3e3b))]

    #[test]
    fn views_converge_once_faults_end(faults in prop::collection::vec(fault(), 1..30)) {
        let mut network = Network::new(NODES);
        for fault in faults {
            match fault {
                Fault::Kill(node) => network.kill(node),
                Fault::Start(node) => network.start_node(node),
                Fault::Partition(bits) => {
                    network.groups = (0..NODES).map(|node| bits >> node & 1).collect();
                }
                Fault::Heal => {
                    network.groups = vec![0; NODES];
                    network.cut_pairs.clear();
                }
                Fault::Cut(a, b) => {
                    network.cut_pairs.insert(pair(a, b));
                }
                Fault::Wait(ms) => network.advance(ms),
            }
        }
        network.groups = vec![0; NODES];
        network.cut_pairs.clear();
        network.advance(60_000);
        network.assert_converged();
    }
}

#[test]
fn a_cut_link_between_two_nodes_declares_no_node_dead() {
    let mut network = Network::new(5);
    network.advance(5_000);
    network.assert_converged();
    network.cut_pairs.insert(pair(0, 1));
    for _ in 0..300 {
        network.advance(100);
        network.assert_converged();
    }
}

#[test]
fn a_killed_node_is_detected_within_six_seconds() {
    let mut network = Network::new(6);
    network.advance(5_000);
    network.kill(3);
    network.advance(6_000);
    network.assert_converged();
}

#[test]
fn a_leaving_node_is_removed_at_once() {
    let mut network = Network::new(4);
    // Leave just after the pings, so that no other node dials it before it receives the record.
    network.advance(5_300);
    network.leave(2);
    network.advance(500);
    network.nodes[2] = None;
    network.assert_converged();
}

#[test]
fn simultaneous_restarts_converge_within_three_seconds() {
    let mut network = Network::new(8);
    network.advance(5_000);
    for node in 0..8 {
        network.start_node(node);
    }
    network.advance(3_000);
    network.assert_converged();
}

#[test]
fn links_are_bounded_on_many_nodes_and_a_killed_zone_is_detected() {
    let mut network = Network::new(36);
    network.advance(60_000);
    network.assert_converged();
    let max_links = (0..36).map(|node| network.linked_nodes(node).len()).max();
    assert!(max_links <= Some(14), "{max_links:?} links at one node");
    let sent_records = network.sent_records;
    network.advance(60_000);
    assert_eq!(network.sent_records, sent_records, "records were sent although none changed");
    for node in (0..36).step_by(3) {
        network.kill(node);
    }
    network.advance(60_000);
    network.assert_converged();
}

#[test]
fn without_links_the_number_of_nodes_is_that_of_the_seeds() {
    let mut network = Network::new(3);
    network.groups = vec![0, 1, 2];
    network.advance(10_000);
    assert_eq!(network.nodes[0].as_ref().unwrap().live_nodes(), 3);
}

impl Network {
    fn leave(&mut self, node: usize) {
        self.apply(node, MembershipEvent::Leave);
    }
}

/// Guards against nodes that cannot be asked for their streams, and do not learn who takes them over,
/// from the moment at which they begin to stop.
#[test]
fn a_stopping_node_keeps_its_links_and_takes_no_duties() {
    for nodes in [6, 36] {
        let mut network = Network::new(nodes);
        network.advance(30_000);
        network.apply(0, MembershipEvent::Stop);
        network.advance(3_000);
        let stopping = network.nodes[0].as_ref().unwrap().local_record().instance.clone();
        for node in network.nodes[1..].iter().flatten() {
            assert!(node.live_members().all(|member| member.instance != stopping));
            assert!(node.stopping_members().any(|member| member.instance == stopping));
            assert_eq!(node.live_nodes() as usize, nodes - 1);
        }
        network.kill(1);
        network.start_node(1);
        network.advance(2_000);
        let started = network.nodes[1].as_ref().unwrap().local_record().instance.clone();
        let node = network.nodes[0].as_ref().unwrap();
        assert!(node.live_members().any(|member| member.instance == started), "{nodes} nodes");
        let node = network.nodes[1].as_ref().unwrap();
        assert!(node.stopping_members().any(|member| member.instance == stopping));
        network.leave(0);
        network.advance(1_000);
        let node = network.nodes[1].as_ref().unwrap();
        assert_eq!(node.stopping_members().count(), 0, "{nodes} nodes");
    }
}
