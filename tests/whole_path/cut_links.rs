//! A network partition between a node and its backend servers is not a crash.
//!
//! Connections that break without a crash of the server must not count as strikes, or requests
//! sent during the partition would be refused as poison afterwards.

use super::caller::{call, chat, post};
use super::site::Site;
use coriandertide_standins::ZoneDelays;
use std::time::{Duration, Instant};

#[test]
fn a_request_is_answered_after_a_partition_from_its_servers_ends() {
    let delays = ZoneDelays::uniform(&["zone", "far"], Duration::from_millis(1));
    let site = Site::start_with(2, |config| {
        config.availability_zone = "far".into();
        config.zone_delays = delays.clone();
    });
    let node = site.start_node();
    let send = || {
        let request = post("/v1/chat/completions", chat(20, false).to_string());
        call(node.caller_address(), request).unwrap()
    };
    assert!(send().status.is_success());
    delays.set_cut("far", true);
    let failed = send().json()["error"]["code"].clone();
    assert!(failed == "no_server" || failed == "upstream_failed", "{failed}");
    delays.set_cut("far", false);
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = send();
        if answer.status.is_success() {
            break;
        }
        assert_ne!(answer.json()["error"]["code"], "poison_request");
        assert!(Instant::now() < deadline, "{}", answer.summary());
        std::thread::sleep(Duration::from_millis(50));
    }
    node.kill();
}
