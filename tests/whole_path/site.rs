//! Test site: stand-ins for the platform, the model engines and a plain service.

use coriandertide::daemon::Node;
use coriandertide::decision::configuration::ConfigurationRecord;
use coriandertide::document::RawDocument;
use coriandertide::settings::{RawSettings, Settings};
use coriandertide::traffic::authenticate::hash_key;
use coriandertide_standins::{
    EngineConfig, EngineStandIn, InstanceListConfig, InstanceListStandIn, LogServiceConfig,
    LogServiceStandIn, PlainServiceConfig, PlainServiceStandIn, ServedModel,
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Bearer key of the workspace `survey`.
pub const KEY: &str = "survey-key";

/// Timeout of waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Running site.
pub struct Site {
    pub log: LogServiceStandIn,
    pub list: InstanceListStandIn,
    pub engines: Vec<EngineStandIn>,
    pub service: PlainServiceStandIn,
}

impl Site {
    /// Starts the stand-ins with two engines and appends the first document.
    pub fn start() -> Self {
        Self::start_with(2, |_config| {})
    }

    /// Starts the stand-ins with `engines` engines, whose configurations `adjust` may change.
    pub fn start_with(engines: usize, adjust: impl Fn(&mut EngineConfig)) -> Self {
        coriandertide::logging::init();
        let engine = |number: usize| {
            let mut config = EngineConfig {
                name: format!("engine-{number}"),
                models: vec![ServedModel {
                    model: String::from("small"),
                    weights_version: String::from("1"),
                }],
                decode_tokens_per_s: 2_000,
                tokens_per_frame: 1,
                ..EngineConfig::default()
            };
            adjust(&mut config);
            EngineStandIn::start(config).unwrap()
        };
        let site = Self {
            log: LogServiceStandIn::start(LogServiceConfig::default()).unwrap(),
            list: InstanceListStandIn::start(InstanceListConfig::default()).unwrap(),
            engines: (0..engines).map(engine).collect(),
            service: PlainServiceStandIn::start(PlainServiceConfig::default()).unwrap(),
        };
        let raw: RawDocument = serde_json::from_value(site.document()).unwrap();
        site.log.append("configuration", ConfigurationRecord::initial(raw).encode());
        site
    }

    fn document(&self) -> Value {
        let servers: serde_json::Map<String, Value> = self
            .engines
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
            "workspaces": { "survey": { "key_hashes": [hash_key(KEY)] } },
            "models": { "small": {} },
            "servers": servers,
            "services": { "tally": {
                "servers": {
                    "tally-0": {
                        "address": self.service.address().to_string(),
                        "availability_zone": "zone",
                    },
                    "tally-1": {
                        "address": self.service.address().to_string(),
                        "availability_zone": "other-zone",
                    },
                },
                "non_idempotent": [{ "method": "POST", "path_prefix": "/records" }],
            } },
            "site": { "budget_watts": 1_000, "max_nodes": 4 },
        })
    }

    /// Starts a node and waits until it is ready.
    pub fn start_node(&self) -> Node {
        let settings = Settings::try_from(self.raw_settings()).unwrap();
        let node = Node::start(settings).unwrap();
        super::caller::wait_ready(node.caller_address(), Instant::now() + WAIT_TIMEOUT);
        node
    }

    pub fn raw_settings(&self) -> RawSettings {
        serde_json::from_value(json!({
            "instance_name": "entry",
            "availability_zone": "zone",
            "listen": { "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "partners": "127.0.0.1:0" },
            "platform": {
                "log": self.log.address().to_string(),
                "instance_list": self.list.address().to_string(),
            },
            "partner_key": "a key for tests only",
            "limits": { "body_bytes": 65_536, "drain_grace_ms": 10 },
            "control": { "log_period_ms": 20 },
        }))
        .unwrap()
    }

    /// Waits until an engine runs a request, and returns it.
    pub fn busy_engine(&self) -> &EngineStandIn {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(engine) = self.engines.iter().find(|engine| engine.running_requests() > 0) {
                return engine;
            }
            assert!(Instant::now() < deadline, "no engine runs a request");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
