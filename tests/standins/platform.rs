//! Log service, instance list and plain service.

use super::client;
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::log_service::LogFaults;
use coriandertide_standins::plain_service::PlainServiceFaults;
use coriandertide_standins::{
    InstanceListConfig, InstanceListStandIn, LogServiceConfig, LogServiceStandIn,
    PlainServiceConfig, PlainServiceStandIn,
};
use http::{Method, StatusCode};
use std::time::Duration;

#[test]
fn lost_append_answer_still_appends_the_record() {
    let log = LogServiceStandIn::start(LogServiceConfig::default()).unwrap();
    let records = "/streams/claims/records";
    smol::block_on(async {
        let first = client::call(log.address(), Method::POST, records, "one").await.unwrap();
        assert_eq!(first.json()["offset"], 1);
        log.set_faults(LogFaults { lose_append_answers: true, ..LogFaults::default() });
        assert!(client::call(log.address(), Method::POST, records, "two").await.is_err());
        log.set_faults(LogFaults { outage: true, ..LogFaults::default() });
        let down = client::call(log.address(), Method::POST, records, "three").await.unwrap();
        assert_eq!(down.head.status, StatusCode::SERVICE_UNAVAILABLE);
        log.set_faults(LogFaults::default());
        let page = client::call(log.address(), Method::GET, &format!("{records}?from=2"), "").await;
        let page = page.unwrap().json();
        assert_eq!(page["next_offset"], 3);
        assert_eq!(page["records"].as_array().unwrap().len(), 1);
        assert_eq!(page["records"][0]["payload"], "dHdv");
    });
}

#[test]
fn records_expire_after_retention() {
    let config = LogServiceConfig { retention_ms: 0, ..LogServiceConfig::default() };
    let log = LogServiceStandIn::start(config).unwrap();
    log.append("claims", "one");
    std::thread::sleep(Duration::from_millis(5));
    smol::block_on(async {
        let page = client::call(log.address(), Method::GET, "/streams/claims/records", "").await;
        let page = page.unwrap().json();
        assert_eq!(page["first_offset"], 2);
        assert_eq!(page["records"].as_array().unwrap().len(), 0);
    });
}

#[test]
fn instance_list_shows_changes_after_lag() {
    let list = InstanceListStandIn::start(InstanceListConfig { lag_ms: 60_000 }).unwrap();
    let shown = Instance {
        name: "node-1".into(),
        kind: "entry".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        availability_zone: "couva".into(),
        state: "live".into(),
    };
    list.put_immediately(shown.clone());
    list.put(Instance { name: "node-2".into(), ..shown });
    list.remove("node-1");
    smol::block_on(async {
        let answer = client::call(list.address(), Method::GET, "/instances", "").await.unwrap();
        let instances = answer.json()["instances"].as_array().unwrap().clone();
        assert_eq!(instances.len(), 1);
        assert_eq!(instances[0]["name"], "node-1");
    });
}

#[test]
fn lost_service_answer_counts_as_a_run() {
    let service = PlainServiceStandIn::start(PlainServiceConfig::default()).unwrap();
    service.set_faults(PlainServiceFaults { lose_answers: true });
    smol::block_on(async {
        let request = http::Request::post("/bookings").header("idempotency-key", "k1");
        let request = request.body(http_body_util::Full::default()).unwrap();
        assert!(client::send(service.address(), request).await.is_err());
    });
    assert_eq!(service.runs()["k1"], 1);
}
