//! Model servers: register themselves, answer reports and orders, and send streams.

use crate::http::{self, Request, Server};
use crate::record::Record;
use crate::store::Store;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const MODEL: &str = "daka510000";

/// Period of the beats.
const BEAT: Duration = Duration::from_millis(1_200);

/// Time in which a server loads new weights.
const LOAD: Duration = Duration::from_millis(420);

/// Time after which a server tries to write its entry again.
const WRITE_RETRY: Duration = Duration::from_millis(100);

/// What a model server is and does.
#[derive(Clone)]
pub struct EngineSettings {
    pub id: String,
    pub zone: String,
    pub software: &'static str,
    /// Events of a whole stream.
    pub events: u64,
    pub event_pause: Duration,
}

/// Start of a server.
struct Boot {
    settings: EngineSettings,
    born: u128,
    /// Whether its entry is written.
    is_registered: AtomicBool,
    /// Requests that it has run.
    runs: Mutex<Vec<String>>,
    weights: Mutex<Weights>,
    record: Record,
}

/// Weights of a server, and the orders for others.
struct Weights {
    version: u64,
    accepted_orders: u64,
    highest_fence: u64,
    /// Whether an order is in progress.
    is_busy: bool,
    /// Streams that are running.
    running: u64,
}

/// A running model server.
pub struct Engine {
    boot: Arc<Boot>,
    server: Server,
    store: Store,
}

impl Engine {
    /// Starts a server, which registers itself.
    pub fn start(settings: EngineSettings, store: &Store, record: &Record) -> Self {
        let boot = Boot::new(settings, 1, record);
        let server = Server::start(Boot::handler(&boot));
        Self::register(boot, server, store)
    }

    /// Starts another process at the address of this one, which has ended, under the same id.
    pub fn restart(&self, software: &'static str) -> io::Result<Self> {
        let settings = EngineSettings { software, ..self.boot.settings.clone() };
        let weights = self.boot.weights.lock().unwrap().version;
        let boot = Boot::new(settings, weights, &self.boot.record);
        let server = Server::restart(self.server.address, Boot::handler(&boot))?;
        Ok(Self::register(boot, server, &self.store))
    }

    /// Writes the entry as soon as the store takes it, and beats from then on.
    fn register(boot: Arc<Boot>, server: Server, store: &Store) -> Self {
        let engine = Self { boot, server, store: store.clone() };
        let (boot, store) = (Arc::clone(&engine.boot), engine.store.clone());
        let address = engine.server.address;
        thread::spawn(move || {
            let mut beats = 0;
            while boot.is_registered.load(Ordering::SeqCst) {
                if store.is_down() {
                    thread::sleep(WRITE_RETRY);
                    continue;
                }
                let EngineSettings { id, zone, software, .. } = &boot.settings;
                let entry = format!(
                    "{{\"Service\":\"models\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
                     \"Version\":\"{software}\",\"Slots\":48,\"State\":\"ready\",\"ColdRemainingMs\":0,\
                     \"Stage\":\"unified\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":{},\
                     \"Adapters\":[]}}],\"Sequence\":{beats},\"born\":{}}}",
                    boot.weights.lock().unwrap().version,
                    boot.born
                );
                store.put("keyed.servers", id, &entry);
                if beats == 0 {
                    boot.record.add(format!("the entry of {id} says {software}"));
                }
                beats += 1;
                thread::sleep(BEAT);
            }
        });
        engine
    }

    /// Leaves without reporting `draining`: the entry is removed, and the server goes on for a while.
    pub fn remove_entry(&self) {
        self.boot.is_registered.store(false, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.boot.settings.id, "");
    }

    /// Ends the process.
    pub fn end(&self) {
        self.boot.is_registered.store(false, Ordering::SeqCst);
        self.server.end();
    }

    /// Returns the ids of the requests that this process has run.
    pub fn runs(&self) -> Vec<String> {
        self.boot.runs.lock().unwrap().clone()
    }
}

impl Boot {
    fn new(settings: EngineSettings, version: u64, record: &Record) -> Arc<Self> {
        let weights =
            Weights { version, accepted_orders: 0, highest_fence: 0, is_busy: false, running: 0 };
        Arc::new(Self {
            settings,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            is_registered: AtomicBool::new(true),
            runs: Mutex::default(),
            weights: Mutex::new(weights),
            record: record.clone(),
        })
    }

    fn handler(boot: &Arc<Self>) -> Arc<http::Handler> {
        let boot = Arc::clone(boot);
        Arc::new(move |request: &Request, connection: &mut TcpStream| {
            boot.answer(request, connection)
        })
    }

