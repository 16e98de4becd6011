//! Crowds of callers that misbehave, before a node daemon that is a process of its own: it lives, stays
//! within its memory and descriptors, and answers ordinary calls afterwards.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

#[allow(dead_code, reason = "the tests use a part of the callers")]
#[path = "../whole_path/caller.rs"]
mod caller;
#[allow(dead_code, reason = "the tests use a part of the site")]
#[path = "../whole_path/site.rs"]
mod site;

use caller::{call, get, post};
use coriandertide_standins::crowd::{
    MAX_BODY_BYTES, MAX_DESCRIPTORS, MEMORY_MB, assert_within_bounds,
};
use coriandertide_standins::{Behaviour, Crowd, WatchedProcess, free_port};
use http::{Request, StatusCode};
use http_body_util::Full;
use site::{KEY, Site};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time in which an ordinary call must be answered afterwards.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Held by the test whose crowd is running.
static RUNNING: Mutex<()> = Mutex::new(());

/// Listener of a node.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Admin,
    Partners,
}

fn service_head() -> String {
    format!(
        "POST /services/tally/counts HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\n"
    )
}

fn edit_head() -> String {
    String::from("POST /v1/edits HTTP/1.1\r\nhost: node\r\nauthorization: Bearer unknown\r\n")
}

fn wait_until_answered(address: SocketAddr, request: impl Fn() -> Request<Full<bytes::Bytes>>) {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    loop {
        match call(address, request()) {
            Ok(answer) if answer.status == StatusCode::OK => return,
            other => {
                let seen = other.map(|answer| answer.status);
                assert!(Instant::now() < deadline, "no answer: {seen:?}");
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Lets a crowd run, and checks that the node lives, stays within its memory and descriptors, and answers
/// an ordinary call and one with the largest body afterwards.
fn check_crowd(behaviour: Behaviour, listener: Listener, head: fn() -> String) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start();
    let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port().unwrap()));
    let (callers, admin, partners) = (address(), address(), address());
    let mut settings = serde_json::to_value(site.raw_settings()).unwrap();
    settings["listen"] = serde_json::json!({
        "callers": callers.to_string(), "admin": admin.to_string(), "partners": partners.to_string(),
    });
    settings["limits"]["body_bytes"] = MAX_BODY_BYTES.into();
    settings["limits"]["memory_mb"] = MEMORY_MB.into();
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("node-crowds-{}-{number}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, settings.to_string()).unwrap();
    let ports = [callers, admin, partners].map(|address| address.port());
    let program = env!("CARGO_BIN_EXE_coriandertide-node");
    let mut process = WatchedProcess::start(program, &file, MAX_DESCRIPTORS, &ports).unwrap();
    caller::wait_ready(callers, Instant::now() + ANSWER_TIMEOUT);
    let ordinary = || post("/services/tally/counts", "{}");
    let largest = || post("/services/tally/counts", vec![b'x'; MAX_BODY_BYTES]);
    wait_until_answered(callers, ordinary);
    wait_until_answered(callers, largest);
    let crowd = Crowd {
        behaviour,
        address: match listener {
            Listener::Callers => callers,
            Listener::Admin => admin,
            Listener::Partners => partners,
        },
        head,
    };
    crowd.run();
    let is_alive = process.is_alive();
    let peak = process.peak();
    println!("{behaviour:?} at {listener:?}: {peak:?}");
    assert!(is_alive, "the process has ended");
    wait_until_answered(callers, ordinary);
    wait_until_answered(callers, largest);
    wait_until_answered(admin, || get("/metrics"));
    drop(std::fs::remove_file(&file));
    assert_within_bounds(peak);
}

/// Guards against a daemon that holds a large body for each of many callers.
#[test]
fn whole_bodies_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::WholeBody, Listener::Callers, service_head);
}

/// Guards against a daemon that holds most of a large body for each of many callers.
#[test]
fn unfinished_bodies_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnfinishedBody, Listener::Callers, service_head);
}

/// Guards against a daemon that holds what arrives piece by piece for each of many callers.
#[test]
fn unfinished_bodies_in_pieces_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnfinishedPieces, Listener::Callers, service_head);
}

/// Guards against a daemon that holds unfinished chunked bodies for each of many callers.
#[test]
fn unfinished_large_chunks_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnfinishedLargeChunks, Listener::Callers, service_head);
}

/// Guards against a daemon that is busy with chunks of one byte.
#[test]
fn unfinished_small_chunks_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnfinishedSmallChunks, Listener::Callers, service_head);
}

/// Guards against small bodies that do not count, whatever their number.
#[test]
fn unfinished_small_bodies_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnfinishedSmallBody, Listener::Callers, service_head);
}

/// Guards against a daemon that reads bodies whose announced length is over the limit.
#[test]
fn bodies_announced_over_the_limit_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::AnnouncedOversize, Listener::Callers, service_head);
}

/// Guards against a daemon that holds bodies that turn out to be over the limit.
#[test]
fn bodies_over_the_limit_before_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnannouncedOversize, Listener::Callers, service_head);
}

/// Guards against connections without a number: heads that do not end.
#[test]
fn unfinished_heads_before_a_daemon_leave_memory_and_descriptors() {
    check_crowd(Behaviour::UnfinishedHead, Listener::Callers, service_head);
}

/// Guards against connections without a number: nothing is sent on them.
#[test]
fn idle_connections_before_a_daemon_leave_descriptors() {
    check_crowd(Behaviour::Idle, Listener::Callers, service_head);
}

/// Guards against answers that nobody reads, whatever their number.
#[test]
fn unread_answers_of_a_daemon_stay_within_the_memory() {
    check_crowd(Behaviour::UnreadAnswers, Listener::Callers, service_head);
}

/// Guards against an administration API that takes descriptors and memory without a bound.
#[test]
fn idle_connections_at_the_administration_api_leave_descriptors() {
    check_crowd(Behaviour::Idle, Listener::Admin, edit_head);
}

/// Guards against an administration API that holds bodies of callers without a key.
#[test]
fn whole_bodies_at_the_administration_api_stay_within_the_memory() {
    check_crowd(Behaviour::WholeBody, Listener::Admin, edit_head);
}

/// Guards against a listener of partner links that takes descriptors from callers that prove no key.
#[test]
fn idle_connections_at_the_partner_listener_of_a_daemon_leave_descriptors() {
    check_crowd(Behaviour::Idle, Listener::Partners, edit_head);
}
