//! A small deployment: store, nodes, and what clients send.

use crate::engine::MODEL;
use crate::node::Node;
use crate::store::Store;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "ctnfzs989anu6wsjnban";

/// Temporary folder, removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Result<Self, String> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let name = format!("coriandertide-review-{}-{}", std::process::id(), since.as_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs: {}", self.0.display());
            return;
        }
        drop(std::fs::remove_dir_all(&self.0));
    }
}

/// Returns a configuration with one route for each kind of request of the deployments.
fn configuration(version: u64) -> String {
    let engine = format!(
        "{{\"Slots\":48,\"KvCapacityTokens\":132676,\"KvTokenBytes\":192512,\"LinkMbps\":740000.0,\
         \"Moves\":true,\"Backups\":true,\"Stride\":4,\"MaxInFlight\":12,\"PinMs\":4000.0,\
         \"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{{\"Name\":\"{MODEL}\"}}]}}"
    );
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u64,
                 service: &str,
                 attempts: u32| {
        let is_stream = kind == "streaming";
        format!(
            "{{\"Name\":\"{name}\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout},\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\"{service}\",\
             \"MaxAttempts\":{attempts},\"Public\":false,\"SessionAffinity\":{is_stream},\
             \"Resumable\":{is_stream},\"GapAimMs\":250}}"
        )
    };
    let routes = [
        route("r-note", "/note/", "streaming", 15_000, "models", 2),
        route("r-book", "/book/", "unsafe", 3_000, "desk", 2),
        route("r-look", "/look/", "safe", 3_000, "desk", 2),
    ];
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"models\",\"HealthCheckPath\":\"/healthz\",\"MaxConnections\":300,\"Protocol\":\"h1\",\
         \"Tls\":false,\"Engine\":{engine}}},\
         {{\"Name\":\"desk\",\"HealthCheckPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"sese880\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\
         \"Isolated\":false}}]}}",
        routes.join(",")
    )
}

/// Starts a store with a configuration, and `count` nodes in zones of their own, which are not started
/// before servers have registered.
pub fn prepare(folder: &Path, count: usize) -> (Store, Vec<Node>) {
    let store = Store::start();
    store.put("keyed.op", "config", &configuration(1));
    store.put(
        "keyed.op",
        &format!("version/{MODEL}"),
        &format!("{{\"Model\":\"{MODEL}\",\"Version\":1}}"),
    );
    let mut nodes: Vec<Node> =
        (1..=count).map(|number| Node::new(folder, number, store.address)).collect();
    let seeds: Vec<_> = nodes.iter().take(3).map(|node| node.ports.partners).collect();
    for node in &mut nodes {
        node.set_seeds(seeds.clone());
        node.set_store(store.another_address());
    }
    (store, nodes)
}
