//! A tenant becomes isolated while one of its requests waits at a full server.

use super::{EVENTS, Site, settings, start_client, start_site};
use crate::Verdict;
use crate::engine::{Engine, EngineSettings, ForeignUse};
use crate::record::Record;
use crate::site::{Aims, KEY, OTHER_KEY, configuration};
use crate::streams::{Client, Retries};
use std::thread;
use std::time::{Duration, Instant};

/// Figures of the freight site: places of a server, aims of a stream, silence after which a client leaves, and
/// time after the ack of a configuration from which it is in force.
const SLOTS: usize = 12;
const AIMS: Aims = Aims { first_event_ms: 600, gap_ms: 600 };
const PATIENCE: Duration = Duration::from_millis(8 * AIMS.gap_ms);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

const SERVERS: usize = 2;
const WAITING: usize = 6;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site: Site = start_site(3, record)?;
    for engine in &site.old {
        engine.remove_entry();
        engine.end();
    }
    site.store.put("keyed.op", "config", &configuration(2, false, AIMS));
    let servers: Vec<Engine> = (1..=SERVERS)
        .map(|number| {
            let event_pause = Duration::from_millis(75);
            let settings = settings(&format!("i-{number}"), "z1", "v1", EVENTS);
            let settings = EngineSettings { slots: SLOTS, event_pause, ..settings };
            Engine::start(settings, &site.store, record)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let client = |number: usize, key: &'static str, part: &str| Client {
        number,
        key,
        part: part.to_owned(),
        patience: PATIENCE,
        retries: Retries { count: 0, pause: Duration::ZERO },
    };
    let mut clients = Vec::new();
    if has_trouble {
        for number in 0..SERVERS * SLOTS {
            // All share a part with the tenant that becomes isolated.
            clients.push(start_client(&site, client(number, OTHER_KEY, "5c1e07a2"), record));
            thread::sleep(Duration::from_millis(20));
        }
        record.add("all places of the servers are taken");
    } else {
        clients.push(start_client(&site, client(0, OTHER_KEY, "5c1e07a2"), record));
    }
    thread::sleep(Duration::from_millis(1_000));
    for number in 100..100 + WAITING {
        clients.push(start_client(&site, client(number, KEY, "5c1e07a2"), record));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(200));
    site.store.put("keyed.op", "config", &configuration(3, true, AIMS));
    let acked_at = Instant::now();
    record.add("version 3 of the configuration is acked: sese880 is isolated");
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let uses: Vec<ForeignUse> = servers.iter().flat_map(Engine::foreign_uses).collect();
    let late: Vec<&ForeignUse> =
        uses.iter().filter(|one| one.at > acked_at + CONFIG_APPLY).collect();
    for ForeignUse { at, request, tenant, maker } in &late {
        let after_s = at.saturating_duration_since(acked_at).as_secs_f64();
        record.add(format!(
            "{request} of {tenant} uses what {maker} made, {after_s:.2} s after the ack"
        ));
    }
    let line = format!(
        "{} requests used what another tenant had made, later than {} s after the ack ({} uses in all)",
        late.len(),
        CONFIG_APPLY.as_secs(),
        uses.len()
    );
    Ok(if late.is_empty() { Verdict::Held(line) } else { Verdict::Broken(line) })
}
