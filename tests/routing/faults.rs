//! Routing under faults: servers that restart, fail, leave, lose models or events, or are slow.

use crate::fixture::{Node, idle_report, levels, query, server};
use coriandertide::decision::routing::{
    PrefixLevel, RouteReason, RoutingEvent, RoutingPolicy, StoredPrefix,
};
use coriandertide::ports::{CacheEvent, CacheEventPage};
use coriandertide::types::ServerId;
use std::collections::BTreeSet;
use std::time::Duration;

fn manual_levels() -> Vec<PrefixLevel> {
    levels("survey", "1", "survey manual ", "how many lanes?")
}

/// Returns the home of the manual after an answer that shows the manual in its cache.
fn cache_on_home(node: &mut Node) -> ServerId {
    let home = node.route("first", &manual_levels()).server;
    node.answer(&home, 1, &manual_levels(), 0, Duration::from_millis(280));
    home
}

#[test]
fn holders_of_an_old_incarnation_are_ignored() {
    let mut node = Node::reported(12);
    let home = cache_on_home(&mut node);
    let before = node.route("second", &manual_levels());
    assert_eq!((before.server, before.reason), (home.clone(), RouteReason::CachedPrefix));
    assert!(before.expected_hit_tokens > 1_900);
    let number = (0..12).find(|number| server(*number) == home).unwrap();
    node.report(number, idle_report(2));
    let after = node.route("third", &manual_levels());
    assert_eq!(after.reason, RouteReason::Home);
    assert!(after.expected_hit_tokens < before.expected_hit_tokens / 4);
    node.answer(&home, 1, &manual_levels(), 2_000, Duration::ZERO);
    assert_eq!(
        node.route("late", &manual_levels()).reason,
        RouteReason::Home,
        "retired incarnation"
    );
}

#[test]
fn prefixes_of_other_workspaces_and_weights_versions_are_not_used() {
    let mut node = Node::reported(12);
    cache_on_home(&mut node);
    for (workspace, version) in [("pickup", "1"), ("survey", "2")] {
        let levels = levels(workspace, version, "survey manual ", "how many lanes?");
        assert_ne!(node.route("other", &levels).reason, RouteReason::CachedPrefix);
    }
}

#[test]
fn a_failed_server_gets_no_request_until_its_backoff_ends() {
    let mut node = Node::reported(12);
    let home = cache_on_home(&mut node);
    node.apply(RoutingEvent::ServerFailed { server: home.clone() });
    assert_ne!(node.route("a", &manual_levels()).server, home);
    node.advance(Duration::from_millis(300));
    assert_eq!(
        node.route("b", &manual_levels()).server,
        home,
        "the cache is unknown, the server is the first home"
    );
    assert_eq!(node.route("c", &manual_levels()).reason, RouteReason::Home);
    (0..12).for_each(|it| node.apply(RoutingEvent::ServerFailed { server: server(it) }));
    node.route("all have failed, one is tried", &manual_levels());
}

#[test]
fn leaving_and_excluded_servers_get_no_request() {
    for policy in [
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOutstanding,
        RoutingPolicy::PrefixHash,
        RoutingPolicy::Coriandertide,
    ] {
        let mut node = Node::with_policy(4, policy);
        let leaving: BTreeSet<ServerId> = [server(0), server(1)].into();
        node.apply(RoutingEvent::Leaving(leaving));
        let mut query = query("r", &manual_levels());
        query.excluded = vec![server(2)];
        for _ in 0..8 {
            let decision = node.state.view().route(&query, node.now).unwrap();
            assert_eq!(decision.server, server(3), "{policy}");
        }
        query.excluded.push(server(3));
        assert!(node.state.view().route(&query, node.now).is_none(), "{policy}");
    }
}

#[test]
fn a_burst_between_reports_is_spread_over_the_servers() {
    let mut node = Node::reported(12);
    node.apply(RoutingEvent::LiveNodes(4));
    cache_on_home(&mut node);
    let view = node.state.view();
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..48 {
        let decision = node.route(&format!("r{number}"), &manual_levels());
        view.begin_request(&decision.server, 100);
        *counts.entry(decision.server).or_insert(0) += 1;
    }
    let max_count = counts.values().max().copied().unwrap();
    assert!(max_count <= 8, "{counts:?}");
    assert_eq!(counts.len(), 12);
}

#[test]
fn a_server_slower_than_its_report_loses_its_prefix() {
    let mut node = Node::reported(12);
    let home = cache_on_home(&mut node);
    for _ in 0..10 {
        node.advance(Duration::from_millis(100));
        node.answer(&home, 1, &manual_levels(), 2_000, Duration::from_secs(3));
    }
    assert_ne!(node.route("a", &manual_levels()).server, home);
    node.advance(Duration::from_secs(20));
    assert_eq!(node.route("b", &manual_levels()).server, home, "the excess wait has decayed");
}

#[test]
fn a_gap_in_the_events_lowers_the_expected_hit() {
    let mut node = Node::reported(12);
    let home = node.route("first", &manual_levels()).server;
    let non_home = (0..12).map(server).find(|server| *server != home).unwrap();
    node.answer(&non_home, 1, &manual_levels(), 0, Duration::from_millis(280));
    let stored = |sequence| CacheEvent::Stored { sequence, prefix_key: 7, tokens: 1 };
    let page = |sequence| CacheEventPage {
        incarnation: 1,
        next_event: sequence + 1,
        events: vec![stored(sequence)],
    };
    let mut restricted = query("r", &manual_levels());
    restricted.excluded = (0..12).map(server).filter(|server| *server != non_home).collect();
    let expected =
        |node: &Node| node.state.view().route(&restricted, node.now).unwrap().expected_hit_tokens;
    let before = expected(&node);
    node.advance(Duration::from_millis(1));
    node.apply(RoutingEvent::CacheEvents { server: non_home.clone(), page: page(1) });
    node.apply(RoutingEvent::CacheEvents { server: non_home.clone(), page: page(2) });
    assert!(before > 1_000 && expected(&node) + 5 > before);
    node.apply(RoutingEvent::CacheEvents { server: non_home, page: page(9) });
    let after = expected(&node);
    assert!(after < before * 6 / 10, "{after} of {before}");
}

#[test]
fn a_stored_prefix_is_imported_if_faster_than_recompute() {
    let mut node = Node::reported(12);
    let levels = manual_levels();
    let stored = StoredPrefix { key: levels[1].key, tokens: levels[1].tokens };
    node.apply(RoutingEvent::StoredPrefixes(vec![stored]));
    let cold = node.route("a", &levels);
    assert_eq!(cold.reason, RouteReason::Import);
    assert_eq!(cold.import_keys, vec![levels[0].key, levels[1].key]);
    node.answer(&cold.server, 1, &levels, 0, Duration::from_millis(50));
    let cached = node.route("b", &levels);
    assert_eq!((cached.reason, cached.import_keys), (RouteReason::CachedPrefix, Vec::new()));
}

#[test]
fn a_server_without_the_model_gets_no_request_for_it() {
    let mut node = Node::reported(12);
    let home = cache_on_home(&mut node);
    let number = (0..12).find(|number| server(*number) == home).unwrap();
    let mut report = idle_report(1);
    report.models.retain(|it| it.model != crate::fixture::MODEL);
    node.advance(Duration::from_millis(1));
    node.report(number, report);
    assert_ne!(node.route("a", &manual_levels()).server, home);
}
