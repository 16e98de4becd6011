//! Stand-in of the platform's store: keyed topics with one partition, reads that wait and
//! conditional appends.

use crate::http::{Request, read_request, respond};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Vec<Record>>>,
    changed: Condvar,
    is_silent: AtomicBool,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<Shared> = Arc::default();
        let of_listener = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&of_listener);
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Self { address, shared }
    }

    /// Writes a record as the operator would; the write is the ack.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.shared.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.shared.changed.notify_all();
    }

    /// Sets whether calls get no answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::SeqCst);
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if shared.is_silent.load(Ordering::SeqCst) {
            // A channel on which an answer is lost returns nothing further.
            while shared.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        thread::sleep(Duration::from_millis(4));
        let (status, body) = answer(shared, &request);
        if shared.is_silent.load(Ordering::SeqCst)
            || respond(&mut writer, status, &[], &body).is_err()
        {
            return;
        }
    }
}

fn answer(shared: &Shared, request: &Request) -> (u16, Vec<u8>) {
    let topic = request.query_value("Topic").unwrap_or_default().to_owned();
    match request.path.as_str() {
        "/-/log-newest" => (200, newest(shared, &topic)),
        "/-/log-read" => read(shared, &topic, request),
        "/-/log-append" => append(shared, &topic, request),
        _ => (404, Vec::new()),
    }
}

fn newest(shared: &Shared, topic: &str) -> Vec<u8> {
    let topics = shared.topics.lock().expect("no panic");
    let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    newest.retain(|_, (_, value)| !value.is_empty());
    let items: Vec<String> = newest
        .iter()
        .map(|(key, (offset, value))| {
            format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
        })
        .collect();
    format!("{{\"items\":[{}],\"More\":false,\"End\":{}}}", items.join(","), records.len()).into()
}

fn read(shared: &Shared, topic: &str, request: &Request) -> (u16, Vec<u8>) {
    let number = |name| request.query_value(name).and_then(|text| text.parse::<u64>().ok());
    let from = number("From").unwrap_or(0) as usize;
    let deadline = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
    let mut topics = shared.topics.lock().expect("no panic");
    loop {
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        if records.len() < from {
            return (410, b"{\"First\":0}".to_vec());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
            bytes.extend(0_u64.to_be_bytes());
            for (key, value) in &records[from..] {
                bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                bytes.push(key.len() as u8);
                bytes.extend(key.as_bytes());
                bytes.extend(value);
            }
            return (200, bytes);
        }
        topics = shared.changed.wait_timeout(topics, left).expect("no panic").0;
    }
}

fn append(shared: &Shared, topic: &str, request: &Request) -> (u16, Vec<u8>) {
    let mut topics = shared.topics.lock().expect("no panic");
    let records = topics.entry(topic.to_owned()).or_default();
    let end = records.len();
    let at = request.query_value("At").and_then(|text| text.parse::<usize>().ok());
    if at.is_some_and(|at| at != end) {
        return (412, format!("{{\"End\":{end}}}").into());
    }
    if request.body.len() < 5 {
        return (400, Vec::new());
    }
    let key_bytes = usize::from(request.body[4]);
    let key = String::from_utf8_lossy(&request.body[5..5 + key_bytes]).into_owned();
    records.push((key, request.body[5 + key_bytes..].to_vec()));
    shared.changed.notify_all();
    (200, format!("{{\"Offset\":{end},\"End\":{}}}", end + 1).into())
}

/// Encodes a keyed record for an append.
pub fn encode_keyed(key: &str, value: &str) -> Vec<u8> {
    let mut bytes = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    bytes.push(key.len() as u8);
    bytes.extend(key.as_bytes());
    bytes.extend(value.as_bytes());
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let letter = ALPHABET[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { letter as char } else { '=' });
        }
    }
    text
}
