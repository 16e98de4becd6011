//! Nodes that lose their links to servers: when they count as cut off, and by way of which nodes
//! their requests go.

use super::fixture::ms;
use coriandertide::decision::relay::gateways::{Gateways, ReachAnswer};
use coriandertide::decision::relay::reach::{Reach, ReachChange, Trial};
use coriandertide::decision::relay::{Fleet, PeerNode, ServerEntry};
use coriandertide::types::{InstanceId, ServerId, ServiceId};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: ServiceId = SmolStr::new_static("models");

/// Time after which a node that is cut off must have another way.
const CONTACT: Duration = Duration::from_secs(3);

fn server(index: usize) -> ServerId {
    format_smolstr!("s{index}")
}

fn lose(reach: &mut Reach, servers: usize, lost: usize, now: Instant) -> Option<ReachChange> {
    let changes: Vec<_> = (0..lost)
        .filter_map(|index| reach.record_unreachable(&SERVICE, &server(index), servers, now))
        .collect();
    changes.first().copied()
}

/// Guards against taking crashes of some servers for a lost link.
#[test]
fn crashes_of_some_servers_leave_the_others_in_use() {
    let now = Instant::now();
    let mut reach = Reach::default();
    reach.record_contact(&SERVICE, 1, now);
    assert_eq!(lose(&mut reach, 12, 8, now), None);
    // Without contact two of twelve are too few, and failures are forgotten.
    let later = now + ms(2_000);
    let mut reach = Reach::default();
    assert_eq!(lose(&mut reach, 12, 2, later), None);
    assert_eq!(lose(&mut reach, 12, 2, later + ms(3_500)), None);
    // A connection that opens shows that the link is sound.
    reach.record_opened(&SERVICE, later + ms(3_600));
    let change = reach.record_unreachable(&SERVICE, &server(7), 12, later + ms(3_700));
    assert_eq!((change, reach.is_lost(&SERVICE)), (None, false));
}

/// Guards against a node that goes on trying servers one by one after it has lost them all.
#[test]
fn a_node_without_any_answer_tries_its_links_and_counts_as_cut_off_in_time() {
    let begin = Instant::now();
    let mut reach = Reach::default();
    for attempt in 0..40 {
        let target = server(attempt as usize % 12);
        reach.record_sent(&SERVICE, &target, attempt, begin);
    }
    assert!(reach.due_trials(begin + ms(300)).is_empty());
    let tried_at = begin + ms(450);
    let due = reach.due_trials(tried_at);
    let [(service, Trial::Servers(servers))] = due.as_slice() else { panic!("{due:?}") };
    assert_eq!((service, servers.len()), (&SERVICE, 3));
    let lost_at = tried_at + ms(400);
    let changes: Vec<_> = servers
        .iter()
        .filter_map(|server| reach.record_unreachable(&SERVICE, server, 12, lost_at))
        .collect();
    // Three servers may be down; others are tried before the links count as lost.
    assert_eq!(changes, []);
    let due = reach.due_trials(lost_at);
    assert_eq!(due, [(SERVICE, Trial::Others(servers.clone()))]);
    let lost_at = lost_at + ms(400);
    let others = (0..12).map(server).filter(|other| !servers.contains(other)).take(3);
    let changes: Vec<_> = others
        .filter_map(|other| reach.record_unreachable(&SERVICE, &other, 12, lost_at))
        .collect();
    assert_eq!(changes, [ReachChange::Lost]);
    assert!(lost_at < begin + CONTACT);
    assert!(!reach.is_direct(&SERVICE, 0, 0.0, lost_at));
}

/// Guards against a silence of one sound server that counts as a lost link.
#[test]
fn a_silent_server_beside_others_starts_no_trial() {
    let begin = Instant::now();
    let mut reach = Reach::default();
    for attempt in 0..4 {
        reach.record_sent(&SERVICE, &server(0), attempt, begin);
    }
    for step in 1..20 {
        let now = begin + ms(100 * step);
        reach.record_contact(&SERVICE, 100 + step, now);
        assert!(reach.due_trials(now).is_empty());
    }
}

/// Guards against a return all at once, and against one after a single success.
#[test]
fn requests_return_to_regained_servers_gradually() {
    let begin = Instant::now();
    let mut reach = Reach::default();
    assert_eq!(lose(&mut reach, 3, 3, begin), Some(ReachChange::Lost));
    assert_eq!(reach.due_trials(begin + ms(100)), []);
    assert_eq!(reach.due_trials(begin + ms(400)), [(SERVICE, Trial::AnyServer)]);
    assert_eq!(reach.record_opened(&SERVICE, begin + ms(410)), None);
    reach.record_unreachable(&SERVICE, &server(0), 3, begin + ms(900));
    assert_eq!(reach.record_opened(&SERVICE, begin + ms(1_300)), None);
    let regained_at = begin + ms(1_700);
    assert_eq!(reach.record_opened(&SERVICE, regained_at), Some(ReachChange::Regained));
    let direct = |at: Instant| {
        (0..100).filter(|draw| reach.is_direct(&SERVICE, 0, f64::from(*draw) / 100.0, at)).count()
    };
    let shares = [0, 500, 1_000, 2_000].map(|after| direct(regained_at + ms(after)));
    assert_eq!(shares, [10, 25, 50, 100]);
    assert!(!reach.is_direct(&SERVICE, 1, 0.0, regained_at));
    reach.due_trials(regained_at + ms(2_000));
    assert!(reach.impaired_services().is_empty());
}

