//! A non-idempotent call whose answer is lost runs once, and its error reports an unknown outcome.

use super::caller::{call, post};
use super::site::Site;
use coriandertide_standins::plain_service::PlainServiceFaults;

#[test]
fn a_lost_answer_of_a_non_idempotent_call_is_reported_as_unknown_outcome() {
    let site = Site::start();
    let node = site.start_node();
    let record = || {
        let mut request = post("/services/tally/records", "{\"vehicles\":12}");
        request.headers_mut().insert("idempotency-key", "tally-1".parse().unwrap());
        request
    };
    site.service.set_faults(PlainServiceFaults { lose_answers: true });
    let answer = call(node.caller_address(), record()).unwrap();
    insta::assert_snapshot!(answer.summary(), @r#"502 "upstream_failed" outcome_unknown"#);
    assert_eq!(site.service.runs().get("tally-1"), Some(&1));
    node.kill();
}

#[test]
fn an_equivalent_path_is_not_sent_twice() {
    let site = Site::start();
    let node = site.start_node();
    site.service.set_faults(PlainServiceFaults { lose_answers: true });
    let paths =
        ["/services/tally/%72ecords", "/services/tally//records", "/services/tally/./records"];
    for (number, path) in paths.into_iter().enumerate() {
        let key = format!("tally-{number}");
        let mut request = post(path, "{\"vehicles\":12}");
        request.headers_mut().insert("idempotency-key", key.parse().unwrap());
        let answer = call(node.caller_address(), request).unwrap();
        assert_eq!(answer.summary(), "502 \"upstream_failed\" outcome_unknown", "{path}");
        assert_eq!(site.service.runs().get(&key), Some(&1), "{path}");
    }
    node.kill();
}
