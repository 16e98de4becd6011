//! All nodes are stopped and started in turn while servers of two software versions serve: streams
//! that outlast a node's grace period are taken up at other nodes.

use super::callers::{self, Balancer, Stream};
use crate::site::{Site, configuration};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
const CALLERS: usize = 96;

/// Length of a stream, within which the callers begin.
const STREAM: Duration = Duration::from_secs(12);

/// `ContactMs` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);

/// `GraceS` of a small deployment.
const GRACE: Duration = Duration::from_secs(8);

/// Time between two stops, as on the small deployments.
const GAP: Duration = Duration::from_millis(1_300);

/// Take-ups from which the rule applies.
const MIN_TAKE_UPS: usize = 12;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let newer = std::env::var("NEWER").unwrap_or("v2".to_owned());
    let site = Arc::new(Site::start(folder, NODES));
    site.store.put("keyed.op", "config", &configuration(1, TENANT));
    for (id, software) in [("s1", "v1"), ("s2", "v1"), ("s3", &newer), ("s4", &newer)] {
        site.start_server(id, software, 60, 200);
    }
    site.await_ready();
    let balancer = Balancer::start(&site);
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers =
        callers::start(&site, &balancer, CALLERS, STREAM, CONTACT, &[Duration::ZERO], &is_over);
    thread::sleep(STREAM + Duration::from_secs(2));
    let mut restarts = Vec::new();
    for index in 0..NODES {
        if has_trouble {
            let site = Arc::clone(&site);
            restarts.push(thread::spawn(move || site.restart_node(index, GRACE)));
        }
        thread::sleep(GAP);
    }
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> =
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect();
    restarts.into_iter().for_each(|restart| restart.join().expect("no panic"));
    site.stop();
    judge(&site, &streams)
}

const TENANT: &str = r#"{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Isolated":false}"#;

pub fn judge(site: &Site, streams: &[Stream]) -> bool {
    let new: Vec<_> = streams.iter().map(|s| &s.first).filter(|a| a.is_in_touch).collect();
    let begun = new.iter().filter(|attempt| attempt.has_begun()).count();
    let taken_up: Vec<_> =
        streams.iter().flat_map(|s| &s.taken_up).filter(|a| a.is_in_touch).collect();
    let went_on = taken_up.iter().filter(|attempt| attempt.has_begun()).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let (begin_share, go_on_share) = (share(begun, new.len()), share(went_on, taken_up.len()));
    let is_kept = taken_up.len() < MIN_TAKE_UPS || go_on_share >= begin_share / 2.0;
    let verdict = format!(
        "LOST {}: at machines in touch {begun} of {} new streams began, {went_on} of {} streams \
         that were taken up went on",
        if is_kept { "held" } else { "was broken" },
        new.len(),
        taken_up.len()
    );
    site.record.line(&verdict);
    println!("{verdict}");
    is_kept
}
