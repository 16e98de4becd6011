//! Check of a document file: a snapshot for each kind of finding, a large clean document, and any
//! document at all.

use super::proptest_config;
use coriandertide::cli::ExitStatus;
use coriandertide::cli::check::CheckReport;
use coriandertide::cli::diff::DocumentFile;
use proptest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn hash(index: usize) -> String {
    format!("{index:064x}")
}

fn server(index: usize) -> Value {
    json!({
        "address": format!("10.0.{}.{}:80", index / 250, index % 250), "availability_zone": "z1",
        "concurrent_requests": 200, "model_slots": 2, "idle_watts": 100, "request_watts": 10,
    })
}

/// A document without findings.
fn document(workspaces: usize) -> Value {
    let workspaces: serde_json::Map<String, Value> = (0..workspaces)
        .map(|index| (format!("w{index}"), json!({"key_hashes": [hash(index)]})))
        .collect();
    json!({
        "workspaces": workspaces,
        "models": {"m": {"least_servers": 2}},
        "servers": {"s1": server(1), "s2": server(2)},
        "services": {"app": {
            "servers": {"a1": {"address": "10.1.0.1:80", "availability_zone": "z2"}},
            "non_idempotent": [{"method": "POST", "path_prefix": "/book/"}],
        }},
        "site": {
            "budget_watts": 1_000, "max_nodes": 3,
            "zone_links": [{"from": "z1", "to": "z2", "delay_us": 500}],
        },
        "owners": {
            "ops": {"key_hashes": [hash(900_000)], "role": "administrator"},
            "ed": {"key_hashes": [hash(900_001)], "role": "editor", "sections": ["workspaces/w*"]},
        },
    })
}

fn file(document: &Value) -> DocumentFile {
    DocumentFile::parse(&document.to_string()).unwrap()
}

fn check(document: &Value) -> CheckReport {
    CheckReport::new(&file(document), None)
}

/// Guards against findings about a sound document, and a check that takes long at the target's size.
#[test]
fn a_clean_document_of_810_workspaces_has_no_findings() {
    let started_at = Instant::now();
    let report = check(&document(810));
    assert_eq!(report.lines(), Vec::<String>::new());
    assert_eq!(report.status(), ExitStatus::Success);
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

/// Guards against entries without effect and contradicting limits that pass unseen.
#[test]
fn doubtful_entries_are_warnings() {
    let mut doubtful = document(2);
    doubtful["workspaces"]["w1"]["key_hashes"] = json!([hash(0)]);
    doubtful["workspaces"]["w1"]["concurrent_requests"] = json!(5_000);
    doubtful["workspaces"]["w0"]["tokens_per_s"] = json!(50);
    doubtful["workspaces"]["empty"] = json!({});
    doubtful["models"]["m"] = json!({"least_servers": 5, "adapters": ["a", "a", "m"]});
    doubtful["servers"]["s2"]["address"] = json!("10.0.0.1:80");
    doubtful["services"]["app"]["non_idempotent"] = json!([
        {"method": "POST", "path_prefix": "/book/now/"}, {"method": "POST", "path_prefix": "/book/"},
        {"method": "PUT", "path_prefix": "/book/"},
    ]);
    doubtful["site"]["zone_links"] = json!([
        {"from": "z1", "to": "z2", "delay_us": 1}, {"from": "z2", "to": "z1", "delay_us": 2},
        {"from": "z8", "to": "z9", "delay_us": 3},
    ]);
    doubtful["site"]["budget_watts"] = json!(205);
    doubtful["owners"]["ed"]["sections"] = json!(["workspaces/x*"]);
    doubtful["owners"]["ed"]["key_hashes"] = json!([]);
    let report = check(&doubtful);
    assert_eq!(report.status(), ExitStatus::Doubtful);
    insta::assert_snapshot!(report.lines().join("\n"), @"
    warning workspaces.w1.key_hashes[0]: is also workspaces.w0.key_hashes[0]
    warning workspaces.empty.key_hashes: is empty, so that nobody can call in this workspace
    warning workspaces.w0.tokens_per_s: is below requests_per_s, which can never be reached
    warning workspaces.w1.concurrent_requests: can never be reached: all servers together run 400 requests at once
    warning models: need 5 servers by least_servers, but all servers have 4 model slots
    warning models.m.least_servers: can never be reached with 2 servers
    warning models.m.adapters[1]: is listed twice
    warning models.m.adapters[2]: is the name of a model, which calls find first
    warning servers.s2.address: is that of servers.s1
    warning services.app.non_idempotent[0]: never decides anything: non_idempotent[1] covers it
    warning site.zone_links[1]: joins the same zones as zone_links[0]
    warning site.zone_links[2]: joins two zones without servers
    warning site.budget_watts: covers the idle draw of 200 W, but no request of 10 W beside it
    warning owners.ed.key_hashes: is empty, so that nobody can act as this owner
    warning owners.ed.sections[0]: matches no section of this document
    ");
}

/// Guards against errors that are reported one at a time.
#[test]
fn all_errors_are_reported_at_once() {
    let mut invalid = document(1);
    invalid["workspaces"]["w0"]["requests_per_s"] = json!(0);
    invalid["servers"]["s1"]["address"] = json!("nowhere");
    invalid["site"]["budget_watts"] = json!(1);
    let report = check(&invalid);
    assert_eq!(report.status(), ExitStatus::Invalid);
    insta::assert_snapshot!(report.lines().join("\n"), @"
    error workspaces.w0.requests_per_s: must be above 0
    error servers.s1.address: `nowhere` is not an ip:port address
    error site.budget_watts: must cover the idle draw of all servers, 200 W
    ");
}

/// Guards against differences that are not shown, or shown where there are none.
#[test]
fn differences_from_another_file_are_shown() {
    let mut newer = document(2);
    newer["workspaces"]["w1"]["requests_per_s"] = json!(5);
    newer["workspaces"]["w2"] = json!({"key_hashes": [hash(2)]});
    newer["models"]["m"]["least_servers"] = json!(1);
    let report = CheckReport::new(&file(&newer), Some(&file(&document(2))));
    assert_eq!(report.status(), ExitStatus::Success);
    insta::assert_snapshot!(report.lines().join("\n"), @r#"
    ~ models/m.least_servers: 2 -> 1
    + workspaces/w1.requests_per_s: 5
    + workspaces/w2: {"key_hashes":["0000000000000000000000000000000000000000000000000000000000000002"]}
    "#);
    let same = CheckReport::new(&file(&newer), Some(&file(&newer)));
    assert_eq!(same.lines(), Vec::<String>::new());
}

proptest! {
    #![proptest_config(proptest_config(604))]

    /// Guards against a document that ends the check without a report.
    #[test]
    fn no_document_panics_the_check(
        section in prop::sample::select(vec!["workspaces", "models", "servers", "services", "site", "owners"]),
        field in "[a-z_]{1,12}",
        value in prop_oneof![
            Just(Value::Null), any::<u64>().prop_map(Value::from), any::<f64>().prop_map(Value::from),
            "[ -~]{0,8}".prop_map(Value::from), Just(json!([])), Just(json!({"x": {}})),
        ],
    ) {
        let mut mutated = document(2);
        mutated[section][field.as_str()] = value.clone();
        let report = CheckReport::new(&file(&mutated), Some(&file(&document(2))));
        prop_assert!(report.findings.iter().all(|finding| !finding.message.is_empty()));
        let mut replaced = document(2);
        replaced[section] = value;
        check(&replaced);
    }
}
