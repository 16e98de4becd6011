//! Homes of a prefix against a full sort, and the number of homes under load.

use crate::fixture::{Node, levels, server};
use crate::naive::naive_homes;
use crate::proptest_config;
use coriandertide::decision::routing::homes::{HomeCountInputs, PrefixRate, ranked_servers};
use coriandertide::decision::routing::{RoutingConfig, RoutingEvent};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const INPUTS: HomeCountInputs =
    HomeCountInputs { live_nodes: 4, occupancy_s: 1.0, concurrent_requests: 10, servers: 12 };

proptest! {
    #![proptest_config(proptest_config(42))]

    #[test]
    fn homes_match_a_full_sort(
        hashes in proptest::collection::btree_set(any::<u64>(), 0..60),
        key in any::<u64>(),
        count in 1usize..10,
        removed in any::<prop::sample::Index>(),
    ) {
        let servers: Vec<(u32, u64)> = (0..).zip(hashes).collect();
        let ranked = |servers: &[(u32, u64)]| -> Vec<u32> {
            let ranked = ranked_servers(servers.iter().copied(), key, count);
            ranked.iter().map(|ranked| ranked.server).collect()
        };
        prop_assert_eq!(ranked(&servers), naive_homes(&servers, key, count));
        if servers.is_empty() {
            return Ok(());
        }
        let mut fewer = servers.clone();
        let (removed, _) = fewer.remove(removed.index(servers.len()));
        let remaining: Vec<u32> =
            ranked(&servers).into_iter().filter(|it| *it != removed).collect();
        prop_assert_eq!(&ranked(&fewer)[..remaining.len()], &remaining[..]);
    }

    #[test]
    fn home_count_follows_the_rate_within_bounds(
        gaps_ms in proptest::collection::vec(1u64..2_000, 1..200),
    ) {
        let config = RoutingConfig::default();
        let mut now = Instant::now();
        let mut rate = PrefixRate::new(now);
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            let before = rate.home_count();
            rate.record_request(INPUTS, &config, now);
            let needed_homes = rate.requests_per_s(config.rate_window, now) * 4.0 / 6.0;
            prop_assert!((1..=12).contains(&rate.home_count()));
            prop_assert!(f64::from(rate.home_count()) >= needed_homes.min(12.0));
            let may_shrink = needed_homes < f64::from(before - 1) * config.home_shrink_factor;
            prop_assert!(rate.home_count() >= before || may_shrink);
        }
    }
}

#[test]
fn a_steady_rate_at_a_boundary_keeps_its_homes() {
    let config = RoutingConfig::default();
    let mut now = Instant::now();
    let mut rate = PrefixRate::new(now);
    let mut homes = Vec::new();
    for number in 0..2_000 {
        now += Duration::from_millis(if number % 2 == 0 { 320 } else { 346 });
        rate.record_request(INPUTS, &config, now);
        homes.push(rate.home_count());
    }
    let changes = homes[100..].windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert_eq!(changes, 0);
}

#[test]
fn a_restarted_node_chooses_the_same_home_as_an_established_one() {
    let mut established = Node::reported(12);
    established.apply(RoutingEvent::LiveNodes(8));
    for manual in 0..40 {
        let manual = format!("manual {manual} ");
        let restarted = Node::new(12);
        let levels = levels("survey", "1", &manual, "how many lanes?");
        assert_eq!(restarted.route("a", &levels).server, established.route("b", &levels).server);
    }
}

#[test]
fn a_hot_prefix_gets_more_homes_and_keeps_the_first() {
    let mut node = Node::reported(40);
    node.apply(RoutingEvent::LiveNodes(8));
    let levels = levels("survey", "1", "hot manual ", "q");
    let first = node.route("first", &levels).server;
    let anchor = levels.iter().find(|level| level.is_anchor).unwrap().key;
    for _ in 0..200 {
        node.advance(Duration::from_millis(50));
        node.sent(&first, &levels);
    }
    let homes = node.state.prefixes().get(anchor).unwrap().rate.home_count();
    assert!((20..=40).contains(&homes), "{homes} homes for 160 requests a second over 8 nodes");
    assert_eq!(node.route("later", &levels).server, first);
    let view = node.state.view();
    let mut used = std::collections::BTreeSet::new();
    for number in 0..30 {
        let chosen = node.route(&format!("burst-{number}"), &levels).server;
        view.begin_request(&chosen, 0);
        used.insert(chosen);
    }
    assert!(used.len() > 5, "a burst of 30 stays on {used:?}");
    assert!(used.contains(&first) && !used.contains(&server(99)));
}
