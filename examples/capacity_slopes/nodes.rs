//! Costs of running nodes without traffic: CPU time, link bytes and memory, by nodes.

use crate::fit::{Point, Slope};
use crate::resource_usage::allocated_bytes;
use coriandertide::adapters::http_client::send;
use coriandertide::daemon::Node;
use coriandertide::decision::configuration::ConfigurationRecord;
use coriandertide::document::RawDocument;
use coriandertide::settings::{RawSettings, Settings};
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::{
    EngineConfig, EngineStandIn, InstanceListConfig, InstanceListStandIn, LogServiceConfig,
    LogServiceStandIn, ServedModel,
};
use http::Request;
use serde_json::{Map, Value, json};
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

/// Measured numbers of nodes.
const SIZES: [usize; 3] = [2, 5, 9];
/// Model engines of the site.
const ENGINES: usize = 12;
/// Time after the start until links are open and power shares are allocated.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Duration of a measurement.
const MEASURE_PERIOD: Duration = Duration::from_secs(6);
/// Timeout of reading the metrics of a node.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Costs of running nodes without traffic.
pub struct NodeCosts {
    /// CPU time of the control thread, in microseconds per second, by nodes.
    pub control_us_per_s: Slope,
    /// Bytes sent and received on partner links per second, by nodes.
    pub link_bytes_per_s: Slope,
    /// Bytes of memory of a node, by nodes.
    pub memory_bytes: Slope,
}

/// Mean costs of a node in a site of one size.
struct NodeCost {
    control_us_per_s: f64,
    link_bytes_per_s: f64,
    memory_bytes: f64,
}

/// Measures nodes that run in this process.
pub fn measure() -> anyhow::Result<NodeCosts> {
    let mut control_points = Vec::new();
    let mut link_points = Vec::new();
    let mut memory_points = Vec::new();
    for nodes in SIZES {
        let cost = measure_site(nodes)?;
        let size = nodes as f64;
        control_points.push(Point { size, cost: cost.control_us_per_s });
        link_points.push(Point { size, cost: cost.link_bytes_per_s });
        memory_points.push(Point { size, cost: cost.memory_bytes });
    }
    Ok(NodeCosts {
        control_us_per_s: Slope::fit("node: control us a second, by nodes", control_points),
        link_bytes_per_s: Slope::fit("node: link bytes a second, by nodes", link_points),
        memory_bytes: Slope::fit("node: bytes of memory, by nodes", memory_points),
    })
}

fn measure_site(size: usize) -> anyhow::Result<NodeCost> {
    let log = LogServiceStandIn::start(LogServiceConfig::default())?;
    let list = InstanceListStandIn::start(InstanceListConfig::default())?;
    let engines = (0..ENGINES).map(start_engine).collect::<anyhow::Result<Vec<_>>>()?;
    let raw: RawDocument = serde_json::from_value(document(&engines))?;
    log.append("configuration", ConfigurationRecord::initial(raw).encode());
    let memory_before_bytes = allocated_bytes();
    let nodes = (0..size)
        .map(|number| start_node(number, &log, &list))
        .collect::<anyhow::Result<Vec<_>>>()?;
    thread::sleep(SETTLE_TIME);
    let (cpu_before_us, bytes_before) = (control_us()?, link_bytes(&nodes)?);
    let started_at = Instant::now();
    thread::sleep(MEASURE_PERIOD);
    let memory_growth_bytes = allocated_bytes().saturating_sub(memory_before_bytes);
    let (cpu_us, bytes) = (control_us()? - cpu_before_us, link_bytes(&nodes)? - bytes_before);
    let node_seconds = started_at.elapsed().as_secs_f64() * size as f64;
    nodes.into_iter().for_each(Node::kill);
    Ok(NodeCost {
        control_us_per_s: cpu_us / node_seconds,
        link_bytes_per_s: bytes / node_seconds,
        memory_bytes: memory_growth_bytes as f64 / size as f64,
    })
}

fn start_engine(number: usize) -> anyhow::Result<EngineStandIn> {
    EngineStandIn::start(EngineConfig {
        name: format!("engine-{number:02}"),
        models: vec![ServedModel { model: "m".into(), weights_version: "1".into() }],
        ..EngineConfig::default()
    })
}

fn document(engines: &[EngineStandIn]) -> Value {
    let servers: Map<String, Value> = engines
        .iter()
        .map(|engine| {
            let server = json!({
                "address": engine.address().to_string(),
                "availability_zone": "zone",
                "concurrent_requests": 16,
                "idle_watts": 100,
                "request_watts": 20,
            });
            (engine.config().name.clone(), server)
        })
        .collect();
    json!({
        "models": { "m": {} },
        "servers": servers,
        "site": { "budget_watts": 10_000, "max_nodes": 16 },
    })
}

fn start_node(
    number: usize,
    log: &LogServiceStandIn,
    list: &InstanceListStandIn,
) -> anyhow::Result<Node> {
    let raw: RawSettings = serde_json::from_value(json!({
        "instance_name": format!("entry-{number}"),
        "availability_zone": "zone",
        "listen": { "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "partners": "127.0.0.1:0" },
        "platform": {
            "log": log.address().to_string(),
            "instance_list": list.address().to_string(),
        },
        "partner_key": "a key for measurements",
    }))?;
    let node = Node::start(Settings::try_from(raw)?)?;
    list.put_immediately(Instance {
        name: format!("entry-{number}"),
        kind: "entry".into(),
        address: node.partner_address(),
        availability_zone: "zone".into(),
        state: "live".into(),
    });
    Ok(node)
}

/// Returns the CPU time of all control threads of this process, in microseconds.
fn control_us() -> anyhow::Result<f64> {
    let mut total_ns = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.trim() != "control" {
            continue;
        }
        let times = fs::read_to_string(path.join("schedstat"))?;
        total_ns += times.split_whitespace().next().unwrap_or("0").parse::<f64>()?;
    }
    Ok(total_ns / 1e3)
}

/// Returns the bytes sent and received by all nodes on partner links, from their metrics.
fn link_bytes(nodes: &[Node]) -> anyhow::Result<f64> {
    let mut total = 0.0;
    for node in nodes {
        let request = Request::get("/metrics").header("host", "node").body(Default::default())?;
        let deadline = Instant::now() + METRICS_TIMEOUT;
        let body = smol::block_on(async {
            let mut exchange = send(node.caller_address(), request, deadline).await?;
            exchange.read_all(1 << 20, deadline).await
        })?;
        let text = String::from_utf8_lossy(&body).into_owned();
        total += text
            .lines()
            .filter(|line| line.starts_with("coriandertide_link_") && line.contains("bytes_total"))
            .filter_map(|line| line.split_whitespace().last())
            .filter_map(|value| value.parse::<f64>().ok())
            .sum::<f64>();
    }
    Ok(total)
}
