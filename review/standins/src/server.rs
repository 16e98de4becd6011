//! Stand-in of a model server, a process of its own: registers itself, and answers requests with
//! streams of events.

use crate::http::{Request, call, read_request, respond};
use crate::record::{Record, unix_ms};
use crate::store::encode_keyed;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Model that the servers serve, in version 1.
pub const MODEL: &str = "m1";

/// Time between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Arguments of a server process, as `name=value`.
#[derive(Clone, Debug)]
pub struct Arguments {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub software: String,
    pub store: SocketAddr,
    /// Events of a stream, and the pause between them.
    pub events: u64,
    pub pause_ms: u64,
    /// Whether the parts that requests make and use are recorded.
    pub records_parts: bool,
    /// Whether answers have chunks; without them they end with their channel.
    pub has_chunks: bool,
    pub record: String,
    pub start_unix_ms: u64,
}

impl Arguments {
    pub fn to_words(&self) -> Vec<String> {
        let Self { id, address, service, software, store, events, pause_ms, record, .. } = self;
        vec![
            format!("id={id}"),
            format!("address={address}"),
            format!("service={service}"),
            format!("software={software}"),
            format!("store={store}"),
            format!("events={events}"),
            format!("pause_ms={pause_ms}"),
            format!("records_parts={}", self.records_parts),
            format!("has_chunks={}", self.has_chunks),
            format!("record={record}"),
            format!("start_unix_ms={}", self.start_unix_ms),
        ]
    }

    pub fn parse(words: impl Iterator<Item = String>) -> Self {
        let pairs: BTreeMap<String, String> = words
            .filter_map(|word| word.split_once('=').map(|(a, b)| (a.to_owned(), b.to_owned())))
            .collect();
        let text = |name: &str| pairs.get(name).cloned().unwrap_or_default();
        Self {
            id: text("id"),
            address: text("address").parse().expect("an address"),
            service: text("service"),
            software: text("software"),
            store: text("store").parse().expect("an address"),
            events: text("events").parse().expect("a number"),
            pause_ms: text("pause_ms").parse().expect("a number"),
            records_parts: text("records_parts") == "true",
            has_chunks: text("has_chunks") != "false",
            record: text("record"),
            start_unix_ms: text("start_unix_ms").parse().expect("a number"),
        }
    }
}

/// Cached part: its maker.
struct Part {
    tenant: String,
    request: String,
}

struct Server {
    arguments: Arguments,
    born_unix_ms: u64,
    record: Record,
    /// Cached parts by salt and by the ids of the part and of those before it.
    parts: Mutex<HashMap<(String, String), Part>>,
    orders: AtomicU64,
    version: AtomicU64,
}

