//! A non-idempotent call runs at most once when its caller retries it: on several nodes, after a
//! restart, and during failures of the platform's log.

use super::caller::{Answer, call, post};
use super::site::Site;
use bytes::Bytes;
use coriandertide::daemon::Node;
use coriandertide_standins::log_service::LogFaults;
use http::Request;
use http_body_util::Full;
use std::thread;
use std::time::Duration;

fn record_request(key: &str) -> Request<Full<Bytes>> {
    let mut request = post("/services/tally/records", "{\"vehicles\":12}");
    request.headers_mut().insert("idempotency-key", key.parse().unwrap());
    request
}

fn send(node: &Node, key: &str) -> Answer {
    call(node.caller_address(), record_request(key)).unwrap()
}

#[test]
fn concurrent_calls_with_one_key_on_all_nodes_run_once() {
    let site = Site::start();
    let nodes = [site.start_node(), site.start_node(), site.start_node()];
    let answers: Vec<Answer> = thread::scope(|scope| {
        let senders: Vec<_> = nodes
            .iter()
            .flat_map(|node| [node, node])
            .map(|node| scope.spawn(|| send(node, "tally-1")))
            .collect();
        senders.into_iter().map(|sender| sender.join().unwrap()).collect()
    });
    let answered = answers.iter().filter(|answer| answer.status.is_success()).count();
    assert_eq!(answered, 2, "both callers of the node that ran the call get its answer");
    let unknown = answers.iter().filter(|answer| answer.status == 409).count();
    assert_eq!(unknown, 4);
    assert_eq!(site.service.runs().get("tally-1"), Some(&1));
    for node in nodes {
        node.kill();
    }
}

#[test]
fn a_restarted_node_does_not_rerun_a_key() {
    let site = Site::start();
    let node = site.start_node();
    assert!(send(&node, "tally-1").status.is_success());
    node.kill();
    let node = site.start_node();
    let answer = send(&node, "tally-1");
    insta::assert_snapshot!(answer.summary(), @r#"409 "key_already_used" outcome_unknown"#);
    assert!(send(&node, "tally-2").status.is_success());
    assert_eq!(site.service.runs().get("tally-1"), Some(&1));
    node.kill();
}

#[test]
fn a_call_during_a_log_outage_is_not_run_and_runs_when_retried() {
    let site = Site::start();
    let node = site.start_node();
    site.log.set_faults(LogFaults { outage: true, ..LogFaults::default() });
    let answer = send(&node, "tally-1");
    insta::assert_snapshot!(answer.summary(), @r#"503 "claim_unavailable" not_run"#);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.service.runs().get("tally-1"), None);
    site.log.set_faults(LogFaults::default());
    thread::sleep(Duration::from_millis(1_100));
    assert!(send(&node, "tally-1").status.is_success());
    node.kill();
}

#[test]
fn a_lost_append_answer_does_not_run_a_call_twice() {
    let site = Site::start();
    let node = site.start_node();
    site.log.set_faults(LogFaults { lose_append_answers: true, ..LogFaults::default() });
    assert!(send(&node, "tally-1").status.is_success());
    assert!(send(&node, "tally-1").status.is_success());
    assert_eq!(site.service.runs().get("tally-1"), Some(&1));
    node.kill();
}
