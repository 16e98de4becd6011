//! A server whose answers end with their channel is killed while it writes streams.

use super::callers::{self, Balancer, Stream};
use crate::site::{Site, configuration};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const NODES: usize = 3;
const CALLERS: usize = 30;

/// Events of a whole stream.
const EVENTS: u64 = 40;

const EVENT_PAUSE_MS: u64 = 100;

/// Length of a stream, within which the callers begin.
const STREAM: Duration = Duration::from_millis(EVENTS * EVENT_PAUSE_MS);

const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(1_000);

const TENANT: &str = r#"{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Isolated":false}"#;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let site = Arc::new(Site::start(folder, NODES));
    site.store.put("keyed.op", "config", &configuration(1, TENANT));
    for id in ["s1", "s2", "s3"] {
        site.start_unframed_server(id, EVENTS, EVENT_PAUSE_MS);
    }
    site.await_ready();
    let balancer = Balancer::start(&site);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers =
        callers::start(&site, &balancer, CALLERS, STREAM, CONTACT, &[Duration::ZERO], &is_over);
    thread::sleep(STREAM + Duration::from_secs(2));
    if has_trouble {
        site.crash_server("s1", DOWN, "v1");
    }
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> =
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect();
    site.stop();
    let early = streams.iter().filter(|stream| ends_early(stream)).count();
    let verdict = format!(
        "ORDER {}: {early} of {} streams ended as complete before event {EVENTS}",
        if early == 0 { "held" } else { "was broken" },
        streams.len()
    );
    site.record.line(&verdict);
    println!("{verdict}");
    early == 0
}

/// Whether an answer of the stream ended in order without the last event.
fn ends_early(stream: &Stream) -> bool {
    let mut attempts = [&stream.first].into_iter().chain(&stream.taken_up);
    attempts.any(|attempt| {
        let last = attempt.events.last().map(|event| event.id);
        attempt.status == 200 && attempt.is_complete && last.is_some_and(|last| last < EVENTS)
    })
}
