//! Stand-in of a server: reports, expected instances, crashes and restarts under the same id.

use crate::http::{Request, encode_response, read_request};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a server does after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    KeepConnection,
    CloseConnection,
}

/// Runs a request and writes the answer.
pub type Run = Box<dyn Fn(&Arc<Server>, &Request, &mut TcpStream) -> Next + Send + Sync>;

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Model that it serves, with the version of the weights.
    pub model: Option<(String, u64)>,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    store: Arc<Store>,
    software: Mutex<String>,
    born: AtomicU64,
    starts: AtomicU64,
    heartbeats: AtomicU64,
    is_up: AtomicBool,
    is_listed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    run: Run,
}

pub struct Spec<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub model: Option<&'a str>,
    pub software: &'a str,
}

impl Server {
    pub fn start(spec: Spec<'_>, store: &Arc<Store>, record: &Arc<Record>, run: Run) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: spec.id.to_owned(),
            service: spec.service.to_owned(),
            zone: spec.zone.to_owned(),
            slots: spec.slots,
            model: spec.model.map(|model| (model.to_owned(), 1)),
            address: listener.local_addr().expect("a bound listener"),
            record: Arc::clone(record),
            store: Arc::clone(store),
            software: Mutex::new(spec.software.to_owned()),
            born: AtomicU64::new(0),
            starts: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            is_listed: AtomicBool::new(true),
            connections: Mutex::default(),
            run,
        });
        server.begin(listener);
        server
    }

    pub fn software(&self) -> String {
        self.software.lock().expect("lock").clone()
    }

    /// Number of this start, from 1.
    pub fn starts(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Ends like a process that is killed: its listener and its connections are gone.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server {} crashed", self.id));
    }

    /// Leaves without a word: its entry is removed, and it serves on.
    pub fn leave(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, "");
        self.record.line(&format!("the entry of server {} is removed", self.id));
    }

    /// Starts again under the id and the address that it had.
    pub fn restart(self: &Arc<Self>, software: &str) {
        *self.software.lock().expect("lock") = software.to_owned();
        loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => return self.begin(listener),
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    fn begin(self: &Arc<Self>, listener: TcpListener) {
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.record.line(&format!(
            "server {} ({}) starts at {} with software {}, born {}",
            self.id,
            self.service,
            self.address,
            self.software(),
            self.born.load(Ordering::SeqCst)
        ));
        listener.set_nonblocking(true).expect("a listener");
        let server = Arc::clone(self);
        thread::spawn(move || {
            while server.is_up() && server.starts() == start {
                match listener.accept() {
                    Ok((stream, _peer)) => server.accept(stream),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        let server = Arc::clone(self);
        // Heartbeats: the entry is written while the store takes it.
        thread::spawn(move || {
            while server.is_up() && server.starts() == start {
                let delay = match server.store.is_down() {
                    true => 50,
                    false => {
                        server.register();
                        1_200
                    }
                };
                thread::sleep(Duration::from_millis(delay));
            }
        });
    }

    fn register(&self) {
        if !self.is_listed.load(Ordering::SeqCst) {
            return;
        }
        let sequence = self.heartbeats.fetch_add(1, Ordering::SeqCst) + 1;
        let models = self.models();
        let entry = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"{}","Slots":{},"State":"ready","ColdRemainingMs":0,"Sequence":{sequence},"Stage":"unified","Models":{models},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.software(),
            self.slots,
            self.born.load(Ordering::SeqCst)
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    fn models(&self) -> String {
        match &self.model {
            Some((name, version)) => {
                format!(r#"[{{"Name":"{name}","Version":{version},"Adapters":[]}}]"#)
            }
            None => "[]".to_owned(),
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let _set = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let Ok(shared) = stream.try_clone() else { return };
        self.connections.lock().expect("lock").push(shared);
        let server = Arc::clone(self);
        thread::spawn(move || {
            server.serve(&stream);
            let _closed = stream.shutdown(Shutdown::Both);
        });
    }

    fn serve(self: &Arc<Self>, stream: &TcpStream) {
        let (Ok(mut writer), Ok(reader)) = (stream.try_clone(), stream.try_clone()) else { return };
        let mut reader = BufReader::new(reader);
        while let Ok(request) = read_request(&mut reader) {
            if !self.is_up() {
                return;
            }
            let expected = request.header("coriandertide-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [
                    ("Coriandertide-Not-Executed", "1"),
                    ("Coriandertide-Instance-Id", self.id.as_str()),
                ];
                if writer.write_all(&encode_response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if request.path() == "/-/report" {
                let body = format!(
                    r#"{{"Stage":"unified","Models":{},"Busy":false,"Sequence":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":114981,"Handles":0,"State":"ready","Next":0,"Runs":[],"born":{}}}"#,
                    self.models(),
                    self.born.load(Ordering::SeqCst)
                );
                let headers = [("Content-Type", "application/json")];
                if writer.write_all(&encode_response(200, &headers, body.as_bytes())).is_err() {
                    return;
                }
                continue;
            }
            if (self.run)(self, &request, &mut writer) == Next::CloseConnection {
                return;
            }
        }
    }
}

/// Stamp of an answer.
pub fn stamp(request_id: &str) -> String {
    let sum = request_id.bytes().fold(17_u32, |sum, b| sum.wrapping_mul(31) + u32::from(b));
    format!("3e1b.07.{sum:08x}")
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    u64::try_from(now.as_millis()).expect("a time before the year 9999")
}
