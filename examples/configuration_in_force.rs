//! Measures the time from an edit to its being in force on all nodes, the bytes that following the
//! log costs, and the restart of a node with a document of 810 workspaces.
//!
//! All nodes run in this process, in front of one log stand-in on loopback:
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

/// Key of the administrator.
const KEY: &str = "administrator-key";
/// Edits timed for each number of nodes.
const EDITS: u32 = 20;
/// Time over which idle nodes' bytes are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Workspaces of the large document.
const WORKSPACES: u32 = 810;
/// Edits of a day at the target.
const EDITS_A_DAY: u64 = 2_900;

/// Forwards connections to the log and counts the bytes of both directions.
struct CountingProxy {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingProxy {
    fn start(log: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&bytes);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(log) else { continue };
                let (Ok(from), Ok(to)) = (stream.try_clone(), upstream.try_clone()) else {
                    continue;
                };
                forward(from, to, Arc::clone(&counted));
                forward(upstream, stream, Arc::clone(&counted));
            }
        });
        Ok(Self { address, bytes })
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, bytes: Arc<AtomicU64>) {
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            bytes.fetch_add(length as u64, Ordering::Relaxed);
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _closed = to.shutdown(Shutdown::Both);
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
        "owners": { "operations": { "key_hashes": [hash_key(KEY)], "role": "administrator" } },
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

fn wait_for(nodes: &[Node], revision: u64) {
    while nodes.iter().any(|node| node.document_revision() < revision) {
        thread::sleep(Duration::from_millis(1));
    }
}

fn edit(client: &AdminClient, base_revision: u64, rate: u32) -> anyhow::Result<u64> {
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

fn measure_in_force(count: usize, log_period_ms: u64) -> anyhow::Result<()> {
    let log = LogServiceStandIn::start(LogServiceConfig::default())?;
    let list = InstanceListStandIn::start(InstanceListConfig::default())?;
    let proxy = CountingProxy::start(log.address())?;
    let mut revision =
        log.append("configuration", ConfigurationRecord::initial(document()?).encode());
    let nodes: Vec<Node> = (0..count)
        .map(|_| start_node(proxy.address, &list, log_period_ms))
        .collect::<anyhow::Result<_>>()?;
    wait_for(&nodes, revision);
    let bytes_before = proxy.bytes.load(Ordering::Relaxed);
    thread::sleep(IDLE_PERIOD);
    let idle_bytes = proxy.bytes.load(Ordering::Relaxed) - bytes_before;
    let client = AdminClient::new(nodes[0].admin_address(), KEY);
    let mut times_ms = Vec::new();
    for rate in 1..=EDITS {
        let sent_at = Instant::now();
        revision = edit(&client, revision, rate)?;
        wait_for(&nodes, revision);
        times_ms.push(sent_at.elapsed().as_millis());
    }
    times_ms.sort_unstable();
    println!(
        "nodes={count} log_period_ms={log_period_ms} edits={EDITS} median_ms={} max_ms={} idle_bytes_per_node_per_s={:.0}",
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() - 1],
        idle_bytes as f64 / count as f64 / IDLE_PERIOD.as_secs_f64()
    );
    nodes.into_iter().for_each(Node::kill);
    Ok(())
}

/// Fills the log with a day of edits and a snapshot before them, as a restarting node meets it.
fn fill_log(log: &LogServiceStandIn) -> anyhow::Result<u64> {
    let first = ConfigurationRecord::initial(document()?).encode();
    let mut revision = log.append("configuration", first.clone());
    let mut follower = ConfigurationFollower::default();
    let record = coriandertide::ports::LogRecord {
        offset: 1,
        appended_at: std::time::SystemTime::UNIX_EPOCH,
        payload: first,
    };
    let page =
        coriandertide::ports::LogPage { first_offset: 1, next_offset: 2, records: vec![record] };
    follower.apply(coriandertide::decision::configuration::ConfigurationEvent::LogRead(page));
    let copy = follower.partner_copy().ok_or_else(|| anyhow::anyhow!("no state"))?;
    let snapshot = ConfigurationRecord::Snapshot(Snapshot { state: copy.state.as_ref().clone() });
    let payload = snapshot.encode();
    println!("snapshot_bytes={}", payload.len());
    log.append("configuration", payload);
    for number in 0..EDITS_A_DAY {
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
        wait_for(std::slice::from_ref(&node), 1);
        let first_ms = started_at.elapsed().as_millis();
        wait_for(std::slice::from_ref(&node), revision);
        println!(
            "restart workspaces={WORKSPACES} edits={EDITS_A_DAY} first_document_ms={first_ms} \
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
            measure_in_force(count, log_period_ms)?;
        }
    }
    measure_restart()
}