/// Runs a server until the process is killed.
pub fn run(arguments: Arguments) {
    let record = Record::open(Path::new(&arguments.record), arguments.start_unix_ms);
    let listener = TcpListener::bind(arguments.address).expect("the address is free");
    let server = Arc::new(Server {
        born_unix_ms: unix_ms(),
        record,
        parts: Mutex::default(),
        orders: AtomicU64::new(0),
        version: AtomicU64::new(1),
        arguments,
    });
    let of_beats = Arc::clone(&server);
    thread::spawn(move || of_beats.register());
    server.record.line(&format!(
        "server {} starts software={}",
        server.arguments.id, server.arguments.software
    ));
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    /// Writes the entry at once, and then with every heartbeat.
    fn register(&self) {
        let Arguments { id, address, service, software, store, .. } = &self.arguments;
        let mut sequence = 0;
        loop {
            sequence += 1;
            let entry = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"z1\",\
                 \"Version\":\"{software}\",\"Slots\":48,\"State\":\"ready\",\
                 \"ColdRemainingMs\":0,\"Stage\":\"unified\",\"Models\":[{{\"Name\":\"{MODEL}\",\
                 \"Version\":{},\"Adapters\":[]}}],\"Sequence\":{sequence},\"born\":{}}}",
                self.version.load(Ordering::SeqCst),
                self.born_unix_ms
            );
            let began_at = Instant::now();
            let headers = [("Host".to_owned(), store.to_string())];
            let answer = call(
                *store,
                "POST",
                "/-/log-append?Topic=keyed.servers&part=0",
                &headers,
                &encode_keyed(id, &entry),
                began_at + Duration::from_millis(1_000),
            );
            let pause = if answer.status == 200 { HEARTBEAT } else { Duration::from_millis(100) };
            thread::sleep(pause.saturating_sub(began_at.elapsed()));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let instance = self.arguments.id.clone();
        if request.header("coriandertide-expect-instance").is_some_and(|id| id != instance) {
            return respond(writer, 421, &[("Coriandertide-Instance-Id", instance)], b"");
        }
        match request.path.as_str() {
            "/-/report" => {
                let body = format!(
                    "{{\"Stage\":\"unified\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":{},\
                     \"Adapters\":[]}}],\"Busy\":false,\"Sequence\":{},\"Waiting\":0,\
                     \"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"born\":{}}}",
                    self.version.load(Ordering::SeqCst),
                    self.orders.load(Ordering::SeqCst),
                    self.born_unix_ms
                );
                respond(writer, 200, &[], body.as_bytes())
            }
            _ => self.run(request, writer),
        }
    }

    fn run(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let version = self.version.load(Ordering::SeqCst).to_string();
        let Some(id) = request.header("coriandertide-request-id") else {
            return respond(writer, 400, &[("Coriandertide-Not-Executed", "1".to_owned())], b"");
        };
        let expected = request.header("coriandertide-expect-version");
        if expected.is_some_and(|expected| expected != version) {
            let headers = [
                ("Coriandertide-Request-Id", id.to_owned()),
                ("Coriandertide-Weight-Versions", version),
            ];
            return respond(writer, 421, &headers, b"");
        }
        let Arguments { id: server, software, events, pause_ms, .. } = &self.arguments;
        let after = request.header("last-event-id").unwrap_or("0");
        self.record.line(&format!("server {server} software={software} runs {id} after={after}"));
        if self.arguments.records_parts {
            self.read_parts(request, id);
        }
        let framing = match self.arguments.has_chunks {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             Coriandertide-Request-Id: {id}\r\nCoriandertide-Server-Stamp: stamp.{server}\r\n\
             Coriandertide-Weight-Versions: {version}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let first = after.parse::<u64>().unwrap_or(0) + 1;
        for number in first..=*events {
            thread::sleep(Duration::from_millis(*pause_ms));
            let event = format!("id: {number}\ndata: {software}\n\n");
            let bytes = match self.arguments.has_chunks {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            writer.write_all(bytes.as_bytes())?;
        }
        self.record.line(&format!("server {server} ends {id} after its last event {events}"));
        match self.arguments.has_chunks {
            true => writer.write_all(b"0\r\n\r\n"),
            // The end of the channel ends the answer.
            false => Err(std::io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Uses the cached parts of a prompt under the salt of the request, and caches the others.
    fn read_parts(&self, request: &Request, id: &str) {
        let server = &self.arguments.id;
        let salt = request.header("coriandertide-cache-salt").unwrap_or_default().to_owned();
        let tenant = request.header("coriandertide-tenant").unwrap_or("none").to_owned();
        let listed = request.header("coriandertide-prompt-prefix").unwrap_or_default();
        let mut parts = self.parts.lock().expect("no panic");
        let mut chain = String::new();
        let mut is_cached = true;
        for part in listed.split(',').filter_map(|part| part.split_once(':')).map(|(id, _)| id) {
            chain = format!("{chain}/{part}");
            let key = (salt.clone(), chain.clone());
            match parts.get(&key).filter(|_| is_cached) {
                Some(Part { tenant: maker, request: made_by }) => self.record.line(&format!(
                    "server {server} request {id} of tenant {tenant} uses part {part} salt={salt} \
                     maker={maker} made_by={made_by}"
                )),
                None => {
                    is_cached = false;
                    self.record.line(&format!(
                        "server {server} request {id} of tenant {tenant} makes part {part} salt={salt}"
                    ));
                    parts.insert(key, Part { tenant: tenant.clone(), request: id.to_owned() });
                }
            }
        }
    }
}
