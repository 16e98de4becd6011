//! A part of a prompt crashes servers; its requests have as many parts as their headers may hold.

use super::{Outcome, Setting};
use crate::http::{Request, connect, encode_request, encode_response, exchange, read_response};
use crate::node::{Node, await_ready, start_nodes};
use crate::server::{Next, Server, Spec, stamp};
use crate::site::{self, APP, APP_HOST, ENGINES, KEY, MODEL, PROMPT_HOST, PROMPT_PATH, WRITE_PATH};
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of a request's head that are left to the list of parts; the configuration allows 16,384.
const PARTS_BYTES: usize = 15_600;

/// Part that crashes servers.
const CRASHING_PART: &str = "dead";

/// Time for which a server that crashed is down.
const DOWN_TIME: Duration = Duration::from_millis(2_000);

/// Time between two requests with the part.
const PART_PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two ordinary requests at a node.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

const LENGTH: Duration = Duration::from_secs(45);

/// Milliseconds for which ordinary callers wait.
const DEADLINE_MS: u64 = 4_000;

/// Time after the route's timeout by which there must be an answer.
const ANSWER_SLACK_MS: u64 = 500;

/// Ordinary request that was sent: the record of a tally.
struct Tally {
    sent_at_s: f64,
    node: String,
    /// Milliseconds to the answer and its status, `None` without one.
    answer: Option<(u64, u16)>,
}

pub fn run(setting: &Setting<'_>) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    site::configure(&store, 7, &[site::tenant(site::TENANT, KEY, false)]);
    let crashes = Arc::new(AtomicU64::new(0));
    let zones = ["bogota-norte", "bogota-centro", "bogota-sur"];
    let mut servers = Vec::new();
    for index in 0..6 {
        let (crashes, has_trouble) = (Arc::clone(&crashes), setting.has_trouble);
        let spec = Spec {
            id: &format!("i-7f3a91c{index}"),
            service: ENGINES,
            zone: zones[index % 3],
            slots: 48,
            model: Some(MODEL),
            software: "v1",
        };
        let run = move |server: &Arc<Server>, request: &Request, writer: &mut TcpStream| {
            let parts = request.header("coriandertide-prompt-prefix").unwrap_or("");
            let has_part = parts.split(',').any(|part| part.starts_with("dead:"));
            if has_part && has_trouble {
                let crash = crashes.fetch_add(1, Ordering::SeqCst) + 1;
                let id = request.header("coriandertide-request-id").unwrap_or("");
                server.record.line(&format!("request {id} runs at {}: crash {crash}", server.id));
                server.crash();
                let server = Arc::clone(server);
                thread::spawn(move || {
                    thread::sleep(DOWN_TIME);
                    server.restart("v1");
                });
                return Next::CloseConnection;
            }
            stream(request, writer)
        };
        servers.push(Server::start(spec, &store, record, Box::new(run)));
    }
    for index in 0..3 {
        let spec = Spec {
            id: &format!("i-00a1b2c{index}"),
            service: APP,
            zone: zones[index],
            slots: 6,
            model: None,
            software: "v1",
        };
        let run = |_: &Arc<Server>, request: &Request, writer: &mut TcpStream| {
            thread::sleep(Duration::from_millis(20));
            let id = request.header("coriandertide-request-id").unwrap_or("");
            let stamp = stamp(id);
            let headers = [
                ("Coriandertide-Request-Id", id),
                ("Coriandertide-Server-Stamp", stamp.as_str()),
                ("Keep-Alive", "timeout=5"),
            ];
            match writer.write_all(&encode_response(200, &headers, &[b'x'; 800])) {
                Ok(()) => Next::KeepConnection,
                Err(_) => Next::CloseConnection,
            }
        };
        servers.push(Server::start(spec, &store, record, Box::new(run)));
    }
    let nodes = start_nodes(&zones, &store, setting.folder);
    if !await_ready(&nodes) {
        record.result("the nodes are not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    record.line("traffic begins");
    play(setting, &nodes, &crashes)
}

fn play(setting: &Setting<'_>, nodes: &[Node], crashes: &AtomicU64) -> Outcome {
    let record = &setting.record;
    let begun_at = Instant::now();
    let tallies: Mutex<Vec<Tally>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for node in nodes {
            let (tallies, is_over) = (&tallies, &is_over);
            scope.spawn(move || {
                let mut number = 0;
                thread::scope(|senders| {
                    while !is_over.load(Ordering::SeqCst) {
                        number += 1;
                        let id = format!("tally-{}-{number}", node.name);
                        senders.spawn(move || {
                            let sent_at_s = begun_at.elapsed().as_secs_f64();
                            // A client that gets no connection has sent nothing.
                            let Some(answer) = send_tally(node.callers, &id) else { return };
                            let node = node.name.clone();
                            tallies.lock().expect("lock").push(Tally { sent_at_s, node, answer });
                        });
                        thread::sleep(WRITE_PERIOD);
                    }
                });
            });
        }
        let parts = part_list();
        let mut number = 0;
        thread::scope(|senders| {
            while begun_at.elapsed() < LENGTH {
                number += 1;
                let node = &nodes[number % nodes.len()];
                let parts = format!("{parts}{CRASHING_PART}:8,{:08x}:40", number + 0x1000);
                senders.spawn(move || {
                    let sent_at = Instant::now();
                    let id = format!("part-{number}");
                    let answer = send_part(node.callers, &id, &parts, number);
                    let status = answer.map_or("no answer".to_owned(), |status| status.to_string());
                    record.line(&format!(
                        "request {id} with {} parts at {}: {status} after {} ms",
                        parts.split(',').count(),
                        node.name,
                        sent_at.elapsed().as_millis()
                    ));
                });
                thread::sleep(PART_PERIOD);
            }
        });
        is_over.store(true, Ordering::SeqCst);
    });
    let tallies = tallies.into_inner().expect("lock");
    judge(setting, &tallies, crashes.load(Ordering::SeqCst))
}

