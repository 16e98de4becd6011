//! Answers arrive complete and in order, also if a backend server crashes or the node drains.

use super::caller::{Answer, call, chat, chat_text, get, open, post};
use super::site::Site;
use coriandertide_standins::engine::answer::frame_texts;
use serde_json::Value;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const TOKENS: u32 = 200;

fn expected_text(request: &Value) -> String {
    let prompt: String = request["messages"]
        .as_array()
        .unwrap()
        .iter()
        .map(|message| {
            format!(
                "{}\n{}",
                message["role"].as_str().unwrap(),
                message["content"].as_str().unwrap()
            )
        })
        .collect();
    frame_texts("small", &prompt, TOKENS, 1).concat()
}

fn send_streamed(address: SocketAddr) -> Answer {
    call(address, post("/v1/chat/completions", chat(TOKENS, true).to_string())).unwrap()
}

fn assert_complete(answer: &Answer) {
    let (text, is_complete) = chat_text(&answer.body);
    assert!(is_complete, "{}", String::from_utf8_lossy(&answer.body));
    assert_eq!(text, expected_text(&chat(TOKENS, true)));
}

#[test]
fn a_stream_completes_when_another_server_crashes() {
    let site = Site::start();
    let node = site.start_node();
    let address = node.caller_address();
    let stream_thread = thread::spawn(move || send_streamed(address));
    let busy = site.busy_engine().config().name.clone();
    let other = site.engines.iter().find(|engine| engine.config().name != busy).unwrap();
    other.crash(Duration::from_secs(60));
    assert_complete(&stream_thread.join().unwrap());
    node.kill();
}

#[test]
fn a_stream_resumes_on_another_server_after_a_crash() {
    let site = Site::start();
    let node = site.start_node();
    let address = node.caller_address();
    let stream_thread = thread::spawn(move || send_streamed(address));
    let busy = site.busy_engine();
    thread::sleep(Duration::from_millis(20));
    busy.crash(Duration::from_secs(60));
    assert_complete(&stream_thread.join().unwrap());
    node.kill();
}

#[test]
fn an_unstreamed_answer_has_text_and_usage() {
    let site = Site::start();
    let node = site.start_node();
    let request = post("/v1/chat/completions", chat(TOKENS, false).to_string());
    let body = call(node.caller_address(), request).unwrap().json();
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, expected_text(&chat(TOKENS, false)));
    insta::assert_snapshot!(
        format!("{} {} {}", body["object"], body["choices"][0]["finish_reason"], body["usage"]),
        @r#""chat.completion" "length" {"completion_tokens":200,"prompt_tokens":271,"prompt_tokens_details":{"cached_tokens":0},"total_tokens":471}"#
    );
    node.kill();
}

#[test]
fn a_drain_completes_running_streams_and_closes_the_listener() {
    let site = Site::start();
    let node = site.start_node();
    let address = node.caller_address();
    let stream_thread = thread::spawn(move || send_streamed(address));
    site.busy_engine();
    node.drain();
    assert_complete(&stream_thread.join().unwrap());
    assert!(call(address, get("/readyz")).is_err(), "the listener is closed");
}

#[test]
fn a_disconnected_caller_cancels_the_request_on_the_server() {
    let site = Site::start();
    let node = site.start_node();
    let request = post("/v1/chat/completions", chat(100_000, true).to_string());
    let exchange = open(node.caller_address(), request).unwrap();
    let engine = site.busy_engine();
    drop(exchange);
    let deadline = Instant::now() + Duration::from_secs(20);
    while engine.running_requests() > 0 {
        assert!(Instant::now() < deadline, "the engine still runs the request");
        thread::sleep(Duration::from_millis(5));
    }
    node.kill();
}

#[test]
fn watts_of_requests_on_a_crashed_server_are_released_before_their_time_limit() {
    let site = Site::start();
    let node = site.start_node();
    let address = node.caller_address();
    let stream_thread = thread::spawn(move || send_streamed(address));
    site.busy_engine().crash(Duration::from_millis(300));
    assert_complete(&stream_thread.join().unwrap());
    // Power metrics are updated each second; skip those from before the crash.
    thread::sleep(Duration::from_secs(2));
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let metrics = call(address, get("/metrics")).unwrap().body;
        if String::from_utf8_lossy(&metrics).contains("coriandertide_power_committed_watts 0\n") {
            break;
        }
        assert!(Instant::now() < deadline, "watts are still committed");
        thread::sleep(Duration::from_millis(50));
    }
    node.kill();
}