/// Guards against a lost link that makes other nodes take the servers for silent.
#[test]
fn what_a_cut_off_node_waits_for_says_nothing_about_a_server() {
    let now = Instant::now();
    let mut fleet = Fleet::new("z0".into());
    fleet.set_entry(ServerEntry { service: SERVICE, ..super::fixture::entry(0, 1) });
    fleet.begin_request(&"s0".into(), 1, Default::default(), now);
    let unanswered =
        |fleet: &Fleet| fleet.server(&"s0".into()).unwrap().local_update(now).unanswered_ms;
    assert!(unanswered(&fleet).is_some());
    fleet.set_cut_off(&SERVICE, true);
    assert_eq!(unanswered(&fleet), None);
    fleet.set_cut_off(&SERVICE, false);
    assert!(unanswered(&fleet).is_some());
}

fn node(index: usize, zones: usize) -> PeerNode {
    PeerNode {
        instance: format_smolstr!("n{index}"),
        availability_zone: format_smolstr!("z{}", index % zones),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        processor_percent: 0,
    }
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

/// Guards against cut nodes that find no way, or all the same one: one zone is cut, or a third of the
/// nodes, and all nodes have as many requests.
#[test]
fn cut_nodes_find_others_that_reach_servers_and_spread_over_them() {
    let now = Instant::now();
    let zones = 3;
    for nodes in [6_usize, 68, 295] {
        let by_zone: Vec<bool> = (0..nodes).map(|index| index % zones == 0).collect();
        let mixed: Vec<bool> = (0..nodes).map(|index| index / zones % 3 == 0).collect();
        for is_cut in [by_zone, mixed] {
            let mut forwarded = vec![0_u32; nodes];
            let cut: Vec<usize> = (0..nodes).filter(|index| is_cut[*index]).collect();
            let mut all: BTreeMap<usize, Gateways> = BTreeMap::new();
            for own in &cut {
                let mut gateways = Gateways::new(node(*own, zones).availability_zone);
                let others = (0..nodes).filter(|other| other != own);
                let own_id = node(*own, zones).instance;
                gateways.set_nodes(&own_id, others.map(|other| node(other, zones)).collect());
                all.insert(*own, gateways);
            }
            let requests_per_node = 12;
            for _ in 0..requests_per_node {
                for gateways in all.values_mut() {
                    let answers = gateways.asked_nodes(now);
                    for address in answers {
                        let index = index_of(address);
                        let reached = if is_cut[index] { vec![] } else { vec![SERVICE] };
                        let answer = ReachAnswer { reached, forwarded: forwarded[index] };
                        gateways.record_answer(address, answer, now);
                    }
                    let chosen = gateways.choose(&SERVICE, &[], now).expect("no way is found");
                    gateways.begin_request(&chosen.instance);
                    forwarded[index_of(chosen.address)] += 1;
                }
            }
            let sound = nodes - cut.len();
            let mean = (cut.len() * requests_per_node) as f64 / sound as f64;
            let most = forwarded.iter().copied().max().unwrap_or_default();
            assert!(f64::from(most) <= 3.0 * mean + 6.0, "{nodes} nodes: {most}, mean {mean}");
        }
    }
}

/// Guards against a node that is asked again although it cannot be reached, and against answers that
/// are believed for ever.
#[test]
fn nodes_that_fail_or_fall_silent_are_not_chosen() {
    let now = Instant::now();
    let own: InstanceId = "n9".into();
    let mut gateways = Gateways::new("z0".into());
    gateways.set_nodes(&own, vec![node(0, 1), node(1, 1)]);
    let answer = || ReachAnswer { reached: vec![SERVICE], forwarded: 0 };
    for index in [0, 1] {
        gateways.record_answer(node(index, 1).address, answer(), now);
    }
    let first = gateways.choose(&SERVICE, &[], now).unwrap().instance;
    let other = gateways.choose(&SERVICE, std::slice::from_ref(&first), now).unwrap().instance;
    assert_ne!(first, other);
    gateways.record_failure(&first, now);
    assert_eq!(gateways.choose(&SERVICE, &[], now).unwrap().instance, other);
    assert_eq!(gateways.choose(&"other".into(), &[], now), None);
    assert_eq!(gateways.choose(&SERVICE, &[], now + ms(1_500)), None);
    gateways.set_nodes(&own, vec![]);
    assert_eq!(gateways.choose(&SERVICE, &[], now), None);
}
