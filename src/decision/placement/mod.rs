//! Placement: which models are served by which servers.
//!
//! The holder of the lease [`crate::decision::leases::LeaseKind::Placement`] gives the orders.
//! Orders state the whole set of models of a server. A server that ignores fencing numbers gets
//! an order only after the wait that the lease asks for and after its state was read since, and
//! its state is read again afterwards.

pub mod demand;
pub mod messages;
pub mod plan;
pub mod settings;

pub use messages::{PlacementCommand, PlacementEvent, PlacementReason, PlannedOrder};
pub use settings::PlacementSettings;

use crate::decision::leases::HeldLease;
use crate::document::{BackendServer, Document};
use crate::ports::{EngineOrder, EngineOrderKind, LoadReport, LoadedModel, OrderOutcome};
use crate::types::{LogOffset, ServerId};
use demand::Demand;
use plan::{ServerView, next_orders};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Failed readings in a row after which a server counts as out of service.
const UNREACHABLE_READS: u32 = 3;

/// Report of a server.
#[derive(Clone, Debug)]
struct ReadReport {
    models: Vec<LoadedModel>,
    is_loading: bool,
    is_leaving: bool,
    polled_at: Instant,
}

/// Order that does not show in the server's report yet.
#[derive(Clone, Debug)]
struct OpenOrder {
    models: Vec<LoadedModel>,
    sent_at: Instant,
    repeat_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct KnownServer {
    report: Option<ReadReport>,
    order: Option<OpenOrder>,
    read_at: Option<Instant>,
    failed_reads: u32,
}

/// State behind placement; every node keeps it, the lease holder acts on it.
#[derive(Clone, Debug)]
pub struct PlacementState {
    settings: PlacementSettings,
    document: Arc<Document>,
    leaving: BTreeSet<ServerId>,
    live_nodes: u32,
    demand: Demand,
    servers: BTreeMap<ServerId, KnownServer>,
    fenced_number: LogOffset,
    acting_under: Option<LogOffset>,
}

impl PlacementState {
    /// Returns the state before any event.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            document: Arc::default(),
            leaving: BTreeSet::new(),
            live_nodes: 1,
            demand: Demand::new(settings),
            servers: BTreeMap::new(),
            fenced_number: 0,
            acting_under: None,
        }
    }

    /// Applies `event` and returns what to do.
    pub fn apply(&mut self, event: PlacementEvent, now: Instant) -> Vec<PlacementCommand> {
        match event {
            PlacementEvent::Document(document) => self.set_document(document),
            PlacementEvent::LeavingServers(servers) => self.leaving = servers,
            PlacementEvent::LiveNodes(live_nodes) => self.live_nodes = live_nodes.max(1),
            PlacementEvent::AnswerCompleted { model, computed_tokens, decode_ms } => {
                self.demand.add(&self.document, &model, computed_tokens, decode_ms, now);
            }
            PlacementEvent::Report { server, report, polled_at } => {
                self.read_report(&server, report, polled_at);
            }
            PlacementEvent::PollFailed { server } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.failed_reads += 1;
                }
            }
            PlacementEvent::OrderAnswered {
                fencing_number, outcome: OrderOutcome::Fenced, ..
            } => {
                self.fenced_number = self.fenced_number.max(fencing_number);
            }
            PlacementEvent::OrderAnswered { .. } => {}
            PlacementEvent::Tick(held) => return self.tick(held, now),
        }
        Vec::new()
    }

    fn set_document(&mut self, document: Arc<Document>) {
        self.servers.retain(|server, _| document.servers.contains_key(server));
        for server in document.servers.keys() {
            self.servers.entry(server.clone()).or_default();
        }
        self.document = document;
    }

    fn read_report(&mut self, server: &ServerId, report: LoadReport, polled_at: Instant) {
        let Some(known) = self.servers.get_mut(server) else { return };
        if known.report.as_ref().is_some_and(|last| polled_at < last.polled_at) {
            return;
        }
        let settled = |order: &mut OpenOrder| {
            polled_at > order.sent_at
                && report.loading.is_empty()
                && same_models(&report.models, &order.models)
        };
        known.order.take_if(settled);
        known.failed_reads = 0;
        known.report = Some(ReadReport {
            is_loading: !report.loading.is_empty(),
            is_leaving: report.leaving,
            models: report.models,
            polled_at,
        });
    }

    fn tick(&mut self, held: Option<HeldLease>, now: Instant) -> Vec<PlacementCommand> {
        let held = held.filter(|held| held.fencing_number > self.fenced_number);
        let number = held.map(|held| held.fencing_number);
        if self.acting_under != number {
            self.acting_under = number;
            self.servers.values_mut().for_each(|known| known.order = None);
        }
        let Some(held) = held else { return Vec::new() };
        for known in self.servers.values_mut() {
            known.order.take_if(|order| now >= order.repeat_at);
        }
        let mut commands = self.orders(held, now);
        commands.extend(self.reads(now));
        commands
    }

    fn orders(&mut self, held: HeldLease, now: Instant) -> Vec<PlacementCommand> {
        let wanted = self.demand.wanted_servers(&self.document, self.live_nodes, now);
        let servers = self
            .document
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), self.view(name, server, held, now)))
            .collect();
        let loading = self.servers.values().filter(|known| known.is_loading()).count();
        let free_loads = self.settings.max_concurrent_loads.saturating_sub(loading);
        if !self.servers.values().all(KnownServer::is_known) {
            return Vec::new();
        }
        let planned = next_orders(&self.document, servers, &wanted, free_loads);
        planned.into_iter().filter_map(|planned| self.open_order(planned, held, now)).collect()
    }

    fn view(
        &self,
        name: &ServerId,
        server: &BackendServer,
        held: HeldLease,
        now: Instant,
    ) -> ServerView {
        let Some(known) = self.servers.get(name) else { return out_of_service() };
        let Some(report) = &known.report else { return out_of_service() };
        let may_order_unfenced = now >= held.unfenced_orders_allowed_at
            && report.polled_at >= held.unfenced_orders_allowed_at;
        let may_order = !known.is_loading() && (server.checks_fencing || may_order_unfenced);
        let models = known.order.as_ref().map_or(&report.models, |order| &order.models);
        ServerView {
            models: models.clone(),
            may_order,
            is_in_service: !known.is_unreachable()
                && !report.is_leaving
                && !self.leaving.contains(name),
        }
    }

    fn open_order(
        &mut self,
        planned: PlannedOrder,
        held: HeldLease,
        now: Instant,
    ) -> Option<PlacementCommand> {
        let address = self.document.servers.get(&planned.server)?.address;
        let known = self.servers.get_mut(&planned.server)?;
        known.order = Some(OpenOrder {
            models: planned.models.clone(),
            sent_at: now,
            repeat_at: now + Duration::from_millis(self.settings.order_timeout_ms),
        });
        known.read_at = Some(now);
        let kind = EngineOrderKind::ServeModels { models: planned.models };
        Some(PlacementCommand::Order {
            server: planned.server,
            address,
            order: EngineOrder { fencing_number: held.fencing_number, kind },
            reason: planned.reason,
        })
    }

    /// Reads reports that are due: at each tick of servers with an open order, otherwise seldom.
    fn reads(&mut self, now: Instant) -> Vec<PlacementCommand> {
        let mut due: Vec<(bool, Option<Instant>, &ServerId)> = self
            .servers
            .iter()
            .filter(|(_, known)| known.read_at.is_none_or(|read_at| now >= read_at))
            .map(|(name, known)| (!known.is_loading(), known.read_at, name))
            .collect();
        due.sort();
        let due: Vec<ServerId> = due
            .into_iter()
            .take(self.settings.max_polls_per_tick)
            .map(|(_, _, name)| name.clone())
            .collect();
        due.into_iter().filter_map(|server| self.read(server, now)).collect()
    }

    fn read(&mut self, server: ServerId, now: Instant) -> Option<PlacementCommand> {
        let address = self.document.servers.get(&server)?.address;
        let known = self.servers.get_mut(&server)?;
        let poll_period_ms = if known.is_loading() || known.report.is_none() {
            0
        } else {
            self.settings.poll_period_ms
        };
        known.read_at = Some(now + Duration::from_millis(poll_period_ms));
        Some(PlacementCommand::Poll { server, address })
    }
}

impl KnownServer {
    /// Whether the server has reported, or cannot.
    fn is_known(&self) -> bool {
        self.report.is_some() || self.is_unreachable()
    }

    fn is_unreachable(&self) -> bool {
        self.failed_reads >= UNREACHABLE_READS
    }

    fn is_loading(&self) -> bool {
        self.order.is_some() || self.report.as_ref().is_some_and(|report| report.is_loading)
    }
}

fn out_of_service() -> ServerView {
    ServerView { models: Vec::new(), may_order: false, is_in_service: false }
}

fn same_models(left: &[LoadedModel], right: &[LoadedModel]) -> bool {
    left.len() == right.len() && left.iter().all(|model| right.contains(model))
}
