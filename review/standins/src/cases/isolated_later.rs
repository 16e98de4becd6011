//! A tenant becomes isolated: what its requests have put into the servers' caches before must not
//! serve other tenants any more.

use super::callers::{prompt_headers, send};
use crate::site::{Site, configuration};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 2;

/// Time after the ack of the configuration: twice `ConfigApplyMs` of a small deployment.
const APPLY_TIME: Duration = Duration::from_millis(4_000);

/// Prompt parts that the requests of both tenants share.
const SHARED: &str = "5c1e07a2:800,91bd3f06:410";

fn tenants(is_isolated: bool) -> String {
    format!(
        r#"{{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Isolated":{is_isolated}}},{{"Name":"t2","ApiKeys":["key-2"],"Priority":1,"Isolated":false}}"#
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let site = Site::start(folder, NODES);
    site.store.put("keyed.op", "config", &configuration(1, &tenants(false)));
    for id in ["s1", "s2"] {
        site.start_recording_server(id, "v1", 3, 20, true);
    }
    site.await_ready();
    thread::sleep(Duration::from_secs(2));
    let mut is_kept = true;
    let ask = |id: &str, key: &str, node: usize| {
        site.record.line(&format!("client {id} {key} at node {node}"));
        let prompt = prompt_headers(SHARED, id);
        let deadline = Instant::now() + Duration::from_secs(5);
        let answer = send(&site, node, id, key, prompt, None, deadline);
        site.record.line(&format!("client {id} status={}", answer.status));
        is_ok(answer.status)
    };
    for number in 0..6 {
        is_kept &= ask(&format!("before-{number}"), "key-1", number % NODES);
    }
    if has_trouble {
        site.store.put("keyed.op", "config", &configuration(2, &tenants(true)));
        site.record.line("operator: t1 is isolated from now on (version 2 acknowledged)");
    }
    thread::sleep(APPLY_TIME);
    for number in 0..6 {
        is_kept &= ask(&format!("after-{number}"), "key-2", number % NODES);
    }
    site.stop();
    if !is_kept {
        eprintln!("a request was not answered");
        std::process::exit(2);
    }
    // The servers' lines: requests after the change that use what the isolated tenant made.
    let text = std::fs::read_to_string(folder.join("record.txt")).unwrap_or_default();
    let foreign = |line: &&str| {
        line.contains(" request after-")
            && line.contains(" uses part ")
            && line.contains("maker=t1")
    };
    let uses = if has_trouble { text.lines().filter(foreign).count() } else { 0 };
    let verdict = format!(
        "WALL {}: {uses} parts that the isolated tenant t1 made were used by requests of t2",
        if uses == 0 { "held" } else { "was broken" }
    );
    site.record.line(&verdict);
    println!("{verdict}");
    uses == 0
}

fn is_ok(status: u16) -> bool {
    status == 200
}
