//! Measures the time until an edit is in force on all nodes, the bytes that idle nodes spend on
//! reading the log, and the restart time of a node with a document of 810 workspaces.
//!
//! All nodes run in this process and use one log stand-in on loopback:
//! `cargo run --release --example configuration_in_force`.

use coriandertide::admin::messages::EditReply;
use coriandertide::cli::AdminClient;
use coriandertide::daemon::Node;
use coriandertide::decision::configuration::{
    ConfigurationFollower, ConfigurationRecord, Edit, EditRequest, SectionChange, Snapshot,
};
use coriandertide::document::{RawDocument, hash_key};
use coriandertide::settings::{RawSettings, Settings};
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::{
    InstanceListConfig, InstanceListStandIn, LogServiceConfig, LogServiceStandIn,
};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Bearer key of the administrator.
const ADMIN_KEY: &str = "administrator-key";
/// Edits measured for each number of nodes.
const EDITS: u32 = 20;
/// Time over which the bytes of idle nodes are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Workspaces of the document.
const WORKSPACES: u32 = 810;
/// Edits per day at the target size.
const EDITS_PER_DAY: u64 = 2_900;

/// TCP proxy in front of the log that counts the bytes in both directions.
struct CountingProxy {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingProxy {
    fn start(log: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&bytes);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(log) else { continue };
                let (Ok(from), Ok(to)) = (stream.try_clone(), upstream.try_clone()) else {
                    continue;
                };
                forward(from, to, Arc::clone(&counter));
                forward(upstream, stream, Arc::clone(&counter));
            }
        });
        Ok(Self { address, bytes })
    }
}

