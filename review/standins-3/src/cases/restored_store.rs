//! A version of servers comes and goes; then the store returns from a copy of before while all nodes are
//! killed, and clients take up the streams that it had begun.

use super::{Outcome, Setting};
use crate::http::{Request, connect, encode_request, read_response_head};
use crate::node::{Node, await_ready, start_nodes};
use crate::server::{Next, Server, Spec, stamp};
use crate::site::{self, ENGINES, KEY, MODEL, NOTE_HOST, NOTE_PATH};
use crate::store::Store;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const STREAMS: usize = 48;
const EVENTS: usize = 40;
const EVENT_PERIOD: Duration = Duration::from_millis(200);

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time after which a client takes its stream up once.
const RETRY_DELAY: Duration = Duration::from_millis(5_100);

/// Milliseconds for which a client waits in all.
const DEADLINE_MS: u64 = 15_000;

pub fn run(setting: &Setting<'_>) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    site::configure(&store, 7, &[site::tenant(site::TENANT, KEY, false)]);
    let zones = ["bogota-norte", "bogota-centro", "bogota-sur"];
    let start = |index: usize, software: &str| {
        let spec = Spec {
            id: &format!("i-7f3a91c{index}"),
            service: ENGINES,
            zone: zones[index % 3],
            slots: 48,
            model: Some(MODEL),
            software,
        };
        Server::start(spec, &store, record, Box::new(stream))
    };
    let _old: Vec<_> = (0..3).map(|index| start(index, "v1")).collect();
    let mut nodes = start_nodes(&zones, &store, setting.folder);
    if !await_ready(&nodes) {
        record.result("the nodes are not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let copy = store.copy();
    record.line("a copy of the store is made");
    let new: Vec<_> = (3..6).map(|index| start(index, "v2")).collect();
    thread::sleep(Duration::from_secs(2));
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let streams: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (streams, addresses) = (Arc::clone(&streams), &addresses);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(10 * number as u64));
                let events = follow(setting, addresses, number);
                streams.lock().expect("lock").push(events);
            });
        }
        thread::sleep(Duration::from_millis(1_500));
        new.iter().for_each(|server| server.leave());
        thread::sleep(Duration::from_millis(1_500));
        if setting.has_trouble {
            interrupt(setting, &mut nodes, &store, copy);
        }
    });
    judge(setting, &streams.lock().expect("lock"))
}

/// All nodes are killed and started again, and the store goes on from the copy.
fn interrupt(setting: &Setting<'_>, nodes: &mut [Node], store: &Store, copy: crate::store::Topics) {
    let record = &setting.record;
    store.set_down(true);
    record.line("the store is away, and all nodes are killed");
    for node in nodes.iter_mut() {
        let _killed = node.kill();
    }
    thread::sleep(RESTART_DELAY);
    if std::env::var("STORE").is_ok_and(|store| store == "whole") {
        record.line("the store is back, and lacks nothing");
    } else {
        store.restore(copy);
        record.line("the store is back from the copy");
    }
    store.set_down(false);
    nodes.iter_mut().for_each(Node::start_again);
    record.line("the nodes are started again");
}

fn judge(setting: &Setting<'_>, streams: &[Vec<String>]) -> Outcome {
    let record = &setting.record;
    let has =
        |events: &[String], version: &str| events.iter().any(|event| event.starts_with(version));
    let begun =
        streams.iter().filter(|events| events.first().is_some_and(|e| e.starts_with("v2"))).count();
    let joined = streams.iter().filter(|events| has(events, "v1:") && has(events, "v2:")).count();
    let whole = streams.iter().filter(|events| events.len() == EVENTS).count();
    record.result(&format!(
        "{} streams, {begun} begun at v2, {whole} with all events, {joined} with events of two software versions",
        streams.len()
    ));
    match (joined > 2, begun > 2) {
        (true, _) => Outcome::Broken,
        (false, true) => Outcome::Held,
        (false, false) => Outcome::NotRun,
    }
}

