//! A server in trouble sends bytes that are no answer, while a sound one is silent for a moment.

use super::{Outcome, Setting};
use crate::http::{Request, connect, encode_request, read_response_head};
use crate::node::{await_ready, start_nodes};
use crate::server::{Next, Server, Spec, stamp};
use crate::site::{self, ENGINES, KEY, MODEL, NOTE_HOST, NOTE_PATH};
use crate::store::Store;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 6;
const CLIENTS: usize = 6;
const EVENTS: usize = 10;
const EVENT_PERIOD: Duration = Duration::from_millis(50);

/// Time for which the sound server is silent in each round.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Time between two rounds.
const PAUSE: Duration = Duration::from_millis(3_000);

/// Milliseconds for which a client waits.
const DEADLINE_MS: u64 = 6_000;

/// Bytes that the server in trouble sends at once, and every 50 ms from then on.
const FIRST_BYTES: usize = 6_000;
const NEXT_BYTES: usize = 100_000;

/// How a request ended for its client.
struct Ended {
    id: String,
    events: usize,
    how: &'static str,
}

pub fn run(setting: &Setting<'_>) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    site::configure(&store, 7, &[site::tenant(site::TENANT, KEY, false)]);
    let zones = ["bogota-norte", "bogota-centro"];
    let is_silent = Arc::new(AtomicBool::new(false));
    let passed_on: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let is_in_trouble = Arc::new(AtomicBool::new(false));
    let spec = |index: usize, id: &'static str| Spec {
        id,
        service: ENGINES,
        zone: zones[index],
        slots: 48,
        model: Some(MODEL),
        software: "v1",
    };
    let (silent, sound_runs) = (Arc::clone(&is_silent), Arc::clone(&passed_on));
    let sound = move |server: &Arc<Server>, request: &Request, writer: &mut TcpStream| {
        let id = request.header("coriandertide-request-id").unwrap_or("");
        server.record.line(&format!("{id} reaches {}", server.id));
        sound_runs.lock().expect("lock").insert(id.to_owned());
        while silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        stream(request, writer)
    };
    let trouble = Arc::clone(&is_in_trouble);
    let faulty = move |server: &Arc<Server>, request: &Request, writer: &mut TcpStream| {
        let id = request.header("coriandertide-request-id").unwrap_or("");
        server.record.line(&format!("{id} reaches {}", server.id));
        match trouble.load(Ordering::SeqCst) {
            true => endless(request, writer),
            false => stream(request, writer),
        }
    };
    let _sound = Server::start(spec(0, "i-7f3a91c1"), &store, record, Box::new(sound));
    let _faulty = Server::start(spec(1, "i-7f3a91c0"), &store, record, Box::new(faulty));
    let nodes = start_nodes(&zones, &store, setting.folder);
    if !await_ready(&nodes) {
        record.result("the nodes are not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let mut channels: Vec<Option<BufReader<TcpStream>>> = (0..CLIENTS).map(|_| None).collect();
    let mut ends = Vec::new();
    for round in 0..ROUNDS {
        // Each client's channel has carried a request before.
        ask_all(&nodes[round % 2].callers, &mut channels, &format!("before-{round}"), setting);
        is_silent.store(true, Ordering::SeqCst);
        is_in_trouble.store(setting.has_trouble, Ordering::SeqCst);
        let silent = Arc::clone(&is_silent);
        let wake = thread::spawn(move || {
            thread::sleep(SILENCE);
            silent.store(false, Ordering::SeqCst);
        });
        ends.extend(ask_all(
            &nodes[round % 2].callers,
            &mut channels,
            &format!("round-{round}"),
            setting,
        ));
        wake.join().expect("a timer");
        is_in_trouble.store(false, Ordering::SeqCst);
        // The next round goes to the other node.
        channels.iter_mut().for_each(|channel| *channel = None);
        thread::sleep(PAUSE);
    }
    judge(setting, &ends, &passed_on.lock().expect("lock"))
}

fn judge(setting: &Setting<'_>, ends: &[Ended], passed_on: &BTreeSet<String>) -> Outcome {
    let record = &setting.record;
    let at_sound: Vec<&Ended> = ends.iter().filter(|end| passed_on.contains(&end.id)).collect();
    let lost = at_sound.iter().filter(|end| end.events == 0 && end.how != "complete").count();
    let closed = at_sound.iter().filter(|end| end.events == 0 && end.how == "closed").count();
    let complete = at_sound.iter().filter(|end| end.how == "complete").count();
    record.result(&format!(
        "{} requests on kept channels, {} of them passed on to the sound server: {complete} complete, {lost} \
         without any event, of which {closed} channels were closed by the node",
        ends.len(),
        at_sound.len()
    ));
    if closed > 3 { Outcome::Broken } else { Outcome::Held }
}

fn ask_all(
    address: &SocketAddr,
    channels: &mut [Option<BufReader<TcpStream>>],
    phase: &str,
    setting: &Setting<'_>,
) -> Vec<Ended> {
    thread::scope(|scope| {
        let clients = channels.iter_mut().enumerate();
        let asked: Vec<_> = clients
            .map(|(number, channel)| {
                scope.spawn(move || {
                    ask(*address, channel, &format!("{phase}-{number}"), number, setting)
                })
            })
            .collect();
        asked.into_iter().map(|asked| asked.join().expect("a client")).collect()
    })
}

fn ask(
    address: SocketAddr,
    channel: &mut Option<BufReader<TcpStream>>,
    id: &str,
    number: usize,
    setting: &Setting<'_>,
) -> Ended {
    let sent_at = Instant::now();
    let (events, how) = exchange(address, channel, id, number);
    if how != "complete" {
        *channel = None;
    }
    setting
        .record
        .line(&format!("{id}: {events} events, {how} after {} ms", sent_at.elapsed().as_millis()));
    Ended { id: id.to_owned(), events, how }
}

fn exchange(
    address: SocketAddr,
    channel: &mut Option<BufReader<TcpStream>>,
    id: &str,
    number: usize,
) -> (usize, &'static str) {
    if channel.is_none() {
        *channel = connect(address, Duration::from_millis(DEADLINE_MS)).ok().map(BufReader::new);
    }
    let Some(reader) = channel else { return (0, "no connection") };
    let request = Request {
        method: "POST".into(),
        target: NOTE_PATH.into(),
        headers: vec![
            ("Host".into(), NOTE_HOST.into()),
            ("Coriandertide-Request-Id".into(), id.into()),
            ("Coriandertide-Deadline-Ms".into(), DEADLINE_MS.to_string()),
            ("Authorization".into(), format!("Bearer {KEY}")),
            ("Coriandertide-Model".into(), MODEL.into()),
            ("Coriandertide-Token-Usage".into(), "700,40".into()),
            (
                "Coriandertide-Prompt-Prefix".into(),
                format!("5c1e{number:04x}:120,91bd{number:04x}:80,{number:08x}:500"),
            ),
        ],
        body: id.as_bytes().to_vec(),
    };
    if reader.get_mut().write_all(&encode_request(&request)).is_err() {
        return (0, "not sent");
    }
    let head = match read_response_head(reader) {
        Ok(head) => head,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return (0, "no answer"),
        Err(_) => return (0, "closed"),
    };
    if head.status != 200 {
        let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        reader.consume(length);
        return (0, "failure");
    }
    let mut events = 0;
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(bytes) if bytes > 0 && line == "0\r\n" => {
                let _end = reader.read_line(&mut line);
                return (events, "complete");
            }
            Ok(bytes) if bytes > 0 => events += usize::from(line.starts_with("data: token")),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                return (events, "not ended");
            }
            Ok(_) | Err(_) => return (events, "closed"),
        }
    }
}

fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Coriandertide-Request-Id: {id}\r\nCoriandertide-Server-Stamp: {}\r\n\
         Coriandertide-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\n\r\n",
        stamp(id)
    )
}

/// Streams events; goes on after the event that the request names.
fn stream(request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let after = request.header("last-event-id").and_then(|after| after.parse().ok()).unwrap_or(0);
    if writer.write_all(head(id).as_bytes()).is_err() {
        return Next::CloseConnection;
    }
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
            return Next::CloseConnection;
        }
        thread::sleep(EVENT_PERIOD);
    }
    match writer.write_all(b"0\r\n\r\n") {
        Ok(()) => Next::KeepConnection,
        Err(_) => Next::CloseConnection,
    }
}

/// Sends a head and then bytes that are no event, until the caller closes.
fn endless(request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let mut bytes = FIRST_BYTES;
    let mut written = writer.write_all(head(id).as_bytes());
    while written.is_ok() {
        written = writer.write_all(format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).as_bytes());
        bytes = NEXT_BYTES;
        thread::sleep(Duration::from_millis(50));
    }
    Next::CloseConnection
}