    fn answer(self: &Arc<Self>, request: &Request, connection: &mut TcpStream) -> io::Result<bool> {
        let own_id = self.settings.id.as_str();
        let id = request.header("coriandertide-request-id").unwrap_or_default();
        let expected = request.header("coriandertide-expect-instance");
        let expected_weights = request.header("coriandertide-expect-version");
        let (version, is_busy, accepted_orders) = {
            let weights = self.weights.lock().unwrap();
            (weights.version.to_string(), weights.is_busy, weights.accepted_orders)
        };
        let is_misdirected = expected.is_some_and(|expected| expected != own_id)
            || expected_weights.is_some_and(|weights| weights != version);
        if is_misdirected {
            let headers = [
                ("Coriandertide-Not-Executed", "1"),
                ("Coriandertide-Instance-Id", own_id),
                ("Coriandertide-Weight-Versions", version.as_str()),
                ("Coriandertide-Request-Id", id),
            ];
            return http::reply(connection, "421 Misdirected Request", &headers, b"");
        }
        match request.path() {
            "/-/report" => {
                let report = format!(
                    "{{\"Stage\":\"unified\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":{version},\
                     \"Adapters\":[]}}],\"Busy\":{is_busy},\"Sequence\":{accepted_orders},\
                     \"Waiting\":0,\"Running\":0,\
                     \"KvUsed\":0,\"KvTotal\":132676,\"Handles\":0,\"born\":{}}}",
                    self.born
                );
                let headers = [("Content-Type", "application/json")];
                http::reply(connection, "200 OK", &headers, report.as_bytes())
            }
            "/-/order" => self.order(request, connection),
            "/healthz" => {
                let headers = [("Coriandertide-Instance-Id", own_id)];
                http::reply(connection, "200 OK", &headers, b"")
            }
            path if path.starts_with("/-/") => http::reply(connection, "404 Not Found", &[], b""),
            _ if is_busy => {
                let headers =
                    [("Coriandertide-Not-Executed", "1"), ("Coriandertide-Request-Id", id)];
                http::reply(connection, "503 Service Unavailable", &headers, b"")
            }
            _ => {
                self.weights.lock().unwrap().running += 1;
                let sent = self.stream(request, id, &version, connection);
                self.weights.lock().unwrap().running -= 1;
                sent
            }
        }
    }

    /// Answers an order for other weights, and carries it out.
    fn order(self: &Arc<Self>, request: &Request, connection: &mut TcpStream) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |name: &str| {
            let (_, value) = body.split_once(&format!("\"{name}\":"))?;
            Some(value.split([',', '}']).next().unwrap_or_default().trim_matches('"').to_owned())
        };
        let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
        let (Some(version), Some(fence), Some(holder)) =
            (number("Version"), number("FencingToken"), text("Holder"))
        else {
            return http::reply(connection, "400 Bad Request", &[], b"");
        };
        let must_wait = text("Mode").as_deref() == Some("wait");
        let status = {
            let mut weights = self.weights.lock().unwrap();
            if fence < weights.highest_fence {
                "412 Precondition Failed"
            } else if weights.version == version && !weights.is_busy {
                "200 OK"
            } else if weights.is_busy
                || number("Expected").is_some_and(|n| n != weights.accepted_orders)
            {
                "409 Conflict"
            } else {
                weights.highest_fence = fence;
                weights.accepted_orders += 1;
                weights.is_busy = true;
                "202 Accepted"
            }
        };
        let own_id = &self.settings.id;
        self.record
            .add(format!("server {own_id}: order of {holder} for weights {version}: {status}"));
        if status.starts_with("202") {
            let boot = Arc::clone(self);
            thread::spawn(move || {
                while must_wait && boot.weights.lock().unwrap().running > 0 {
                    thread::sleep(Duration::from_millis(5));
                }
                thread::sleep(LOAD);
                let mut weights = boot.weights.lock().unwrap();
                (weights.version, weights.is_busy) = (version, false);
            });
        }
        http::reply(connection, status, &[], b"")
    }

    fn stream(
        &self,
        request: &Request,
        id: &str,
        weights: &str,
        connection: &mut TcpStream,
    ) -> io::Result<bool> {
        let EngineSettings { id: own_id, software, events, event_pause, .. } = &self.settings;
        let after = request.header("last-event-id").and_then(|value| value.parse().ok());
        let after = after.unwrap_or(0);
        self.runs.lock().unwrap().push(id.to_owned());
        self.record.add(format!("server {own_id} ({software}) runs {id} after event {after}"));
        write!(
            connection,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Coriandertide-Request-Id: {id}\r\nCoriandertide-Server-Stamp: {own_id}.{id}\r\n\
             Coriandertide-Weight-Versions: {weights}\r\n\r\n"
        )?;
        for number in after + 1..=*events {
            thread::sleep(*event_pause);
            let event = format!("id: {number}\ndata: {software}\n\n");
            write!(connection, "{:x}\r\n{event}\r\n", event.len())?;
        }
        write!(connection, "0\r\n\r\n")?;
        Ok(true)
    }
}
