//! Route lookup, traffic split and workspace keys.

use coriandertide::decision::relay::configuration::{Caller, RouteTarget, Workspace};
use coriandertide::decision::relay::{Configuration, RetrySafety, Route};
use coriandertide::types::ServiceId;
use std::collections::BTreeMap;

fn route(name: &str, host: &str, prefix: &str, weights: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| RouteTarget {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        retry_safety: RetrySafety::Idempotent,
        timeout_ms: 1_000,
        latency_objective_ms: 300,
        max_event_gap_ms: 250,
        priority: 1,
        max_attempts: 2,
        is_public: name == "public",
        targets: weights.iter().map(target).collect(),
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/", &[("s", 90), ("t", 10)]),
        route("public", "c.example", "/", &[("s", 1)]),
    ];
    Configuration::new(3, routes, BTreeMap::new())
}

#[test]
fn the_longest_path_prefix_of_the_host_wins() {
    let configuration = configuration();
    let name = |host, path| configuration.route(host, path).map(|route| route.name.to_string());
    let found = [
        name("a.example", "/x/y/z"),
        name("a.example", "/x/yy"),
        name("A.Example:80", "/x/"),
        name("a.example", "/y/"),
        name("d.example", "/x/"),
        name("b.example", "/x/y/"),
    ];
    insta::assert_debug_snapshot!(found, @r#"
    [
        Some(
            "long",
        ),
        Some(
            "short",
        ),
        Some(
            "short",
        ),
        None,
        None,
        Some(
            "other",
        ),
    ]
    "#);
}

#[test]
fn traffic_splits_follow_the_weights_and_are_deterministic() {
    let configuration = configuration();
    let route = configuration.route("b.example", "/x/").unwrap();
    let services: Vec<_> = (0..1_000).map(|hash| route.service(hash).unwrap()).collect();
    assert_eq!(services.iter().filter(|service| **service == "t").count(), 100);
    assert_eq!(route.service(42), route.service(42));
    let nowhere = super::configuration::route("none", "h", "/", &[("s", 0)]);
    assert_eq!(nowhere.service(1), None);
}

#[test]
fn keys_identify_workspaces_unless_the_route_is_public() {
    let mut configuration = configuration();
    let route = std::sync::Arc::clone(configuration.route("a.example", "/x/").unwrap());
    assert_eq!(configuration.caller(&route, None), Caller::Anonymous);
    let workspace = Workspace { name: "w".into(), priority: None, is_isolated: true, quota: None };
    configuration.set_workspaces(vec![(workspace, vec!["k1".into(), "k2".into()])]);
    let caller = |key| configuration.caller(&route, key);
    assert!(matches!(caller(Some("k2")), Caller::Workspace(found) if found.name == "w"));
    assert_eq!([caller(Some("k3")), caller(None)], [Caller::Unknown, Caller::Unknown]);
    let public = configuration.route("c.example", "/").unwrap();
    assert_eq!(configuration.caller(public, None), Caller::Anonymous);
}

/// Guards against versions that are not recorded because the streams of their route could not be resumed when
/// they began, and can be by a later configuration.
#[test]
fn the_versions_of_all_services_with_streams_are_recorded() {
    let of_kind = |name: &str, retry_safety| Route {
        retry_safety,
        ..route(name, "a.example", name, &[(name, 1)])
    };
    let routes = vec![
        of_kind("plain", RetrySafety::Idempotent),
        of_kind("once", RetrySafety::Stream),
        of_kind("resumable", RetrySafety::ResumableStream),
    ];
    let configuration = Configuration::new(3, routes, BTreeMap::new());
    let services: Vec<ServiceId> = configuration.stream_services().into_iter().collect();
    assert_eq!(services, ["once", "resumable"]);
}
