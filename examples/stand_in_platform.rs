//! Runs a log service, an instance list and two model engines on loopback, to try a node and the
//! command line without a platform.
//!
//! `cargo run --example stand_in_platform -- DIRECTORY` writes matching settings and a document to
//! the directory and exits when its standard input closes.

use coriandertide::document::hash_key;
use coriandertide_standins::{
    EngineConfig, EngineStandIn, InstanceListConfig, InstanceListStandIn, LogServiceConfig,
    LogServiceStandIn, ServedModel,
};
use serde_json::{Map, Value, json};
use std::io::Read;
use std::path::PathBuf;

/// Bearer key of the administrator.
const ADMIN_KEY: &str = "administrator-key";
/// Bearer key of the callers of workspace `survey`.
const CALLER_KEY: &str = "survey-key";
/// Address of the node's administration API.
const ADMIN_ADDRESS: &str = "127.0.0.1:8081";

fn start_engine(name: &str) -> anyhow::Result<EngineStandIn> {
    let model = ServedModel { model: "guide".into(), weights_version: "1".into() };
    EngineStandIn::start(EngineConfig {
        name: name.into(),
        models: vec![model],
        ..EngineConfig::default()
    })
}

fn document(engines: &[EngineStandIn]) -> Value {
    let servers: Map<String, Value> = engines
        .iter()
        .map(|engine| {
            let server = json!({
                "address": engine.address().to_string(),
                "availability_zone": "couva",
                "concurrent_requests": 16,
                "idle_watts": 120,
                "request_watts": 30,
            });
            (engine.config().name.clone(), server)
        })
        .collect();
    json!({
        "owners": {
            "operations": { "key_hashes": [hash_key(ADMIN_KEY)], "role": "administrator" },
        },
        "workspaces": { "survey": { "key_hashes": [hash_key(CALLER_KEY)] } },
        "models": { "guide": { "weights_version": "1" } },
        "servers": servers,
        "site": { "budget_watts": 4_000, "max_nodes": 4 },
    })
}

fn main() -> anyhow::Result<()> {
    let directory = std::env::args_os().nth(1).map(PathBuf::from);
    let directory = directory.ok_or_else(|| anyhow::anyhow!("missing argument: DIRECTORY"))?;
    let log = LogServiceStandIn::start(LogServiceConfig::default())?;
    let list = InstanceListStandIn::start(InstanceListConfig::default())?;
    let engines = [start_engine("gpu-1")?, start_engine("gpu-2")?];
    let settings = json!({
        "instance_name": "entry-1",
        "availability_zone": "couva",
        "listen": {
            "callers": "127.0.0.1:8080", "admin": ADMIN_ADDRESS, "partners": "127.0.0.1:8082",
        },
        "platform": {
            "log": log.address().to_string(), "instance_list": list.address().to_string(),
        },
        "partner_key": "a key for trials only",
        "bootstrap_key_hash": hash_key(ADMIN_KEY),
    });
    std::fs::create_dir_all(&directory)?;
    std::fs::write(directory.join("node.json"), format!("{settings:#}\n"))?;
    std::fs::write(directory.join("document.json"), format!("{:#}\n", document(&engines)))?;
    println!("wrote node.json and document.json in {}", directory.display());
    println!("COT_ADMIN_NODE={ADMIN_ADDRESS} COT_ADMIN_KEY={ADMIN_KEY} caller key {CALLER_KEY}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
