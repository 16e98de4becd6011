//! All nodes are killed at once while servers of two software versions serve: callers take the streams
//! that break up at nodes that have started again.

use super::callers::{self, Balancer, Stream};
use super::rolling_restart::judge;
use crate::site::{Site, configuration};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
const CALLERS: usize = 72;

/// Length of a stream, within which the callers begin.
const STREAM: Duration = Duration::from_secs(12);

/// `ContactMs` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the nodes are down.
const DOWN: Duration = Duration::from_millis(500);

/// Pauses before the callers' retries. The last one comes after `CONTACT`.
const RETRY_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(1_500), Duration::from_millis(3_000)];

const TENANT: &str = r#"{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Isolated":false}"#;

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
        callers::start(&site, &balancer, CALLERS, STREAM, CONTACT, &RETRY_PAUSES, &is_over);
    thread::sleep(STREAM + Duration::from_secs(2));
    if has_trouble {
        site.kill_nodes(DOWN);
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> =
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect();
    site.stop();
    judge(&site, &streams)
}
