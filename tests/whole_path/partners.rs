//! Partner links between nodes over real sockets.

use super::caller::{call, chat, post, wait_ready};
use super::site::Site;
use coriandertide::daemon::Node;
use coriandertide::settings::Settings;
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::log_service::LogFaults;
use std::time::{Duration, Instant};

pub fn register(site: &Site, name: &str, node: &Node) {
    site.list.put_shown(Instance {
        name: name.into(),
        kind: "entry".into(),
        address: node.partner_address(),
        availability_zone: "zone".into(),
        state: "live".into(),
    });
}

#[test]
fn a_node_that_starts_while_the_log_is_down_serves_from_a_partners_copy() {
    let site = Site::start();
    let first = site.start_node();
    register(&site, "entry-0", &first);
    let body = chat(4, false).to_string();
    let ask = |node: &Node| {
        call(node.caller_address(), post("/v1/chat/completions", body.clone())).unwrap()
    };
    assert!(ask(&first).status.is_success(), "the first node is in service");
    site.log.set_faults(LogFaults { outage: true, ..LogFaults::default() });
    let started_at = Instant::now();
    let second = Node::start(Settings::try_from(site.raw_settings()).unwrap()).unwrap();
    wait_ready(second.caller_address(), started_at + Duration::from_secs(20));
    let answer = ask(&second);
    println!("first answer after {} ms", started_at.elapsed().as_millis());
    assert!(answer.status.is_success());
    first.kill();
    second.kill();
}

fn engine_arrivals(site: &Site) -> Vec<u64> {
    site.engines.iter().map(|engine| engine.accepted_requests()).collect()
}

#[test]
fn a_server_that_the_list_shows_as_leaving_gets_no_new_work_within_three_seconds() {
    let site = Site::start();
    let node = site.start_node();
    let ask = |text: &str| {
        let mut body = chat(2, false);
        body["messages"][0]["content"] = text.into();
        let request = post("/v1/chat/completions", body.to_string());
        assert!(call(node.caller_address(), request).unwrap().status.is_success());
    };
    site.list.put_shown(Instance {
        name: "engine-0".into(),
        kind: "backend_server".into(),
        address: site.engines[0].address(),
        availability_zone: "zone".into(),
        state: "leaving".into(),
    });
    std::thread::sleep(Duration::from_secs(3));
    let before = engine_arrivals(&site);
    for number in 0..20 {
        ask(&format!("manual {number} "));
    }
    let after = engine_arrivals(&site);
    assert_eq!(after[0], before[0]);
    assert_eq!(after[1], before[1] + 20);
    node.kill();
}