/// Copies one direction of a connection on a thread of its own.
fn forward(mut from: TcpStream, mut to: TcpStream, counter: Arc<AtomicU64>) {
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            counter.fetch_add(length as u64, Ordering::Relaxed);
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

fn document() -> anyhow::Result<RawDocument> {
    let workspaces: serde_json::Map<String, Value> = (0..WORKSPACES)
        .map(|number| {
            let name = format!("workspace-{number}");
            let workspace = json!({ "key_hashes": [hash_key(&name)], "requests_per_s": 50 });
            (name, workspace)
        })
        .collect();
    Ok(serde_json::from_value(json!({
        "workspaces": workspaces,
        "owners": {
            "operations": { "key_hashes": [hash_key(ADMIN_KEY)], "role": "administrator" },
        },
    }))?)
}

fn start_node(
    log: SocketAddr,
    list: &InstanceListStandIn,
    log_period_ms: u64,
) -> anyhow::Result<Node> {
    let raw: RawSettings = serde_json::from_value(json!({
        "instance_name": "entry",
        "availability_zone": "couva",
        "listen": { "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "partners": "127.0.0.1:0" },
        "platform": { "log": log.to_string(), "instance_list": list.address().to_string() },
        "partner_key": "a key for measurements only",
        "control": { "log_period_ms": log_period_ms },
    }))?;
    let node = Node::start(Settings::try_from(raw)?)?;
    list.put_immediately(Instance {
        name: node.instance().to_string(),
        kind: String::from("entry"),
        address: node.partner_address(),
        availability_zone: String::from("couva"),
        state: String::from("live"),
    });
    Ok(node)
}

/// Blocks until all nodes have document `revision` or a later one in force.
fn wait_for_revision(nodes: &[Node], revision: u64) {
    while nodes.iter().any(|node| node.document_revision() < revision) {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Submits an edit and returns its revision.
fn submit_edit(client: &AdminClient, base_revision: u64, rate: u32) -> anyhow::Result<u64> {
    let change = SectionChange {
        section: "workspaces/workspace-0".into(),
        base_revision,
        value: Some(json!({ "requests_per_s": rate })),
    };
    let edit_id = format!("edit-{rate}").into();
    let request = EditRequest { edit_id, changes: vec![change] };
    let reply: EditReply = smol::block_on(client.post("/admin/v1/edits", &request))
        .map_err(|error| anyhow::anyhow!("{error:?}"))?;
    Ok(reply.revision)
}

fn measure_edits(node_count: usize, log_period_ms: u64) -> anyhow::Result<()> {
    let log = LogServiceStandIn::start(LogServiceConfig::default())?;
    let list = InstanceListStandIn::start(InstanceListConfig::default())?;
    let proxy = CountingProxy::start(log.address())?;
    let mut revision =
        log.append("configuration", ConfigurationRecord::initial(document()?).encode());
    let nodes: Vec<Node> = (0..node_count)
        .map(|_| start_node(proxy.address, &list, log_period_ms))
        .collect::<anyhow::Result<_>>()?;
    wait_for_revision(&nodes, revision);
    let bytes_before = proxy.bytes.load(Ordering::Relaxed);
    thread::sleep(IDLE_PERIOD);
    let idle_bytes = proxy.bytes.load(Ordering::Relaxed) - bytes_before;
    let client = AdminClient::new(nodes[0].admin_address(), ADMIN_KEY);
    let mut times_ms = Vec::new();
    for rate in 1..=EDITS {
        let sent_at = Instant::now();
        revision = submit_edit(&client, revision, rate)?;
        wait_for_revision(&nodes, revision);
        times_ms.push(sent_at.elapsed().as_millis());
    }
    times_ms.sort_unstable();
    println!(
        "nodes={node_count} log_period_ms={log_period_ms} edits={EDITS} median_ms={} max_ms={} idle_bytes_per_node_per_s={:.0}",
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() - 1],
        idle_bytes as f64 / node_count as f64 / IDLE_PERIOD.as_secs_f64()
    );
    nodes.into_iter().for_each(Node::kill);
    Ok(())
}

/// Fills the log with a document, a snapshot and a day of edits, and returns the last revision.
fn fill_log(log: &LogServiceStandIn) -> anyhow::Result<u64> {
    let initial = ConfigurationRecord::initial(document()?).encode();
    let mut revision = log.append("configuration", initial.clone());
    let mut follower = ConfigurationFollower::default();
    let record = coriandertide::ports::LogRecord {
        offset: 1,
        appended_at: std::time::SystemTime::UNIX_EPOCH,
        payload: initial,
    };
    let page =
        coriandertide::ports::LogPage { first_offset: 1, next_offset: 2, records: vec![record] };
    follower.apply(coriandertide::decision::configuration::ConfigurationEvent::LogRead(page));
    let copy =
        follower.partner_copy().ok_or_else(|| anyhow::anyhow!("the follower has no state"))?;
    let snapshot = ConfigurationRecord::Snapshot(Snapshot { state: copy.state.as_ref().clone() });
    let payload = snapshot.encode();
    println!("snapshot_bytes={}", payload.len());
    log.append("configuration", payload);
    for number in 0..EDITS_PER_DAY {
        let edit = Edit {
            edit_id: format!("edit-{number}").into(),
            author: "operations".into(),
            built_by: "0.1.0".into(),
            changes: vec![SectionChange {
                section: "workspaces/workspace-0".into(),
                base_revision: revision,
                value: Some(json!({ "requests_per_s": number + 1 })),
            }],
            requires: Vec::new(),
        };
        revision = log.append("configuration", ConfigurationRecord::Edit(edit).encode());
    }
    Ok(revision)
}

fn measure_restart() -> anyhow::Result<()> {
    let log = LogServiceStandIn::start(LogServiceConfig::default())?;
    let list = InstanceListStandIn::start(InstanceListConfig::default())?;
    let revision = fill_log(&log)?;
    for _ in 0..5 {
        let started_at = Instant::now();
        let node = start_node(log.address(), &list, 250)?;
        wait_for_revision(std::slice::from_ref(&node), 1);
        let first_ms = started_at.elapsed().as_millis();
        wait_for_revision(std::slice::from_ref(&node), revision);
        println!(
            "restart workspaces={WORKSPACES} edits={EDITS_PER_DAY} first_document_ms={first_ms} \
             latest_document_ms={}",
            started_at.elapsed().as_millis()
        );
        node.kill();
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    for log_period_ms in [250, 5_000] {
        for count in [3, 8, 32] {
            measure_edits(count, log_period_ms)?;
        }
    }
    measure_restart()
}
