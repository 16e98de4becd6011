//! Placement against fake engines whose concurrent loads slow each other down.

use crate::proptest_config;
use coriandertide::decision::leases::HeldLease;
use coriandertide::decision::placement::{
    PlacementCommand, PlacementEvent, PlacementSettings, PlacementState,
};
use coriandertide::document::{Document, RawDocument};
use coriandertide::ports::{EngineOrderKind, LoadReport, LoadedModel, OrderOutcome};
use coriandertide::types::{ModelId, ServerId};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEP_MS: u64 = 50;
/// Milliseconds that a load takes while at most two run; more of them share the bandwidth of the
/// store.
const LOAD_MS: f64 = 450.0;

#[derive(Clone, Debug)]
struct Shape {
    servers: usize,
    model_slots: u32,
    models: Vec<(u32, u32)>,
}

fn document(shape: &Shape) -> Arc<Document> {
    let servers: BTreeMap<String, _> = (0..shape.servers)
        .map(|index| {
            let server = serde_json::json!({
                "address": format!("127.0.0.1:{}", 9_000 + index),
                "availability_zone": (["couva", "marabella"][index % 2]),
                "concurrent_requests": 8, "idle_watts": 0, "request_watts": 1,
                "model_slots": shape.model_slots, "checks_fencing": index % 2 == 0,
            });
            (format!("server-{index:02}"), server)
        })
        .collect();
    let models: BTreeMap<String, _> = shape
        .models
        .iter()
        .enumerate()
        .map(|(index, (version, least_servers))| {
            let model = serde_json::json!({
                "weights_version": version.to_string(), "least_servers": least_servers,
            });
            (format!("model-{index}"), model)
        })
        .collect();
    let site = serde_json::json!({ "budget_watts": 1_000, "max_nodes": 8 });
    let raw = serde_json::json!({ "servers": servers, "models": models, "site": site });
    let raw: RawDocument = serde_json::from_value(raw).unwrap();
    Arc::new(Document::try_from(raw).unwrap())
}

#[derive(Clone, Default)]
struct Engine {
    models: Vec<LoadedModel>,
    loading: Vec<LoadedModel>,
    remaining_ms: f64,
}

/// Simulated engines and the placement state of the lease holder.
struct World {
    epoch: Instant,
    now_ms: u64,
    document: Arc<Document>,
    state: PlacementState,
    engines: BTreeMap<ServerId, Engine>,
    peak_loads: usize,
    orders: usize,
    loading_ms: u64,
}

