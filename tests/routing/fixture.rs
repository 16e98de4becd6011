//! Documents, requests and load reports for the tests.

use coriandertide::decision::routing::{
    AnswerFeedback, AnswerTiming, Expectation, PrefixLevel, PrefixScope, RouteDecision, RouteQuery,
    RoutingConfig, RoutingEvent, RoutingPolicy, RoutingState, SentRequest, prompt_levels,
};
use coriandertide::document::Document;
use coriandertide::ports::{LoadReport, LoadedModel};
use coriandertide::types::{ModelId, ServerId};
use serde_json::json;
use smol_str::format_smolstr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Model of the tests.
pub const MODEL: &str = "manuals";

/// Returns the name of a server.
pub fn server(number: usize) -> ServerId {
    format_smolstr!("server-{number:03}")
}

/// Returns a document with `servers` servers in two zones.
pub fn document(servers: usize) -> Arc<Document> {
    let servers = (0..servers).map(|number| {
        let zone = if number.is_multiple_of(2) { "norte" } else { "sur" };
        let value = json!({
            "address": format!("127.0.0.1:{}", 10_000 + number),
            "availability_zone": zone,
            "concurrent_requests": 8,
            "idle_watts": 1,
            "request_watts": 1,
        });
        (server(number).to_string(), value)
    });
    let servers: serde_json::Map<String, serde_json::Value> = servers.collect();
    let raw = json!({
        "workspaces": {"survey": {}, "pickup": {}},
        "models": {MODEL: {}, "notes": {}},
        "servers": servers,
        "site": {"budget_watts": 1_000, "max_nodes": 8,
                 "zone_links": [{"from": "norte", "to": "sur", "delay_us": 4_000}]},
    });
    let raw: coriandertide::document::RawDocument = serde_json::from_value(raw).unwrap();
    Arc::new(Document::try_from(raw).unwrap())
}

/// Returns the prefix levels of a request about `manual`.
pub fn levels(
    workspace: &str,
    weights_version: &str,
    manual: &str,
    question: &str,
) -> Vec<PrefixLevel> {
    let scope = PrefixScope {
        workspace: &workspace.into(),
        model: &ModelId::new_static(MODEL),
        weights_version: &weights_version.into(),
    };
    let body = json!({"messages": [
        {"role": "system", "content": "company rules ".repeat(80)},
        {"role": "user", "content": manual.repeat(8_000 / manual.len())},
        {"role": "user", "content": question},
    ]});
    prompt_levels(scope, &body)
}

/// Returns the route query of a request with the prefix levels `levels`.
pub fn query(request: &str, levels: &[PrefixLevel]) -> RouteQuery {
    RouteQuery {
        request: request.into(),
        workspace: "survey".into(),
        model: ModelId::new_static(MODEL),
        levels: levels.to_vec(),
        excluded: Vec::new(),
    }
}

/// Returns the load report of an idle engine.
pub fn idle_report(incarnation: u64) -> LoadReport {
    let loaded = |model: &'static str| LoadedModel {
        model: ModelId::new_static(model),
        weights_version: "1".into(),
        adapters: Vec::new(),
    };
    LoadReport {
        incarnation,
        running_requests: 0,
        waiting_requests: 0,
        waiting_prompt_tokens: 0,
        models: vec![loaded(MODEL), loaded("notes")],
        loading: Vec::new(),
        leaving: false,
        fencing_number: 0,
        next_event: 0,
    }
}

/// Routing state of a node, with its virtual clock.
pub struct Node {
    pub state: RoutingState,
    pub now: Instant,
}

impl Node {
    /// Returns a node with the document and no load reports.
    pub fn new(servers: usize) -> Self {
        Self::with_policy(servers, RoutingPolicy::Coriandertide)
    }

    /// Returns a node with `policy`, the document and no load reports.
    pub fn with_policy(servers: usize, policy: RoutingPolicy) -> Self {
        let state = RoutingState::new(policy, "norte".into(), RoutingConfig::default());
        let mut node = Self { state, now: Instant::now() };
        node.apply(RoutingEvent::Document(document(servers)));
        node
    }

    /// Returns a node with a load report of each server in incarnation 1.
    pub fn reported(servers: usize) -> Self {
        let mut node = Self::new(servers);
        for number in 0..servers {
            node.report(number, idle_report(1));
        }
        node
    }

    pub fn apply(&mut self, event: RoutingEvent) {
        self.state.apply(event, self.now);
    }

    pub fn advance(&mut self, period: Duration) {
        self.now += period;
    }

    pub fn report(&mut self, number: usize, report: LoadReport) {
        let event = RoutingEvent::Load { server: server(number), report, requested_at: self.now };
        self.apply(event);
    }

    pub fn route(&self, request: &str, levels: &[PrefixLevel]) -> RouteDecision {
        self.state.view().route(&query(request, levels), self.now).unwrap()
    }

    pub fn sent(&mut self, server: &ServerId, levels: &[PrefixLevel]) {
        self.apply(RoutingEvent::Sent(SentRequest {
            server: server.clone(),
            runner_up: None,
            levels: levels.to_vec(),
        }));
    }

    /// Applies an answer whose first token was received `time_to_first_token` after the request was
    /// sent.
    pub fn answer(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        levels: &[PrefixLevel],
        cached_tokens: u32,
        time_to_first_token: Duration,
    ) {
        let timing = AnswerTiming {
            sent_at: self.now - time_to_first_token,
            first_token_at: self.now,
            ended_at: self.now,
            expectation: Expectation::default(),
        };
        self.apply(RoutingEvent::Answer(AnswerFeedback {
            server: server.clone(),
            incarnation,
            model: ModelId::new_static(MODEL),
            workspace: "survey".into(),
            levels: levels.to_vec(),
            prompt_tokens: levels.last().map_or(0, |level| level.tokens),
            cached_tokens,
            timing: Some(timing),
        }));
    }
}
