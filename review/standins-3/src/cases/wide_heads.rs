//! Clients within all limits ask for streams whose prompts have as many parts as a head may hold. The
//! platform ends a process that exceeds its memory, and starts it again.

use super::{Outcome, Setting};
use crate::http::{Request, connect, encode_response, exchange, read_response_head};
use crate::node::{MEMORY_MB, Node, await_ready, start_nodes};
use crate::server::{Next, Server, Spec, stamp};
use crate::site::{self, APP, APP_HOST, ENGINES, KEY, MODEL, NOTE_HOST, NOTE_PATH, READ_PATH};
use crate::store::Store;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of a head that are left to the list of parts; the configuration allows 16,384.
const PARTS_BYTES: usize = 15_600;

/// Streams that the clients of a node want at once: a node has room for fewer, and refuses the others.
const STREAMS: usize = 520;

/// Events of a stream, and the time between two of them.
const EVENTS: usize = 20;
const EVENT_PERIOD: Duration = Duration::from_millis(240);

/// Time after which a client comes again.
const RETURN_DELAY: Duration = Duration::from_millis(1_000);

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const LENGTH: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Counts {
    complete: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    served: AtomicU64,
    failed: AtomicU64,
}

pub fn run(setting: &Setting<'_>) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    site::configure(&store, 7, &[site::tenant(site::TENANT, KEY, false)]);
    let zones = ["bogota-norte", "bogota-centro", "bogota-sur"];
    let mut servers = Vec::new();
    for index in 0..15 {
        let (service, model) = if index < 12 { (ENGINES, Some(MODEL)) } else { (APP, None) };
        let spec = Spec {
            id: &format!("i-7f3a91{index:02}"),
            service,
            zone: zones[index % 3],
            slots: if index < 12 { 48 } else { 6 },
            model,
            software: "v1",
        };
        servers.push(Server::start(spec, &store, record, Box::new(answer)));
    }
    let mut nodes = start_nodes(&zones[..2], &store, setting.folder);
    if !await_ready(&nodes) {
        record.result("the nodes are not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    play(setting, &mut nodes)
}

fn play(setting: &Setting<'_>, nodes: &mut [Node]) -> Outcome {
    let record = &setting.record;
    let begun_at = Instant::now();
    let is_over = AtomicBool::new(false);
    let counts = Counts::default();
    // Without trouble the same streams are asked for with the usual three parts.
    let list = if setting.has_trouble { part_list() } else { "a1:2000,b2:600,".to_owned() };
    let mut ends = vec![0_u32; nodes.len()];
    let mut highest_kb = vec![0_u64; nodes.len()];
    thread::scope(|scope| {
        let (is_over, counts, list) = (&is_over, &counts, list.as_str());
        for (index, node) in nodes.iter().enumerate() {
            let address = node.callers;
            for number in 0..STREAMS {
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(5 * number as u64));
                    let mut attempt = 0;
                    while !is_over.load(Ordering::SeqCst) {
                        attempt += 1;
                        let id = format!("stream-{index}-{number}-{attempt}");
                        let unique = (index * STREAMS + number) * 1_000 + attempt;
                        match stream(address, &id, &format!("{list}{unique:08x}:40")) {
                            Some(true) => counts.complete.fetch_add(1, Ordering::SeqCst),
                            Some(false) => counts.refused.fetch_add(1, Ordering::SeqCst),
                            None => counts.broken.fetch_add(1, Ordering::SeqCst),
                        };
                        thread::sleep(RETURN_DELAY);
                    }
                });
            }
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    match read(address, &format!("read-{index}-{number}")) {
                        Some(200) => counts.served.fetch_add(1, Ordering::SeqCst),
                        _ => counts.failed.fetch_add(1, Ordering::SeqCst),
                    };
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
        let mut next_line_at = Instant::now();
        while begun_at.elapsed() < LENGTH {
            for (index, node) in nodes.iter_mut().enumerate() {
                let (now_kb, high_kb) = node.memory_kb().unwrap_or_default();
                highest_kb[index] = highest_kb[index].max(high_kb);
                if high_kb > MEMORY_MB * 1024 || node.ended().is_some() {
                    ends[index] += 1;
                    record.line(&format!(
                        "{} holds {high_kb} kB of {}: the platform ends it",
                        node.name,
                        MEMORY_MB * 1024
                    ));
                    let _killed = node.kill();
                    thread::sleep(RESTART_DELAY);
                    node.start_again();
                } else if Instant::now() >= next_line_at {
                    record.line(&format!("{} holds {now_kb} kB, at most {high_kb}", node.name));
                }
            }
            if Instant::now() >= next_line_at {
                next_line_at = Instant::now() + Duration::from_secs(2);
            }
            thread::sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.result(&format!(
        "streams of {} parts: {} complete, {} refused, {} broken off; ordinary requests: {} served, {} not",
        list.split(',').count(),
        count(&counts.complete),
        count(&counts.refused),
        count(&counts.broken),
        count(&counts.served),
        count(&counts.failed)
    ));
    for (index, node) in nodes.iter().enumerate() {
        record.result(&format!(
            "{}: at most {} kB of {}, ended {} times",
            node.name,
            highest_kb[index],
            MEMORY_MB * 1024,
            ends[index]
        ));
    }
    // The rule: on two machines at least, processes end by themselves three times.
    if ends.iter().all(|ends| *ends >= 3) { Outcome::Broken } else { Outcome::Held }
}

fn part_list() -> String {
    let mut parts = String::new();
    for id in 0.. {
        let part = format!("{id:x}:1,");
        if parts.len() + part.len() > PARTS_BYTES {
            break;
        }
        parts.push_str(&part);
    }
    parts
}

/// Asks for a stream and reads it; returns whether it was complete or refused, `None` if it broke off.
fn stream(address: SocketAddr, id: &str, parts: &str) -> Option<bool> {
    let connection = connect(address, Duration::from_secs(15)).ok()?;
    let head = format!(
        "POST {NOTE_PATH} HTTP/1.1\r\nHost: {NOTE_HOST}\r\nCoriandertide-Request-Id: {id}\r\n\
         Coriandertide-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\nCoriandertide-Model: {MODEL}\r\n\
         Coriandertide-Token-Usage: 2700,40\r\nCoriandertide-Prompt-Prefix: {parts}\r\nContent-Length: 5\r\n\r\nhello"
    );
    (&connection).write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(connection);
    let answer = read_response_head(&mut reader).ok()?;
    if answer.status != 200 {
        return (answer.status == 503).then_some(false);
    }
    let mut text = String::new();
    // The connection stays open: the last chunk ends the stream.
    let mut buffer = [0; 4096];
    while !text.ends_with("0\r\n\r\n") {
        match reader.read(&mut buffer) {
            Ok(bytes) if bytes > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..bytes])),
            _ => return None,
        }
    }
    Some(true)
}

/// Answers of servers: streams of events, and short answers of the app.
fn answer(server: &Arc<Server>, request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let stamp = stamp(id);
    if server.service == APP {
        let headers = [
            ("Coriandertide-Request-Id", id),
            ("Coriandertide-Server-Stamp", stamp.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        return match writer.write_all(&encode_response(200, &headers, &[b'x'; 800])) {
            Ok(()) => Next::KeepConnection,
            Err(_) => Next::CloseConnection,
        };
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Coriandertide-Request-Id: {id}\r\nCoriandertide-Server-Stamp: {stamp}\r\n\
         Coriandertide-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return Next::CloseConnection;
    }
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: token\n\n");
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

fn read(address: SocketAddr, id: &str) -> Option<u16> {
    let request = Request {
        method: "GET".into(),
        target: READ_PATH.into(),
        headers: vec![
            ("Host".into(), APP_HOST.into()),
            ("Coriandertide-Request-Id".into(), id.into()),
            ("Coriandertide-Deadline-Ms".into(), "4000".into()),
            ("Authorization".into(), format!("Bearer {KEY}")),
        ],
        body: Vec::new(),
    };
    Some(exchange(address, &request, Duration::from_secs(4)).ok()?.status)
}
