//! Placement: which servers load which models.
//!
//! Only the holder of the lease [`crate::decision::leases::LeaseKind::Placement`] sends orders. An
//! order contains the whole set of models of a server. A server that ignores fencing numbers gets
//! orders only once those of the previous lease holder can no longer arrive and a load report has
//! been requested since; it is polled again after each order.

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

/// Consecutive failed polls after which a server counts as out of service.
const UNREACHABLE_AFTER_FAILED_POLLS: u32 = 3;

/// Last load report of a server.
#[derive(Clone, Debug)]
struct LastReport {
    models: Vec<LoadedModel>,
    is_loading: bool,
    is_leaving: bool,
    polled_at: Instant,
}

/// Order that the server's load reports do not show as fulfilled yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    models: Vec<LoadedModel>,
    sent_at: Instant,
    repeat_at: Instant,
}

/// What this node knows of a server of the document.
#[derive(Clone, Debug, Default)]
struct ServerState {
    report: Option<LastReport>,
    pending_order: Option<PendingOrder>,
    next_poll_at: Option<Instant>,
    failed_polls: u32,
}

/// State of placement on one node. Every node updates it; only the lease holder sends orders.
#[derive(Clone, Debug)]
pub struct PlacementState {
    settings: PlacementSettings,
    document: Arc<Document>,
    leaving: BTreeSet<ServerId>,
    live_nodes: u32,
    demand: Demand,
    servers: BTreeMap<ServerId, ServerState>,
    /// Highest fencing number among the orders of this node that servers rejected as outdated.
    max_fenced_number: LogOffset,
    /// Fencing number of the held lease, under which the pending orders were sent.
    active_fencing_number: Option<LogOffset>,
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
            max_fenced_number: 0,
            active_fencing_number: None,
        }
    }

    /// Applies `event` and returns the commands to carry out.
    pub fn apply(&mut self, event: PlacementEvent, now: Instant) -> Vec<PlacementCommand> {
        match event {
            PlacementEvent::Document(document) => self.set_document(document),
            PlacementEvent::LeavingServers(servers) => self.leaving = servers,
            PlacementEvent::LiveNodes(live_nodes) => self.live_nodes = live_nodes.max(1),
            PlacementEvent::AnswerCompleted { model, prefilled_tokens, decode_ms } => {
                self.demand.add(&self.document, &model, prefilled_tokens, decode_ms, now);
            }
            PlacementEvent::Report { server, report, polled_at } => {
                self.apply_report(&server, report, polled_at);
            }
            PlacementEvent::PollFailed { server } => {
                if let Some(state) = self.servers.get_mut(&server) {
                    state.failed_polls += 1;
                }
            }
            PlacementEvent::OrderAnswered {
                fencing_number, outcome: OrderOutcome::Fenced, ..
            } => {
                self.max_fenced_number = self.max_fenced_number.max(fencing_number);
            }
            PlacementEvent::OrderAnswered { .. } => {}
            PlacementEvent::Tick(lease) => return self.tick(lease, now),
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

    fn apply_report(&mut self, server: &ServerId, report: LoadReport, polled_at: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        if state.report.as_ref().is_some_and(|last| polled_at < last.polled_at) {
            return;
        }
        let is_fulfilled = |order: &mut PendingOrder| {
            polled_at > order.sent_at
                && report.loading.is_empty()
                && same_models(&report.models, &order.models)
        };
        state.pending_order.take_if(is_fulfilled);
        state.failed_polls = 0;
        state.report = Some(LastReport {
            is_loading: !report.loading.is_empty(),
            is_leaving: report.leaving,
            models: report.models,
            polled_at,
        });
    }

    /// Plans orders and polls servers while this node holds the lease; pending orders of an earlier
    /// lease are dropped.
    fn tick(&mut self, lease: Option<HeldLease>, now: Instant) -> Vec<PlacementCommand> {
        let lease = lease.filter(|lease| lease.fencing_number > self.max_fenced_number);
        let fencing_number = lease.map(|lease| lease.fencing_number);
        if self.active_fencing_number != fencing_number {
            self.active_fencing_number = fencing_number;
            self.servers.values_mut().for_each(|state| state.pending_order = None);
        }
        let Some(lease) = lease else { return Vec::new() };
        for state in self.servers.values_mut() {
            state.pending_order.take_if(|order| now >= order.repeat_at);
        }
        let mut commands = self.plan_orders(lease, now);
        commands.extend(self.poll_due_servers(now));
        commands
    }

    /// Returns the next orders. There are none until every server has reported or is unreachable,
    /// since a server without a report counts as out of service.
    fn plan_orders(&mut self, lease: HeldLease, now: Instant) -> Vec<PlacementCommand> {
        let target_servers = self.demand.target_servers(&self.document, self.live_nodes, now);
        let servers = self
            .document
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), self.server_view(name, server, lease, now)))
            .collect();
        let loading = self.servers.values().filter(|state| state.is_loading()).count();
        let remaining_loads = self.settings.max_concurrent_loads.saturating_sub(loading);
        if !self.servers.values().all(ServerState::is_known) {
            return Vec::new();
        }
        let planned = next_orders(&self.document, servers, &target_servers, remaining_loads);
        planned.into_iter().filter_map(|planned| self.issue_order(planned, lease, now)).collect()
    }

    fn server_view(
        &self,
        name: &ServerId,
        server: &BackendServer,
        lease: HeldLease,
        now: Instant,
    ) -> ServerView {
        let Some(state) = self.servers.get(name) else { return out_of_service() };
        let Some(report) = &state.report else { return out_of_service() };
        let may_order_unfenced = now >= lease.unfenced_orders_allowed_at
            && report.polled_at >= lease.unfenced_orders_allowed_at;
        let may_order = !state.is_loading() && (server.checks_fencing || may_order_unfenced);
        let models = state.pending_order.as_ref().map_or(&report.models, |order| &order.models);
        ServerView {
            models: models.clone(),
            may_order,
            is_in_service: !state.is_unreachable()
                && !report.is_leaving
                && !self.leaving.contains(name),
        }
    }

    fn issue_order(
        &mut self,
        planned: PlannedOrder,
        lease: HeldLease,
        now: Instant,
    ) -> Option<PlacementCommand> {
        let address = self.document.servers.get(&planned.server)?.address;
        let state = self.servers.get_mut(&planned.server)?;
        state.pending_order = Some(PendingOrder {
            models: planned.models.clone(),
            sent_at: now,
            repeat_at: now + Duration::from_millis(self.settings.order_timeout_ms),
        });
        state.next_poll_at = Some(now);
        let kind = EngineOrderKind::ServeModels { models: planned.models };
        Some(PlacementCommand::Order {
            server: planned.server,
            address,
            order: EngineOrder { fencing_number: lease.fencing_number, kind },
            reason: planned.reason,
        })
    }

    /// Polls the servers that are due, loading ones first. A server that is loading or has not
    /// reported is due at each tick, any other once in each poll period.
    fn poll_due_servers(&mut self, now: Instant) -> Vec<PlacementCommand> {
        let mut due: Vec<(bool, Option<Instant>, &ServerId)> = self
            .servers
            .iter()
            .filter(|(_, state)| state.next_poll_at.is_none_or(|next_poll_at| now >= next_poll_at))
            .map(|(name, state)| (!state.is_loading(), state.next_poll_at, name))
            .collect();
        due.sort();
        let due: Vec<ServerId> = due
            .into_iter()
            .take(self.settings.max_polls_per_tick)
            .map(|(_, _, name)| name.clone())
            .collect();
        due.into_iter().filter_map(|server| self.poll_server(server, now)).collect()
    }

    fn poll_server(&mut self, server: ServerId, now: Instant) -> Option<PlacementCommand> {
        let address = self.document.servers.get(&server)?.address;
        let state = self.servers.get_mut(&server)?;
        let poll_period_ms = if state.is_loading() || state.report.is_none() {
            0
        } else {
            self.settings.poll_period_ms
        };
        state.next_poll_at = Some(now + Duration::from_millis(poll_period_ms));
        Some(PlacementCommand::Poll { server, address })
    }
}

impl ServerState {
    /// Whether the server has reported or is known to be unreachable.
    fn is_known(&self) -> bool {
        self.report.is_some() || self.is_unreachable()
    }

    fn is_unreachable(&self) -> bool {
        self.failed_polls >= UNREACHABLE_AFTER_FAILED_POLLS
    }

    fn is_loading(&self) -> bool {
        self.pending_order.is_some() || self.report.as_ref().is_some_and(|report| report.is_loading)
    }
}

fn out_of_service() -> ServerView {
    ServerView { models: Vec::new(), may_order: false, is_in_service: false }
}

fn same_models(left: &[LoadedModel], right: &[LoadedModel]) -> bool {
    left.len() == right.len() && left.iter().all(|model| right.contains(model))
}