/// Reads a stream, and takes it up once where it breaks; returns the data of its events.
fn follow(setting: &Setting<'_>, addresses: &[SocketAddr], number: usize) -> Vec<String> {
    let record = &setting.record;
    let begun_at = Instant::now();
    let first_id = format!("stream-{number}");
    let mut events = Vec::new();
    let ended =
        read_events(addresses[number % 3], &first_id, number, None, DEADLINE_MS, &mut events);
    record.line(&format!("{first_id}: {} events, {ended}", summary(&events)));
    if ended == "complete" || events.is_empty() {
        return events;
    }
    thread::sleep(RETRY_DELAY);
    let left_ms = DEADLINE_MS.saturating_sub(begun_at.elapsed().as_millis() as u64);
    let id = format!("{first_id}-again");
    let resumed = Some((first_id.as_str(), events.len()));
    let mut rest = Vec::new();
    let ended = read_events(addresses[(number + 1) % 3], &id, number, resumed, left_ms, &mut rest);
    record.line(&format!("{id} after event {}: {} events, {ended}", events.len(), summary(&rest)));
    events.extend(rest);
    events
}

fn summary(events: &[String]) -> String {
    match (events.first(), events.last()) {
        (Some(first), Some(last)) => format!("{first} to {last}, {}", events.len()),
        _ => "no".to_owned(),
    }
}

/// Asks for a stream and adds the data of its events; returns how it ended.
fn read_events(
    address: SocketAddr,
    id: &str,
    number: usize,
    resumed: Option<(&str, usize)>,
    deadline_ms: u64,
    events: &mut Vec<String>,
) -> String {
    let mut headers: Vec<(String, String)> = vec![
        ("Host".into(), NOTE_HOST.into()),
        ("Coriandertide-Request-Id".into(), id.into()),
        ("Coriandertide-Deadline-Ms".into(), deadline_ms.to_string()),
        ("Authorization".into(), format!("Bearer {KEY}")),
        ("Coriandertide-Model".into(), MODEL.into()),
        ("Coriandertide-Token-Usage".into(), "700,40".into()),
        (
            "Coriandertide-Prompt-Prefix".into(),
            format!("5c1e{number:04x}:120,91bd{number:04x}:80,{number:08x}:500"),
        ),
    ];
    if let Some((first_id, after)) = resumed {
        headers.push(("Resumes".into(), first_id.into()));
        headers.push(("Last-Event-Id".into(), after.to_string()));
    }
    let request = Request {
        method: "POST".into(),
        target: NOTE_PATH.into(),
        headers,
        body: format!("note {number}").into_bytes(),
    };
    let Ok(mut stream) = connect(address, Duration::from_millis(deadline_ms.max(1))) else {
        return "no connection".to_owned();
    };
    if stream.write_all(&encode_request(&request)).is_err() {
        return "not sent".to_owned();
    }
    let mut reader = BufReader::new(stream);
    let Ok(head) = read_response_head(&mut reader) else { return "no answer".to_owned() };
    if head.status != 200 {
        return format!("status {}", head.status);
    }
    let mut text = String::new();
    let mut buffer = [0; 4096];
    let is_complete = loop {
        match reader.read(&mut buffer) {
            Ok(bytes) if bytes > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..bytes])),
            _ => break false,
        }
        if text.ends_with("0\r\n\r\n") {
            break true;
        }
    };
    // A whole event ends with a blank line; lines of chunks stand between.
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    events.extend(data.map(str::to_owned));
    if is_complete { "complete".to_owned() } else { "broken off".to_owned() }
}

/// Streams events that name the software version; goes on after the event that the request names.
fn stream(server: &Arc<Server>, request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let software = server.software();
    let after = request.header("last-event-id").and_then(|after| after.parse().ok()).unwrap_or(0);
    server.record.line(&format!("{id} runs at {} ({software}) after event {after}", server.id));
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
        thread::sleep(EVENT_PERIOD);
    }
    match writer.write_all(b"0\r\n\r\n") {
        Ok(()) => Next::KeepConnection,
        Err(_) => Next::CloseConnection,
    }
}