impl World {
    fn new(shape: &Shape, max_concurrent_loads: usize) -> Self {
        let settings = PlacementSettings { max_concurrent_loads, ..PlacementSettings::default() };
        let document = document(shape);
        let engines = document.servers.keys().map(|name| (name.clone(), Engine::default()));
        let mut world = Self {
            epoch: Instant::now(),
            now_ms: 0,
            engines: engines.collect(),
            document: Arc::clone(&document),
            state: PlacementState::new(settings),
            peak_loads: 0,
            orders: 0,
            loading_ms: 0,
        };
        world.edit(document);
        world
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn edit(&mut self, document: Arc<Document>) {
        self.document = Arc::clone(&document);
        self.state.apply(PlacementEvent::Document(document), self.now());
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let loads = self.engines.values().filter(|engine| !engine.loading.is_empty()).count();
        self.peak_loads = self.peak_loads.max(loads);
        self.loading_ms += loads as u64 * STEP_MS;
        let speed = 1.0 / (loads as f64 / 2.0).max(1.0);
        for engine in self.engines.values_mut().filter(|engine| !engine.loading.is_empty()) {
            engine.remaining_ms -= STEP_MS as f64 * speed;
            if engine.remaining_ms <= 0.0 {
                engine.models = std::mem::take(&mut engine.loading);
            }
        }
        let held = HeldLease {
            fencing_number: 1,
            deadline: self.now() + Duration::from_secs(10),
            unfenced_orders_allowed_at: self.epoch,
        };
        for command in self.state.apply(PlacementEvent::Tick(Some(held)), self.now()) {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: PlacementCommand) {
        let now = self.now();
        match command {
            PlacementCommand::Poll { server, .. } => {
                let engine = &self.engines[&server];
                let report = LoadReport {
                    incarnation: 1,
                    running_requests: 0,
                    waiting_requests: 0,
                    waiting_prompt_tokens: 0,
                    models: engine.models.clone(),
                    loading: engine.loading.clone(),
                    leaving: false,
                    fencing_number: 1,
                    next_event: 0,
                };
                let event = PlacementEvent::Report { server, report, polled_at: now };
                self.state.apply(event, now);
            }
            PlacementCommand::Order { server, order, .. } => {
                self.orders += 1;
                let EngineOrderKind::ServeModels { models } = order.kind;
                let slots = self.document.servers[&server].model_slots as usize;
                assert!(models.len() <= slots, "{server} is ordered {models:?}");
                let engine = self.engines.get_mut(&server).unwrap();
                let is_loaded = models.iter().all(|model| engine.models.contains(model));
                // An engine does not serve a model while it reloads or replaces it.
                engine.models.retain(|model| models.contains(model));
                if !is_loaded {
                    engine.loading = models;
                    engine.remaining_ms = LOAD_MS;
                }
                let outcome = OrderOutcome::Accepted;
                let event = PlacementEvent::OrderAnswered { server, fencing_number: 1, outcome };
                self.state.apply(event, now);
            }
        }
    }

    fn serving(&self, model: &ModelId) -> usize {
        let serves = |engine: &&Engine| engine.models.iter().any(|loaded| loaded.model == *model);
        self.engines.values().filter(serves).count()
    }

    fn is_settled(&self) -> bool {
        self.document.models.iter().all(|(name, model)| {
            let current = |engine: &&Engine| {
                let mut same = engine.models.iter().filter(|loaded| loaded.model == *name);
                same.all(|loaded| loaded.weights_version == model.weights_version)
            };
            self.serving(name) >= model.least_servers as usize
                && self.engines.values().filter(current).count() == self.engines.len()
        })
    }

    fn settle(&mut self) -> Option<u64> {
        let started_at_ms = self.now_ms;
        for _ in 0..4_000 {
            self.step();
            if self.is_settled() {
                return Some(self.now_ms - started_at_ms);
            }
        }
        None
    }
}

fn shape() -> impl Strategy<Value = Shape> {
    (2..10usize, 1..4u32, prop::collection::vec((1..3u32, 1..3u32), 1..5))
        .prop_map(|(servers, model_slots, models)| Shape { servers, model_slots, models })
        .prop_filter("the models fit", |shape| {
            let total_servers: u32 = shape.models.iter().map(|(_, min_servers)| min_servers).sum();
            let max_servers =
                shape.models.iter().map(|(_, min_servers)| *min_servers as usize).max();
            max_servers <= Some(shape.servers)
                && total_servers <= shape.servers as u32 * shape.model_slots / 2
        })
}

proptest! {
    #![proptest_config(proptest_config(53))]

    /// Every model reaches its minimum number of servers, at most two servers load at once, a model
    /// with two servers always keeps one while its weights change, and a settled site gets no
    /// further orders.
    #[test]
    fn placement_settles(shape in shape(), versions in prop::collection::vec(1..4u32, 4)) {
        let mut world = World::new(&shape, 2);
        prop_assert!(world.settle().is_some(), "{shape:?}");
        let mut edited = shape.clone();
        for (model, version) in edited.models.iter_mut().zip(&versions) {
            model.0 = *version;
        }
        let redundant: Vec<ModelId> = world
            .document
            .models
            .keys()
            .filter(|model| world.serving(model) >= 2)
            .cloned()
            .collect();
        world.edit(document(&edited));
        for _ in 0..4_000 {
            world.step();
            for model in &redundant {
                prop_assert!(world.serving(model) > 0, "{model} has no server");
            }
            if world.is_settled() {
                break;
            }
        }
        prop_assert!(world.is_settled());
        prop_assert!(world.peak_loads <= 2, "{} loads at once", world.peak_loads);
        (0..100).for_each(|_| world.step());
        let orders = world.orders;
        (0..400).for_each(|_| world.step());
        prop_assert_eq!(world.orders, orders);
    }
}

#[test]
fn demand_adds_servers_and_low_demand_keeps_them_for_a_while() {
    let shape = Shape { servers: 6, model_slots: 1, models: vec![(1, 1), (1, 1)] };
    let mut world = World::new(&shape, 2);
    world.settle().unwrap();
    let model = ModelId::from("model-0");
    let mut counts = vec![world.serving(&model)];
    for second in 0..120 {
        let decode_ms = if second < 60 { 22_500 } else { 0 };
        let event = PlacementEvent::AnswerCompleted {
            model: model.clone(),
            prefilled_tokens: 0,
            decode_ms,
        };
        world.state.apply(event, world.now());
        (0..20).for_each(|_| world.step());
        counts.push(world.serving(&model));
    }
    counts.dedup();
    insta::assert_snapshot!(format!("{counts:?} orders={}", world.orders), @"[1, 2, 3, 4] orders=5");
}

/// Time to update twelve servers to new weights, and the total time that they spend loading.
#[test]
fn two_loads_at_once_beat_one_and_four() {
    let shape = Shape { servers: 12, model_slots: 1, models: vec![(1, 12)] };
    let edited = Shape { models: vec![(2, 12)], ..shape.clone() };
    let figures: Vec<String> = [1, 2, 4]
        .into_iter()
        .map(|max_concurrent_loads| {
            let mut world = World::new(&shape, max_concurrent_loads);
            world.settle().unwrap();
            world.loading_ms = 0;
            world.edit(document(&edited));
            let settled_ms = world.settle().unwrap();
            format!(
                "{max_concurrent_loads} at once: {settled_ms} ms, {} ms loading",
                world.loading_ms
            )
        })
        .collect();
    insta::assert_snapshot!(figures.join("\n"), @r"
    1 at once: 6000 ms, 5400 ms loading
    2 at once: 3000 ms, 5400 ms loading
    4 at once: 2850 ms, 10200 ms loading
    ");
}
