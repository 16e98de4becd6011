//! Refused requests are not run, and their errors report that.

use super::caller::{call, chat, post};
use super::site::Site;
use http::Request;
use http_body_util::Full;
use serde_json::json;

#[test]
fn refused_requests_report_that_they_were_not_run() {
    let site = Site::start();
    let node = site.start_node();
    let address = node.caller_address();
    let mut unknown_model = chat(10, false);
    unknown_model["model"] = json!("large");
    let mut two_answers = chat(10, false);
    two_answers["n"] = json!(2);
    let no_key = Request::post("/v1/chat/completions")
        .header("host", "node")
        .body(Full::new(chat(10, false).to_string().into()))
        .unwrap();
    let requests = [
        ("no key", no_key),
        ("unknown model", post("/v1/chat/completions", unknown_model.to_string())),
        ("broken JSON", post("/v1/chat/completions", "{\"model\":")),
        ("two answers", post("/v1/chat/completions", two_answers.to_string())),
        ("no prompt", post("/v1/completions", json!({ "model": "small" }).to_string())),
        ("oversized", post("/v1/completions", vec![b' '; 70_000])),
        ("unknown path", post("/v1/embeddings", "{}")),
        ("wrong method", post("/v1/models", "{}")),
        ("unknown service", post("/services/nothing/x", "")),
    ];
    let lines: Vec<String> = requests
        .into_iter()
        .map(|(name, request)| format!("{name}: {}", call(address, request).unwrap().summary()))
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    no key: 401 "invalid_api_key" not_run
    unknown model: 404 "model_not_found" not_run
    broken JSON: 400 "invalid_json" not_run
    two answers: 400 "invalid_request" not_run
    no prompt: 400 "invalid_request" not_run
    oversized: 413 "body_too_large" not_run
    unknown path: 404 "unknown_path" not_run
    wrong method: 405 "unknown_method" not_run
    unknown service: 404 "service_not_found" not_run
    "#);
    assert_eq!(site.engines.iter().map(|engine| engine.running_requests()).sum::<usize>(), 0);
    node.kill();
}
