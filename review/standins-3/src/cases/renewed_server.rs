//! A server is upgraded in place, under the id and the address that it had, while the store is down.

use super::{Outcome, Setting};
use crate::http::{Request, exchange};
use crate::node::{Node, await_ready, start_nodes};
use crate::server::{Next, Server, Spec, stamp};
use crate::site::{self, ENGINES, KEY, MODEL, NOTE_HOST, NOTE_PATH};
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Server that is upgraded: one of those that prefill.
const UPGRADED: usize = 2;

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(8_000);

/// Time for which the server is down.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// Streams before and after the upgrade.
const STREAMS_BEFORE: usize = 24;
const STREAMS_AFTER: usize = 48;

const EVENTS: usize = 12;
const EVENT_PERIOD: Duration = Duration::from_millis(60);

/// Event after which the new process falls silent for a moment, as a sound server may.
const SILENT_AFTER: usize = 5;
const SILENCE: Duration = Duration::from_millis(1_500);

pub fn run(setting: &Setting<'_>) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    site::configure(&store, 7, &[site::tenant(site::TENANT, KEY, false)]);
    let zones = ["bogota-norte", "bogota-centro", "bogota-sur"];
    let mut servers = Vec::new();
    for index in 0..3 {
        let spec = Spec {
            id: &format!("i-7f3a91c{index}"),
            service: ENGINES,
            zone: zones[index],
            slots: 48,
            model: Some(MODEL),
            software: "v1",
        };
        servers.push(Server::start(spec, &store, record, Box::new(stream)));
    }
    let nodes = start_nodes(&zones[..2], &store, setting.folder);
    if !await_ready(&nodes) {
        record.result("the nodes are not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let (complete, joined) = play(setting, &nodes, "before", STREAMS_BEFORE);
    if complete < STREAMS_BEFORE || joined > 0 {
        record.result(&format!(
            "before the upgrade {complete} streams are complete, {joined} joined"
        ));
        return Outcome::NotRun;
    }
    // A quiet moment: no stream runs while the server is upgraded.
    thread::sleep(Duration::from_secs(2));
    if setting.has_trouble {
        record.line("the store is down");
        store.set_down(true);
    }
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(OUTAGE);
            store.set_down(false);
            record.line("the store is up");
        });
        thread::sleep(Duration::from_millis(500));
        servers[UPGRADED].crash();
        thread::sleep(RESTART_TIME);
        servers[UPGRADED].restart("v2");
        thread::sleep(Duration::from_secs(1));
        let (complete, joined) = play(setting, &nodes, "after", STREAMS_AFTER);
        record.result(&format!(
            "{STREAMS_AFTER} streams after the upgrade: {complete} complete, {joined} with events of two \
             software versions"
        ));
        if joined > 2 { Outcome::Broken } else { Outcome::Held }
    })
}

/// Asks for streams; returns how many were complete, and how many have events of two versions.
fn play(setting: &Setting<'_>, nodes: &[Node], phase: &str, streams: usize) -> (usize, usize) {
    let record = &setting.record;
    let ends = thread::scope(|scope| {
        let asked: Vec<_> = (0..streams)
            .map(|number| {
                let node = &nodes[number % nodes.len()];
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(50 * number as u64));
                    let id = format!("{phase}-{number}");
                    let events = ask(node.callers, &id, number);
                    let text = events.as_ref().map_or("broken off".to_owned(), |e| e.join(" "));
                    record.line(&format!("stream {id} at {}: {text}", node.name));
                    events
                })
            })
            .collect();
        asked.into_iter().map(|asked| asked.join().expect("a client")).collect::<Vec<_>>()
    });
    let complete =
        ends.iter().filter(|end| end.as_ref().is_some_and(|e| e.len() == EVENTS)).count();
    let has =
        |events: &[String], version: &str| events.iter().any(|event| event.starts_with(version));
    let joined = ends.iter().flatten().filter(|e| has(e, "v1") && has(e, "v2")).count();
    (complete, joined)
}

/// Asks for a stream; returns the data of its events, `None` if it is not complete.
fn ask(address: SocketAddr, id: &str, number: usize) -> Option<Vec<String>> {
    let request = Request {
        method: "POST".into(),
        target: NOTE_PATH.into(),
        headers: vec![
            ("Host".into(), NOTE_HOST.into()),
            ("Coriandertide-Request-Id".into(), id.into()),
            ("Coriandertide-Deadline-Ms".into(), "15000".into()),
            ("Authorization".into(), format!("Bearer {KEY}")),
            ("Coriandertide-Model".into(), MODEL.into()),
            ("Coriandertide-Token-Usage".into(), "700,40".into()),
            (
                "Coriandertide-Prompt-Prefix".into(),
                format!("5c1e{number:04x}:120,91bd{number:04x}:80,{number:08x}:500"),
            ),
        ],
        body: format!("note {number}").into_bytes(),
    };
    let answer = exchange(address, &request, Duration::from_secs(15)).ok()?;
    if answer.status != 200 {
        return Some(vec![format!("status {}", answer.status)]);
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Some(text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect())
}

/// Streams events that name the software version; goes on after the event that the request names.
fn stream(server: &Arc<Server>, request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let software = server.software();
    let after = request.header("last-event-id").and_then(|after| after.parse().ok()).unwrap_or(0);
    server
        .record
        .line(&format!("request {id} runs at {} ({software}) after event {after}", server.id));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Coriandertide-Request-Id: {id}\r\nCoriandertide-Server-Stamp: {}\r\n\
         Coriandertide-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\n\r\n",
        stamp(id)
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return Next::CloseConnection;
    }
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {software}:{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !server.is_up() || writer.write_all(chunk.as_bytes()).is_err() {
            return Next::CloseConnection;
        }
        let is_silent = software == "v2" && number == SILENT_AFTER;
        thread::sleep(if is_silent { SILENCE } else { EVENT_PERIOD });
    }
    match writer.write_all(b"0\r\n\r\n") {
        Ok(()) => Next::KeepConnection,
        Err(_) => Next::CloseConnection,
    }
}
