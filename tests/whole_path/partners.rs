//! Partner links between nodes: copies of the configuration, leaving servers and membership.

use super::caller::{call, chat, get, post, wait_ready};
use super::site::Site;
use coriandertide::daemon::Node;
use coriandertide::decision::membership::MembershipSettings;
use coriandertide::settings::Settings;
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::log_service::LogFaults;
use std::time::{Duration, Instant};

pub fn register(site: &Site, name: &str, node: &Node) {
    site.list.put_immediately(Instance {
        name: name.into(),
        kind: "entry".into(),
        address: node.partner_address(),
        availability_zone: "zone".into(),
        state: "live".into(),
    });
}

#[test]
fn a_node_started_during_a_log_outage_serves_with_a_partners_configuration() {
    let site = Site::start();
    let first = site.start_node();
    register(&site, "entry-0", &first);
    let body = chat(4, false).to_string();
    let send = |node: &Node| {
        call(node.caller_address(), post("/v1/chat/completions", body.clone())).unwrap()
    };
    assert!(send(&first).status.is_success(), "the first node is in service");
    site.log.set_faults(LogFaults { outage: true, ..LogFaults::default() });
    let started_at = Instant::now();
    let second = Node::start(Settings::try_from(site.raw_settings()).unwrap()).unwrap();
    wait_ready(second.caller_address(), started_at + Duration::from_secs(20));
    let answer = send(&second);
    println!("first answer after {} ms", started_at.elapsed().as_millis());
    let text = String::from_utf8_lossy(&answer.body);
    assert!(answer.status.is_success(), "{text}");
    first.kill();
    second.kill();
}

fn accepted_requests(site: &Site) -> Vec<u64> {
    site.engines.iter().map(|engine| engine.accepted_requests()).collect()
}

#[test]
fn a_server_listed_as_leaving_gets_no_requests_after_three_seconds() {
    let site = Site::start();
    let node = site.start_node();
    let send = |text: &str| {
        let mut body = chat(2, false);
        body["messages"][0]["content"] = text.into();
        let request = post("/v1/chat/completions", body.to_string());
        assert!(call(node.caller_address(), request).unwrap().status.is_success());
    };
    site.list.put_immediately(Instance {
        name: "engine-0".into(),
        kind: "backend_server".into(),
        address: site.engines[0].address(),
        availability_zone: "zone".into(),
        state: "leaving".into(),
    });
    std::thread::sleep(Duration::from_secs(3));
    let before = accepted_requests(&site);
    for number in 0..20 {
        send(&format!("manual {number} "));
    }
    let after = accepted_requests(&site);
    assert_eq!(after[0], before[0]);
    assert_eq!(after[1], before[1] + 20);
    node.kill();
}

fn metric(node: &Node, name: &str) -> u64 {
    let answer = call(node.caller_address(), get("/metrics")).unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned));
    line.unwrap().trim().parse().unwrap()
}

/// Waits until each node counts `live` live nodes, and returns how long that took.
fn wait_live(nodes: &[Node], live: u64) -> Duration {
    let started_at = Instant::now();
    while nodes.iter().any(|node| metric(node, "coriandertide_live_nodes ") != live) {
        assert!(
            started_at.elapsed() < Duration::from_secs(30),
            "{live} nodes are not counted as live"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("{live} live nodes counted after {} ms", started_at.elapsed().as_millis());
    started_at.elapsed()
}

#[test]
fn nodes_discover_each_other_and_detect_crashes_and_departures() {
    let site = Site::start();
    let mut nodes: Vec<Node> = (0..4).map(|_| site.start_node()).collect();
    for (index, node) in nodes.iter().enumerate() {
        register(&site, &format!("entry-{index}"), node);
    }
    wait_live(&nodes, 4);
    let sent = || -> u64 {
        nodes.iter().map(|node| metric(node, "coriandertide_link_sent_bytes_total ")).sum()
    };
    let before_bytes = sent();
    std::thread::sleep(Duration::from_secs(5));
    println!("{} bytes a second and node while idle", (sent() - before_bytes) / 5 / 4);
    nodes.pop().unwrap().kill();
    wait_live(&nodes, 3);
    site.list.remove("entry-2");
    nodes.pop().unwrap().drain();
    // A node that received no leave message would detect the departure by its suspicion timeout.
    let suspicion = Duration::from_millis(MembershipSettings::default().suspicion_timeout_ms);
    assert!(wait_live(&nodes, 2) < suspicion);
    for node in nodes {
        node.kill();
    }
}
