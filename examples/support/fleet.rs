//! Routing state at the target fleet size, shared by a benchmark and the capacity measurement.

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

/// Backend servers of the target fleet.
const SERVERS: usize = 620;
/// Models of the target fleet.
const MODELS: usize = 19;
/// Workspaces of the target fleet.
const WORKSPACES: usize = 810;
/// Nodes of the target fleet.
const NODES: u32 = 370;
/// Cached prefixes known to a node of the target fleet.
pub const KNOWN_PREFIXES: usize = 100_000;
/// Prefix levels of each request.
const LEVELS_PER_REQUEST: usize = 3;
/// Servers that cache each prefix.
const SERVERS_PER_PREFIX: usize = 2;

/// Size of the fleet that a node routes to.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Backend servers.
    pub servers: usize,
    /// Cached prefixes known to the node.
    pub prefixes: usize,
}

impl FleetSize {
    /// Target size.
    pub const TARGET: Self = Self { servers: SERVERS, prefixes: KNOWN_PREFIXES };
}

/// Routing state of a node, filled to a given fleet size.
pub struct FleetState {
    /// Routing state.
    pub state: RoutingState,
    /// Time at which all events were applied.
    pub now: Instant,
}

impl FleetState {
    /// Returns a state with a load report of each server, and with requests sent so that each
    /// prefix is cached on [`SERVERS_PER_PREFIX`] servers.
    pub fn new(policy: RoutingPolicy, size: FleetSize) -> Self {
        let state = RoutingState::new(policy, "zone-0".into(), RoutingConfig::default());
        let mut fleet = Self { state, now: Instant::now() };
        fleet.apply(RoutingEvent::Document(Arc::new(document(size.servers))));
        fleet.apply(RoutingEvent::LiveNodes(NODES));
        for number in 0..size.servers {
            let (id, requested_at) = (server_id(number), fleet.now);
            fleet.apply(RoutingEvent::Load {
                server: id,
                report: load_report(number),
                requested_at,
            });
        }
        for number in (0..size.prefixes).step_by(LEVELS_PER_REQUEST) {
            for holder in 0..SERVERS_PER_PREFIX {
                let levels = prefix_levels(number);
                let server = server_id(number % MODELS + MODELS * holder);
                fleet.apply(RoutingEvent::Sent(SentRequest { server, runner_up: None, levels }));
            }
        }
        fleet
    }

    fn apply(&mut self, event: RoutingEvent) {
        self.state.apply(event, self.now);
    }
}

/// Returns a route query whose prefixes are known to a state with more than `number` prefixes.
pub fn route_query(number: usize) -> RouteQuery {
    let number = number - number % LEVELS_PER_REQUEST;
    RouteQuery {
        request: format_smolstr!("request-{number}"),
        workspace: format_smolstr!("workspace-{}", number % WORKSPACES),
        model: model_id(number % MODELS),
        levels: prefix_levels(number),
        excluded: Vec::new(),
    }
}

/// Returns the ID of server `number`, modulo the size of the target fleet.
pub fn server_id(number: usize) -> ServerId {
    format_smolstr!("server-{:03}", number % SERVERS)
}

fn model_id(number: usize) -> ModelId {
    format_smolstr!("model-{number:02}")
}

fn prefix_levels(number: usize) -> Vec<PrefixLevel> {
    (0..LEVELS_PER_REQUEST)
        .map(|level| PrefixLevel {
            key: ((number + level) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            bytes: 8_000 * (level as u32 + 1),
            tokens: 2_000 * (level as u32 + 1),
            is_anchor: level == 1,
        })
        .collect()
}

/// Returns a load report of server `number`, with one loaded model.
pub fn load_report(number: usize) -> LoadReport {
    LoadReport {
        incarnation: 1,
        running_requests: (number % 9) as u32,
        waiting_requests: 0,
        waiting_prompt_tokens: 0,
        models: vec![LoadedModel {
            model: model_id(number % MODELS),
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
    let server_entry = |number: usize| {
        let value = json!({
            "address": format!("127.0.0.1:{}", 10_000 + number),
            "availability_zone": format!("zone-{}", number % 6),
            "concurrent_requests": 8,
            "idle_watts": 1,
            "request_watts": 1,
        });
        (format!("server-{number:03}"), value)
    };
    let empty_sections = |name: &str, count: usize, width: usize| -> Map<String, Value> {
        (0..count).map(|number| (format!("{name}-{number:0width$}"), json!({}))).collect()
    };
    let raw = json!({
        "workspaces": empty_sections("workspace", WORKSPACES, 1),
        "models": empty_sections("model", MODELS, 2),
        "servers": (0..servers).map(server_entry).collect::<Map<String, Value>>(),
        "site": {"budget_watts": 10_000, "max_nodes": NODES},
    });
    let raw: RawDocument =
        serde_json::from_value(raw).expect("the JSON deserializes as a raw document");
    Document::try_from(raw).expect("the document is valid")
}
