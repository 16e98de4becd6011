//! The cases, by name.

mod joined_streams;
mod killed_nodes;
mod upgraded_in_place;
mod woken_node;

use crate::Verdict;
use crate::engine::{Engine, EngineSettings};
use crate::node::Node;
use crate::record::Record;
use crate::site::{Folder, KEY, prepare};
use crate::store::Store;
use crate::streams::{Client, Received, Retries, read_stream};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Events of a whole stream, and the time between two.
const EVENTS: u64 = 73;
const EVENT_PAUSE: Duration = Duration::from_millis(110);

/// Silence after which clients abandon a stream.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// Streams that clients ask for, and the time between two.
const STREAMS: usize = 48;
const STREAM_PAUSE: Duration = Duration::from_millis(25);

/// Tries after the first one of clients whose stream breaks.
const RETRIES: Retries = Retries { count: 4, pause: Duration::from_millis(600) };

/// Joined streams that the rule allows.
const MAX_JOINED: usize = 2;

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "killed_nodes" => killed_nodes::run(has_trouble, record),
        "joined_streams" => joined_streams::run(has_trouble, record),
        "woken_node" => woken_node::run(has_trouble, record),
        "upgraded_in_place" => upgraded_in_place::run(has_trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// Nodes, and three model servers of version v1.
struct Site {
    store: Store,
    nodes: Vec<Node>,
    old: Vec<Engine>,
    /// Nodes that take new channels, as the platform's entry knows them.
    ready: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    _folder: Folder,
}

impl Site {
    fn start_nodes(&mut self, is_first_start: bool) -> Result<(), String> {
        for node in &mut self.nodes {
            node.start(is_first_start)?;
        }
        for (index, node) in self.nodes.iter().enumerate() {
            node.wait_until_ready()?;
            self.ready.lock().unwrap()[index] = Some(node.ports.callers);
        }
        Ok(())
    }

    fn kill_nodes(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        self.ready.lock().unwrap().fill(None);
    }
}

fn settings(id: &str, zone: &str, software: &'static str, events: u64) -> EngineSettings {
    let (id, zone) = (id.to_owned(), zone.to_owned());
    EngineSettings { id, zone, software, events, event_pause: EVENT_PAUSE }
}

/// Starts a site of some nodes and waits until it is calm.
fn start_site(node_count: usize, record: &Record) -> Result<Site, String> {
    let folder = Folder::new()?;
    let (store, nodes) = prepare(folder.path(), node_count);
    let server = |number: usize| {
        let settings = settings(&format!("i-old{number}"), &format!("z{number}"), "v1", EVENTS);
        Engine::start(settings, &store, record)
    };
    let old = (1..=3).map(server).collect();
    let ready = Arc::new(Mutex::new(vec![None; nodes.len()]));
    let mut site = Site { store, nodes, old, ready, _folder: folder };
    site.start_nodes(true)?;
    thread::sleep(Duration::from_secs(6));
    Ok(site)
}

type Clients = Vec<JoinHandle<Received>>;

/// Starts clients one after the other, each at the next node.
fn start_clients(site: &Site, count: usize, record: &Record) -> Clients {
    start_patient_clients(site, 0..count, RETRIES, record)
}

fn start_patient_clients(
    site: &Site,
    numbers: Range<usize>,
    retries: Retries,
    record: &Record,
) -> Clients {
    let client = |number: usize| Client {
        number,
        key: KEY,
        part: format!("{number:08x}"),
        patience: PATIENCE,
        retries,
    };
    let mut clients = Vec::new();
    for number in numbers {
        clients.push(start_client(site, client(number), record));
        thread::sleep(STREAM_PAUSE);
    }
    clients
}

fn start_client(site: &Site, client: Client, record: &Record) -> JoinHandle<Received> {
    let (ready, record) = (Arc::clone(&site.ready), record.clone());
    thread::spawn(move || {
        let entry = |turn: usize| {
            let ready: Vec<SocketAddr> = ready.lock().unwrap().iter().flatten().copied().collect();
            ready.get(turn % ready.len().max(1)).copied()
        };
        read_stream(&client, &entry, &record)
    })
}

/// Waits for the clients; the rule is broken if too many streams hold events of two versions.
fn judge(
    clients: Clients,
    new: &[&Engine],
    site: &Site,
    record: &Record,
) -> Result<Verdict, String> {
    let received: Result<Vec<Received>, _> = clients.into_iter().map(JoinHandle::join).collect();
    let received = received.map_err(|_| "a client failed".to_owned())?;
    let joined: Vec<&Received> = received.iter().filter(|one| one.versions.len() > 1).collect();
    for one in &joined {
        let Received { id, versions, is_complete, .. } = one;
        record.add(format!("stream {id} is joined of {versions:?}, complete={is_complete}"));
    }
    let complete = received.iter().filter(|one| one.is_complete).count();
    let disordered = received.iter().filter(|one| one.is_out_of_order).count();
    let new_runs: usize = new.iter().map(|engine| engine.runs().len()).sum();
    let old_runs: usize = site.old.iter().map(|engine| engine.runs().len()).sum();
    if new_runs <= MAX_JOINED {
        return Err(format!("only {new_runs} streams began at the new version"));
    }
    let line = format!(
        "{} of {} streams hold events of two versions ({complete} complete, {disordered} out of order; \
         runs: {new_runs} at v2, {old_runs} at v1)",
        joined.len(),
        received.len()
    );
    Ok(if joined.len() > MAX_JOINED { Verdict::Broken(line) } else { Verdict::Held(line) })
}
