//! Stand-in of the platform's metadata store: topics of keyed records in one partition each.

use crate::http::{Request, encode_response, read_request};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Period at which a read that waits looks whether the store is down.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Records of topics.
pub type Topics = BTreeMap<String, Vec<Vec<u8>>>;

pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<Topics>,
    /// Rises with each return from a copy.
    era: AtomicU64,
    changed: Condvar,
    is_down: AtomicBool,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a bound listener"),
            topics: Mutex::default(),
            era: AtomicU64::new(0),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> Topics {
        self.topics.lock().expect("lock").clone()
    }

    /// Goes on from a copy: what was written since is gone. The operator writes again at once what it had
    /// written; the servers do so with their next heartbeat.
    pub fn restore(&self, copy: Topics) {
        let mut topics = self.topics.lock().expect("lock");
        let newest = topics.get("keyed.op").and_then(|records| records.last()).cloned();
        *topics = copy;
        if let Some(newest) = newest {
            topics.entry("keyed.op".to_owned()).or_default().push(newest);
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(topics);
        self.changed.notify_all();
    }

    /// Whether calls get 503, which means that nothing was done.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Writes a keyed record as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.topics.lock().expect("lock").entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.era.load(Ordering::SeqCst).to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if writer.write_all(&encode_response(status, &headers, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        if self.is_down() {
            return (503, Vec::new());
        }
        let topic = request.query("Topic").unwrap_or_default();
        match request.path() {
            "/-/log-newest" => self.newest(&topic),
            "/-/log-read" => self.read(&topic, request),
            "/-/log-append" => self.append(&topic, request),
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().expect("lock");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = split(record);
            match value.is_empty() {
                true => newest.remove(key),
                false => newest.insert(key.to_vec(), (offset, value.to_vec())),
            };
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!(r#"{{"Key":"{key}","Value":"{}","Offset":{offset}}}"#, base64(value))
            })
            .collect();
        let end = records.len();
        let body = format!(r#"{{"items":[{}],"More":false,"End":{end}}}"#, items.join(","));
        (200, body.into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("From").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut topics = self.topics.lock().expect("lock");
        loop {
            if self.is_down() {
                return (503, Vec::new());
            }
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            if records.len() < from {
                return (410, br#"{"First":0}"#.to_vec());
            }
            if records.len() > from || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            topics = self.changed.wait_timeout(topics, POLL_PERIOD).expect("lock").0;
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock().expect("lock");
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if request.query("At").is_some_and(|at| at != end.to_string()) {
            return (412, format!(r#"{{"End":{end}}}"#).into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let body = format!(r#"{{"Offset":{end},"End":{}}}"#, records.len()).into_bytes();
        self.changed.notify_all();
        (200, body)
    }
}

fn split(record: &[u8]) -> (&[u8], &[u8]) {
    let length = usize::from(record[0]);
    (&record[1..1 + length], &record[1 + length..])
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
