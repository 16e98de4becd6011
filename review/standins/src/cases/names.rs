//! Two isolated tenants whose names are not of ASCII letters alone: neither may use what the requests of
//! the other have put into the servers' caches.

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

fn tenant(name: &str, key: &str) -> String {
    format!(r#"{{"Name":"{name}","ApiKeys":["{key}"],"Priority":1,"Isolated":true}}"#)
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let (first, second) =
        if has_trouble { ("alcaldía", "tránsito") } else { ("alcaldia", "transito") };
    let site = Site::start(folder, NODES);
    site.store.put("keyed.op", "config", &configuration(1, &tenant("t1", "key-1")));
    for id in ["s1", "s2"] {
        site.start_recording_server(id, "v1", 3, 20, true);
    }
    site.await_ready();
    thread::sleep(Duration::from_secs(2));
    let tenants =
        [tenant("t1", "key-1"), tenant(first, "key-2"), tenant(second, "key-3")].join(",");
    site.store.put("keyed.op", "config", &configuration(2, &tenants));
    site.record.line(&format!("operator: tenants {first} and {second} are added, both isolated"));
    thread::sleep(APPLY_TIME);
    let mut are_answered = true;
    for (who, key) in [("first", "key-2"), ("second", "key-3")] {
        for number in 0..6 {
            let (id, node) = (format!("{who}-{number}"), number % NODES);
            site.record.line(&format!("client {id} {key} at node {node}"));
            let deadline = Instant::now() + Duration::from_secs(5);
            let answer = send(&site, node, &id, key, prompt_headers(SHARED, &id), None, deadline);
            site.record.line(&format!("client {id} status={}", answer.status));
            // A request that is refused breaks no rule.
            are_answered &= answer.status == 200;
        }
    }
    site.stop();
    if !has_trouble && !are_answered {
        eprintln!("a request was not answered");
        std::process::exit(2);
    }
    let text = std::fs::read_to_string(folder.join("record.txt")).unwrap_or_default();
    let is_foreign = |line: &&str| {
        line.contains(" request second-") && line.contains(" uses part ") && line.contains("made_by=first-")
    };
    let foreign = text.lines().filter(is_foreign).count();
    let verdict = format!(
        "WALL {}: {foreign} parts that the first tenant's requests made were used for the second",
        if foreign == 0 { "held" } else { "was broken" }
    );
    site.record.line(&verdict);
    println!("{verdict}");
    foreign == 0
}