/// Judges the ordinary requests by the rule CONFIG: those that last longer than their route's timeout have
/// a final answer half a second later.
fn judge(setting: &Setting<'_>, tallies: &[Tally], crashes: u64) -> Outcome {
    let record = &setting.record;
    let later_than =
        |tally: &&Tally, ms: u64| tally.answer.is_none_or(|(answer_ms, _)| answer_ms > ms);
    let overdue: Vec<&Tally> =
        tallies.iter().filter(|tally| later_than(tally, site::ROUTE_TIMEOUT_MS)).collect();
    let unanswered: Vec<&&Tally> = overdue
        .iter()
        .filter(|tally| later_than(tally, site::ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS))
        .collect();
    for tally in unanswered.iter().take(100) {
        let answer = tally
            .answer
            .map_or("never".to_owned(), |(ms, status)| format!("{status} after {ms} ms"));
        record.line(&format!(
            "ordinary request sent at {:.1} s to {}: {answer}",
            tally.sent_at_s, tally.node
        ));
    }
    let served = tallies
        .iter()
        .filter(|tally| tally.answer.is_some_and(|(_, status)| status == 200))
        .count();
    record.result(&format!(
        "{crashes} crashes; ordinary requests: {} sent, {served} served, {} unanswered at the route's \
         timeout, {} of them half a second later",
        tallies.len(),
        overdue.len(),
        unanswered.len()
    ));
    let is_broken = unanswered.len() >= 8 && unanswered.len() * 2 > overdue.len();
    if is_broken { Outcome::Broken } else { Outcome::Held }
}

/// Returns different short parts, each with a comma.
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

/// Sends an ordinary request; returns its answer, if any, or `None` if there is no connection.
fn send_tally(address: SocketAddr, id: &str) -> Option<Option<(u64, u16)>> {
    let request = Request {
        method: "POST".into(),
        target: WRITE_PATH.into(),
        headers: headers(APP_HOST, id, DEADLINE_MS),
        body: b"12 vehicles".to_vec(),
    };
    let mut stream = connect(address, Duration::from_millis(DEADLINE_MS)).ok()?;
    let sent_at = Instant::now();
    stream.write_all(&encode_request(&request)).ok()?;
    let answer = read_response(&mut BufReader::new(stream)).ok();
    Some(answer.map(|answer| (sent_at.elapsed().as_millis() as u64, answer.status)))
}

fn send_part(address: SocketAddr, id: &str, parts: &str, number: usize) -> Option<u16> {
    let mut headers = headers(PROMPT_HOST, id, 5_000);
    headers.push(("Coriandertide-Model".into(), MODEL.into()));
    headers.push(("Coriandertide-Token-Usage".into(), "4000,20".into()));
    headers.push(("Coriandertide-Prompt-Prefix".into(), parts.into()));
    let request = Request {
        method: "POST".into(),
        target: PROMPT_PATH.into(),
        headers,
        body: format!("prompt {number}").into_bytes(),
    };
    Some(exchange(address, &request, Duration::from_secs(5)).ok()?.status)
}

fn headers(host: &str, id: &str, deadline_ms: u64) -> Vec<(String, String)> {
    vec![
        ("Host".into(), host.into()),
        ("Coriandertide-Request-Id".into(), id.into()),
        ("Coriandertide-Deadline-Ms".into(), deadline_ms.to_string()),
        ("Authorization".into(), format!("Bearer {KEY}")),
    ]
}

/// Answers with a short stream.
fn stream(request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Coriandertide-Request-Id: {id}\r\nCoriandertide-Server-Stamp: {}\r\n\
         Coriandertide-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\n\r\n",
        stamp(id)
    );
    for event in 1..=3 {
        let event = format!("id: {event}\ndata: token\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text.push_str("0\r\n\r\n");
    match writer.write_all(text.as_bytes()) {
        Ok(()) => Next::KeepConnection,
        Err(_) => Next::CloseConnection,
    }
}
