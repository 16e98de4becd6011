//! Routing state at the target's size, for the bench and the memory measurement.

use coriandertide::decision::routing::{
    PrefixLevel, RouteQuery, RoutingConfig, RoutingEvent, RoutingPolicy, RoutingState, SentRequest,
};
use coriandertide::document::{Document, RawDocument};
use coriandertide::ports::{LoadReport, LoadedModel};
use coriandertide::types::{ModelId, ServerId};
use serde_json::{Map, Value, json};
use smol_str::format_smolstr;
use std::sync::Arc;
use std::time::Instant;

/// Backend servers.
const SERVERS: usize = 620;
/// Models.
const MODELS: usize = 19;
/// Workspaces.
const WORKSPACES: usize = 810;
/// Nodes.
const NODES: u32 = 370;
/// Prefixes known to the state.
pub const KNOWN_PREFIXES: usize = 100_000;
/// Levels of each request.
const LEVELS: usize = 3;
/// Servers that hold each prefix.
const HOLDERS: usize = 2;

/// Size of the fleet before a node.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Backend servers.
    pub servers: usize,
    /// Prefixes known to the node.
    pub prefixes: usize,
}

impl FleetSize {
    /// Size of the target.
    pub const TARGET: Self = Self { servers: SERVERS, prefixes: KNOWN_PREFIXES };
}

/// State of a node at the target's size.
pub struct TargetFleet {
    /// State.
    pub state: RoutingState,
    /// Time of the last event.
    pub now: Instant,
}

impl TargetFleet {
    /// Returns a state that knows all servers and prefixes.
    pub fn new(policy: RoutingPolicy, size: FleetSize) -> Self {
        let state = RoutingState::new(policy, "zone-0".into(), RoutingConfig::default());
        let mut fleet = Self { state, now: Instant::now() };
        fleet.apply(RoutingEvent::Document(Arc::new(document(size.servers))));
        fleet.apply(RoutingEvent::LiveNodes(NODES));
        for number in 0..size.servers {
            let (id, requested_at) = (server(number), fleet.now);
            fleet.apply(RoutingEvent::Load { server: id, report: report(number), requested_at });
        }
        for number in (0..size.prefixes).step_by(LEVELS) {
            for holder in 0..HOLDERS {
                let levels = levels(number);
                let server = server(number % MODELS + MODELS * holder);
                fleet.apply(RoutingEvent::Sent(SentRequest { server, runner_up: None, levels }));
            }
        }
        fleet
    }

    fn apply(&mut self, event: RoutingEvent) {
        self.state.apply(event, self.now);
    }
}

/// Returns a question about known prefixes.
pub fn query(number: usize) -> RouteQuery {
    let number = number - number % LEVELS;
    RouteQuery {
        request: format_smolstr!("request-{number}"),
        workspace: format_smolstr!("workspace-{}", number % WORKSPACES),
        model: model(number % MODELS),
        levels: levels(number),
        excluded: Vec::new(),
    }
}

/// Returns the name of a server.
pub fn server(number: usize) -> ServerId {
    format_smolstr!("server-{:03}", number % SERVERS)
}

fn model(number: usize) -> ModelId {
    format_smolstr!("model-{number:02}")
}

fn levels(number: usize) -> Vec<PrefixLevel> {
    (0..LEVELS)
        .map(|level| PrefixLevel {
            key: ((number + level) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            bytes: 8_000 * (level as u32 + 1),
            tokens: 2_000 * (level as u32 + 1),
            anchor: level == 1,
        })
        .collect()
}

/// Returns a load report of a server.
pub fn report(number: usize) -> LoadReport {
    LoadReport {
        incarnation: 1,
        running_requests: (number % 9) as u32,
        waiting_requests: 0,
        waiting_prompt_tokens: 0,
        models: vec![LoadedModel {
            model: model(number % MODELS),
            weights_version: "1".into(),
            adapters: Vec::new(),
        }],
        loading: Vec::new(),
        leaving: false,
        fencing_number: 0,
        next_event: 0,
    }
}

fn document(servers: usize) -> Document {
    let raw_server = |number: usize| {
        let value = json!({
            "address": format!("127.0.0.1:{}", 10_000 + number),
            "availability_zone": format!("zone-{}", number % 6),
            "concurrent_requests": 8,
            "idle_watts": 1,
            "request_watts": 1,
        });
        (format!("server-{number:03}"), value)
    };
    let named = |name: &str, count: usize, width: usize| -> Map<String, Value> {
        (0..count).map(|number| (format!("{name}-{number:0width$}"), json!({}))).collect()
    };
    let raw = json!({
        "workspaces": named("workspace", WORKSPACES, 1),
        "models": named("model", MODELS, 2),
        "servers": (0..servers).map(raw_server).collect::<Map<String, Value>>(),
        "site": {"budget_watts": 10_000, "max_nodes": NODES},
    });
    let raw: RawDocument = serde_json::from_value(raw).expect("the document has the raw form");
    Document::try_from(raw).expect("the document is valid")
}
