//! The platform's store: keyed topics of one partition each, as PROTOCOL.md describes them.

use crate::http::{self, Request};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    /// Topics whose partition is down: calls get 503, and nothing is done.
    down: BTreeSet<String>,
    /// Whether the whole store is down: all calls get 503.
    is_down: bool,
    /// Records before this offset were deleted; the newest of each key is kept.
    first_kept: BTreeMap<String, usize>,
    /// Long reads of servers' entries, by the address at which they arrived.
    reads: BTreeMap<SocketAddr, usize>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

/// Period at which old records are deleted.
const COMPACTION_PERIOD: Duration = Duration::from_millis(500);

const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

impl Store {
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        let handler =
            move |request: &Request, connection: &mut TcpStream| own.answer(request, connection);
        let address = http::Server::start(Arc::new(handler)).address;
        Self { shared, address }
    }

    /// Writes a record as the operator or a server does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.shared.append(topic, key, value.as_bytes().to_vec());
    }

    pub fn set_down(&self, topic: &str, is_down: bool) {
        let mut state = self.shared.state.lock().unwrap();
        match is_down {
            true => state.down.insert(topic.to_owned()),
            false => state.down.remove(topic),
        };
    }

    /// Returns a further address of the store, so that the calls of one node can be told.
    pub fn another_address(&self) -> SocketAddr {
        listen(&self.shared)
    }

    /// Returns the long reads of the servers' entries that came to an address.
    pub fn reads(&self, address: SocketAddr) -> usize {
        self.shared.state.lock().unwrap().reads.get(&address).copied().unwrap_or(0)
    }

    /// Deletes the records of operators and servers twice a second, but for the newest of each key.
    pub fn keep_newest_alone(&self) {
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            loop {
                thread::sleep(COMPACTION_PERIOD);
                let mut state = shared.state.lock().unwrap();
                for topic in ["keyed.op", "keyed.servers"] {
                    let end = state.topics.get(topic).map_or(0, Vec::len);
                    state.first_kept.insert(topic.to_owned(), end);
                }
            }
        });
    }

    /// Sets whether the whole store is down, for servers as well.
    pub fn set_all_down(&self, is_down: bool) {
        self.shared.state.lock().unwrap().is_down = is_down;
    }

    /// Whether the whole store is down.
    pub fn is_down(&self) -> bool {
        self.shared.state.lock().unwrap().is_down
    }
}

/// Serves a store at a free port.
fn listen(shared: &Arc<Shared>) -> SocketAddr {
    let shared = Arc::clone(shared);
    let handler =
        move |request: &Request, connection: &mut TcpStream| shared.answer(request, connection);
    http::Server::start(Arc::new(handler)).address
}

impl Shared {
    fn append(&self, topic: &str, key: &str, value: Vec<u8>) -> usize {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value));
        self.changed.notify_all();
        records.len()
    }

    fn answer(&self, request: &Request, connection: &mut TcpStream) -> io::Result<bool> {
        let topic = request.query("Topic").unwrap_or_default().to_owned();
        let is_down = {
            let state = self.state.lock().unwrap();
            state.is_down || state.down.contains(&topic)
        };
        if is_down {
            return http::reply(connection, "503 Service Unavailable", &[], b"");
        }
        match request.path() {
            "/-/log-newest" => self.list(&topic, request, connection),
            "/-/log-read" => self.read(&topic, request, connection),
            "/-/log-append" => self.append_call(&topic, request, connection),
            _ => http::reply(connection, "404 Not Found", &[], b""),
        }
    }

    fn list(&self, topic: &str, request: &Request, connection: &mut TcpStream) -> io::Result<bool> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        drop(state);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let after = request.query("after").unwrap_or_default().to_owned();
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after.as_str())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"More\":false,\"End\":{}}}", records.len());
        http::reply(connection, "200 OK", &JSON, body.as_bytes())
    }

    fn read(&self, topic: &str, request: &Request, connection: &mut TcpStream) -> io::Result<bool> {
        let number = |name| request.query(name).and_then(|value| value.parse::<u64>().ok());
        let from = number("From").unwrap_or(0) as usize;
        let wait_ms = number("WaitMs").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        if topic == "keyed.servers" && wait_ms > 0 {
            *state.reads.entry(connection.local_addr()?).or_default() += 1;
        }
        let records = loop {
            let records = state.topics.get(topic).cloned().unwrap_or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if state.is_down {
                return http::reply(connection, "503 Service Unavailable", &[], b"");
            }
            if records.len() != from || left.is_zero() {
                break records;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        let first = state.first_kept.get(topic).copied().unwrap_or(0);
        drop(state);
        if from < first || records.len() < from {
            let body = format!("{{\"First\":{first}}}");
            return http::reply(connection, "410 Gone", &JSON, body.as_bytes());
        }
        let mut body = Vec::new();
        body.extend((records.len() as u64).to_be_bytes());
        body.extend((first as u64).to_be_bytes());
        for (key, value) in &records[from..] {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        http::reply(connection, "200 OK", &[], &body)
    }

    fn append_call(
        &self,
        topic: &str,
        request: &Request,
        connection: &mut TcpStream,
    ) -> io::Result<bool> {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let at = request.query("At").and_then(|value| value.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            let body = format!("{{\"End\":{}}}", records.len());
            return http::reply(connection, "412 Precondition Failed", &JSON, body.as_bytes());
        }
        let offset = records.len();
        let mut rest = request.body.as_slice();
        while rest.len() > 4 {
            let (length, after) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let (record, after) = after.split_at(length);
            let (key, value) = record[1..].split_at(record[0].into());
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = after;
        }
        let body = format!("{{\"Offset\":{offset},\"End\":{}}}", records.len());
        self.changed.notify_all();
        drop(state);
        http::reply(connection, "200 OK", &JSON, body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
