//! Servers crash and start again under their ids with newer software while the store is down.

use super::callers::{self, Balancer, Stream};
use crate::site::{Site, configuration};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const NODES: usize = 3;
const CALLERS: usize = 30;

/// Length of a stream, within which the callers begin.
const STREAM: Duration = Duration::from_secs(8);

const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which a server that crashes is down.
const DOWN: Duration = Duration::from_millis(1_000);

/// Streams of two versions that the rule allows.
const MAX_JOINED: usize = 2;

const TENANT: &str = r#"{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Isolated":false}"#;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let newer = std::env::var("NEWER").unwrap_or("v2".to_owned());
    let has_outage = has_trouble && std::env::var_os("NO_OUTAGE").is_none();
    let site = Arc::new(Site::start(folder, NODES));
    site.store.put("keyed.op", "config", &configuration(1, TENANT));
    for id in ["s1", "s2", "s3"] {
        site.start_server(id, "v1", 40, 200);
    }
    site.await_ready();
    let balancer = Balancer::start(&site);
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers =
        callers::start(&site, &balancer, CALLERS, STREAM, CONTACT, &[Duration::ZERO], &is_over);
    thread::sleep(Duration::from_secs(6));
    if has_outage {
        site.record.line("the store is silent");
        site.store.set_silent(true);
        thread::sleep(Duration::from_millis(500));
    }
    if has_trouble {
        site.crash_server("s1", DOWN, &newer);
        thread::sleep(Duration::from_millis(1_500));
        site.crash_server("s3", DOWN, &newer);
        thread::sleep(Duration::from_millis(2_500));
    }
    site.store.set_silent(false);
    if has_outage {
        site.record.line("the store answers again");
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> =
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect();
    site.stop();
    let joined = streams.iter().filter(|stream| has_two_versions(stream)).count();
    let is_kept = joined <= MAX_JOINED;
    let verdict = format!(
        "ORDER {}: {joined} of {} streams hold events of two software versions",
        if is_kept { "held" } else { "was broken" },
        streams.len()
    );
    site.record.line(&verdict);
    println!("{verdict}");
    is_kept
}

fn has_two_versions(stream: &Stream) -> bool {
    let attempts = [&stream.first].into_iter().chain(&stream.taken_up);
    let events = attempts.flat_map(|attempt| &attempt.events);
    events.map(|event| event.data.as_str()).collect::<BTreeSet<_>>().len() > 1
}
