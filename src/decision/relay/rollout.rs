//! Rollout of new weights: updates the servers of a model to the newest revision in batches.
//!
//! A server is closed to new requests on all nodes, ordered to load the weights once its requests
//! have ended, and reopened when its report shows the new weights. At most a fraction of each
//! service's servers is closed at once. The others serve the traffic, preferably those that have
//! been updated.

pub use super::rollout_messages::{
    RolloutCommand, RolloutServer, RolloutSettings, RunPolicy, WeightsOrderOutcome, WeightsReport,
};
use crate::types::{ModelId, ServerId, ServiceId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Replacement of a server's weights in progress.
#[derive(Clone, Copy, Debug)]
struct WeightsChange {
    /// Orders that the server had accepted before this one.
    accepted_orders: u64,
    /// When the server should have loaded the weights, `None` if only its report shows that.
    loaded_at: Option<Instant>,
    /// Time from which a report that lacks the new weights is believed, since reports lag.
    settled_at: Instant,
    /// Whether the server was reopened because it should have loaded the weights.
    is_open: bool,
}

/// Progress of one server.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Closed until its requests have ended; `evicts_streams` says whether resumable streams must
    /// leave.
    Draining { since: Instant, evicts_streams: bool },
    /// Report requested before the order.
    Reporting { timeout_at: Instant, failures: u32 },
    /// Order sent.
    Ordering { timeout_at: Instant, accepted_orders: u64 },
    /// Loading the weights, or unclear whether it is; its report is requested at `report_at`.
    Loading { report_at: Instant, change: WeightsChange },
    /// Report requested to confirm the new weights.
    Confirming { timeout_at: Instant, change: WeightsChange },
    /// Not ordered before `until`, since it did not answer.
    BackingOff { until: Instant },
}

/// Conditions under which a server was ordered.
#[derive(Clone, Copy, Debug)]
struct OrderConditions {
    /// Whether the server had no requests, so that it loads at once.
    is_idle: bool,
    /// What happens to its running requests.
    runs: RunPolicy,
    /// Weights that it is ordered to load.
    revision: WeightsRevision,
}

/// Consecutive unanswered report requests after which a server is skipped for a while.
const MAX_REPORT_FAILURES: u32 = 2;

/// Rollout of one model's weights, run by a single coordinator.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    model: ModelId,
    revision: WeightsRevision,
    /// Servers that are being updated or skipped.
    steps: BTreeMap<ServerId, Step>,
    /// Conditions of each server's last order.
    orders: BTreeMap<ServerId, OrderConditions>,
}

impl Rollout {
    /// Returns the rollout of `revision`.
    pub fn new(settings: RolloutSettings, model: ModelId, revision: WeightsRevision) -> Self {
        let (steps, orders) = Default::default();
        Self { settings, model, revision, steps, orders }
    }

    /// Returns the revision that the servers are updated to.
    pub fn revision(&self) -> WeightsRevision {
        self.revision
    }

    /// Returns the servers that are closed to new requests.
    pub fn closed(&self) -> impl Iterator<Item = &ServerId> {
        self.steps.iter().filter(|(_, step)| step.is_closed()).map(|(id, _)| id)
    }

    /// Returns the servers that resumable streams must leave.
    pub fn evicted(&self) -> impl Iterator<Item = &ServerId> {
        let is_evicted = |step: &Step| match step {
            Step::Draining { evicts_streams, .. } => *evicts_streams,
            step => step.is_closed(),
        };
        self.steps.iter().filter(move |(_, step)| is_evicted(step)).map(|(id, _)| id)
    }

    /// Raises the revision that the servers are updated to.
    pub fn retarget(&mut self, revision: WeightsRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Advances the rollout and returns what to do now; `servers` are the model's usable servers.
    pub fn tick(&mut self, servers: &[RolloutServer], now: Instant) -> Vec<RolloutCommand> {
        let mut commands = Vec::new();
        self.steps.retain(|id, step| match step {
            Step::BackingOff { until } => now < *until,
            _ => servers.iter().any(|server| server.id == *id),
        });
        let ids: Vec<ServerId> = self.steps.keys().cloned().collect();
        for id in ids {
            self.advance(&id, now, &mut commands);
        }
        self.order_drained_servers(servers, now, &mut commands);
        self.close_outdated_servers(servers, now, &mut commands);
        commands
    }

    /// Handles the report of a server, `None` if it did not answer.
    pub fn on_report(
        &mut self,
        id: &ServerId,
        report: Option<&WeightsReport>,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        match (self.steps.get(id).copied(), report) {
            (Some(Step::Reporting { failures, .. }), None) => self.fail_report(id, failures, now),
            (Some(Step::Reporting { .. }), Some(report)) => self.begin_order(id, report, now),
            (Some(Step::Confirming { change, .. }), report) => {
                self.confirm(id, report, change, now)
            }
            _ => Vec::new(),
        }
    }

    /// Handles the outcome of an order.
    pub fn on_order_outcome(
        &mut self,
        id: &ServerId,
        outcome: WeightsOrderOutcome,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        let Some(Step::Ordering { accepted_orders, .. }) = self.steps.get(id).copied() else {
            return Vec::new();
        };
        match outcome {
            WeightsOrderOutcome::Invalid | WeightsOrderOutcome::Fenced => {
                return vec![self.abandon(id, now)];
            }
            WeightsOrderOutcome::Accepted => self.await_loading(id, accepted_orders, now),
            WeightsOrderOutcome::AlreadyHolds
            | WeightsOrderOutcome::Conflict
            | WeightsOrderOutcome::Unknown => {
                let lag = Duration::from_millis(self.settings.report_lag_ms);
                self.await_report(id, now + lag, accepted_orders, now);
            }
        }
        Vec::new()
    }

    /// Orders the server unless its report shows that it has loaded or is loading the weights.
    fn begin_order(
        &mut self,
        id: &ServerId,
        report: &WeightsReport,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        let accepted_orders = report.accepted_orders;
        if self.has_loaded(report) {
            return vec![self.finish(id, report)];
        }
        if report.is_busy {
            self.await_report(id, now + self.report_period(), accepted_orders, now);
            return Vec::new();
        }
        let timeout_at = now + self.answer_timeout();
        self.steps.insert(id.clone(), Step::Ordering { timeout_at, accepted_orders });
        let revision = self.revision;
        let conditions = self.orders.entry(id.clone()).or_insert(OrderConditions {
            is_idle: false,
            runs: RunPolicy::Wait,
            revision,
        });
        conditions.revision = revision;
        let runs = conditions.runs;
        vec![RolloutCommand::Order { server: id.clone(), accepted_orders, runs }]
    }

    /// Waits for a server that accepted its order; one without requests loads at once.
    fn await_loading(&mut self, id: &ServerId, accepted_orders: u64, now: Instant) {
        let loaded_at = now + Duration::from_millis(self.settings.load_ms);
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let is_idle = self.orders.get(id).is_some_and(|conditions| conditions.is_idle);
        let change = WeightsChange {
            accepted_orders,
            loaded_at: is_idle.then_some(loaded_at),
            settled_at: loaded_at + lag,
            is_open: false,
        };
        let report_at = if is_idle { loaded_at + lag } else { loaded_at };
        self.steps.insert(id.clone(), Step::Loading { report_at, change });
    }

    /// Schedules a report request at `report_at`; the server stays closed until then.
    fn await_report(
        &mut self,
        id: &ServerId,
        report_at: Instant,
        accepted_orders: u64,
        now: Instant,
    ) {
        let settled_at = now + Duration::from_millis(self.settings.report_lag_ms);
        let change = WeightsChange { accepted_orders, loaded_at: None, settled_at, is_open: false };
        self.steps.insert(id.clone(), Step::Loading { report_at, change });
    }

    /// Checks whether an ordered server has loaded the weights.
    fn confirm(
        &mut self,
        id: &ServerId,
        report: Option<&WeightsReport>,
        change: WeightsChange,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        let report_at = now + self.report_period();
        let Some(report) = report else {
            self.steps.insert(id.clone(), Step::Reporting { timeout_at: report_at, failures: 0 });
            return Vec::new();
        };
        if self.has_loaded(report) {
            return vec![self.finish(id, report)];
        }
        if report.is_busy {
            // It waits for running requests or loads longer than usual.
            self.await_report(id, report_at, change.accepted_orders, now);
            let close = change.is_open.then(|| RolloutCommand::Close(id.clone()));
            return close.into_iter().collect();
        }
        if now < change.settled_at {
            self.steps.insert(id.clone(), Step::Loading { report_at, change });
            return Vec::new();
        }
        if report.accepted_orders > change.accepted_orders || change.is_open {
            // It carried out an order for older weights; it is closed and ordered again.
            return vec![self.finish(id, report)];
        }
        self.begin_order(id, report, now)
    }

    /// Whether the report shows the new weights and no running order.
    fn has_loaded(&self, report: &WeightsReport) -> bool {
        let loaded = report.weights.get(&self.model).copied().unwrap_or_default();
        loaded >= self.revision && !report.is_busy
    }

    fn finish(&mut self, id: &ServerId, report: &WeightsReport) -> RolloutCommand {
        self.steps.remove(id);
        let revision = report.weights.get(&self.model).copied().unwrap_or_default();
        RolloutCommand::Finish { server: id.clone(), revision }
    }

    fn advance(&mut self, id: &ServerId, now: Instant, commands: &mut Vec<RolloutCommand>) {
        let timeout_at = now + self.answer_timeout();
        let evict_after = Duration::from_millis(self.settings.evict_after_ms);
        match self.steps.get(id).copied() {
            Some(Step::Draining { since, evicts_streams: false }) if now >= since + evict_after => {
                self.steps.insert(id.clone(), Step::Draining { since, evicts_streams: true });
                commands.push(RolloutCommand::Evict(id.clone()));
            }
            Some(Step::Reporting { timeout_at, failures }) if now >= timeout_at => {
                commands.extend(self.fail_report(id, failures, now));
            }
            Some(Step::Ordering { timeout_at: lost_at, accepted_orders }) if now >= lost_at => {
                self.await_report(id, now, accepted_orders, now);
            }
            Some(Step::Loading { report_at, change }) if now >= report_at => {
                self.steps.insert(id.clone(), Step::Confirming { timeout_at, change });
                commands.push(RolloutCommand::Report(id.clone()));
            }
            Some(Step::Loading { report_at, change })
                if !change.is_open && change.loaded_at.is_some_and(|at| now >= at) =>
            {
                // Reports lag, so the server is reopened when it should have loaded the weights,
                // and confirmed later.
                let change = WeightsChange { is_open: true, ..change };
                self.steps.insert(id.clone(), Step::Loading { report_at, change });
                let revision =
                    self.orders.get(id).map_or(self.revision, |conditions| conditions.revision);
                commands.push(RolloutCommand::Finish { server: id.clone(), revision });
            }
            Some(Step::Confirming { timeout_at: lost_at, .. }) if now >= lost_at => {
                self.steps.insert(id.clone(), Step::Reporting { timeout_at, failures: 0 });
                commands.push(RolloutCommand::Report(id.clone()));
            }
            _ => {}
        }
    }

    /// Orders servers that have drained or whose drain timeout has passed, as many as may load at
    /// once.
    fn order_drained_servers(
        &mut self,
        servers: &[RolloutServer],
        now: Instant,
        commands: &mut Vec<RolloutCommand>,
    ) {
        let notice_delay = Duration::from_millis(self.settings.notice_delay_ms);
        let drain_timeout = Duration::from_millis(self.settings.drain_timeout_ms);
        let loading = self.steps.values().filter(|step| step.is_loading(now)).count();
        let mut capacity = self.max_loading(servers).saturating_sub(loading);
        let mut drained: Vec<&RolloutServer> = servers
            .iter()
            .filter(|server| match self.steps.get(&server.id) {
                Some(Step::Draining { since, .. }) => {
                    let is_idle = server.requests == 0 && now >= *since + notice_delay;
                    is_idle || now >= *since + drain_timeout
                }
                _ => false,
            })
            .collect();
        drained.sort_by_key(|server| server.requests);
        while capacity > 0 && !drained.is_empty() {
            let server = drained.remove(0);
            let max_run_wait = Duration::from_millis(self.settings.max_run_wait_ms);
            let is_waiting_allowed =
                server.outdated_since.is_none_or(|since| now < since + max_run_wait);
            let conditions = OrderConditions {
                is_idle: server.requests == 0,
                runs: if is_waiting_allowed { RunPolicy::Wait } else { RunPolicy::Keep },
                revision: self.revision,
            };
            self.orders.insert(server.id.clone(), conditions);
            let timeout_at = now + self.answer_timeout();
            self.steps.insert(server.id.clone(), Step::Reporting { timeout_at, failures: 0 });
            commands.push(RolloutCommand::Report(server.id.clone()));
            capacity -= 1;
        }
    }

    /// Closes more outdated servers of each service, so that as many drain as load.
    fn close_outdated_servers(
        &mut self,
        servers: &[RolloutServer],
        now: Instant,
        commands: &mut Vec<RolloutCommand>,
    ) {
        let mut services: BTreeMap<&ServiceId, Vec<&RolloutServer>> = BTreeMap::new();
        for server in servers {
            services.entry(&server.service).or_default().push(server);
        }
        for servers in services.values() {
            self.close_outdated_of_service(servers, now, commands);
        }
    }

    /// Closes more outdated servers of one service, those with the fewest requests first.
    fn close_outdated_of_service(
        &mut self,
        servers: &[&RolloutServer],
        now: Instant,
        commands: &mut Vec<RolloutCommand>,
    ) {
        let half = servers.len().div_ceil(2);
        let by_fraction = (servers.len() as f64 * self.settings.closed_fraction) as usize;
        let max_closed = by_fraction.max(2 * self.settings.min_loading).min(half).max(1);
        let steps = servers.iter().filter_map(|server| self.steps.get(&server.id));
        let busy = steps.filter(|step| match step {
            Step::Draining { .. } => true,
            step => step.is_loading(now),
        });
        let capacity = max_closed.saturating_sub(busy.count());
        let mut outdated: Vec<&RolloutServer> = servers
            .iter()
            .copied()
            .filter(|server| server.revision < self.revision)
            .filter(|server| !self.steps.contains_key(&server.id))
            .collect();
        outdated.sort_by_key(|server| server.requests);
        for server in outdated.into_iter().take(capacity) {
            self.steps
                .insert(server.id.clone(), Step::Draining { since: now, evicts_streams: false });
            commands.push(RolloutCommand::Close(server.id.clone()));
        }
    }

    /// Returns how many servers may load at once.
    fn max_loading(&self, servers: &[RolloutServer]) -> usize {
        let by_fraction = (servers.len() as f64 * self.settings.loading_fraction) as usize;
        by_fraction.max(self.settings.min_loading)
    }

    /// Requests the report of a server once more, or skips the server for a while.
    fn fail_report(&mut self, id: &ServerId, failures: u32, now: Instant) -> Vec<RolloutCommand> {
        if failures + 1 >= MAX_REPORT_FAILURES {
            return vec![self.abandon(id, now)];
        }
        let step =
            Step::Reporting { timeout_at: now + self.answer_timeout(), failures: failures + 1 };
        self.steps.insert(id.clone(), step);
        vec![RolloutCommand::Report(id.clone())]
    }

    /// Skips a server for a while.
    fn abandon(&mut self, id: &ServerId, now: Instant) -> RolloutCommand {
        let until = now + Duration::from_millis(self.settings.retry_delay_ms);
        self.steps.insert(id.clone(), Step::BackingOff { until });
        RolloutCommand::Abandon(id.clone())
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.answer_timeout_ms)
    }

    fn report_period(&self) -> Duration {
        Duration::from_millis(self.settings.report_period_ms)
    }
}

impl Step {
    /// Whether the server loads weights or is about to be ordered.
    fn is_loading(&self, now: Instant) -> bool {
        match self {
            Self::Reporting { .. } | Self::Ordering { .. } => true,
            Self::Loading { change, .. } | Self::Confirming { change, .. } => {
                change.loaded_at.is_none_or(|at| now < at)
            }
            Self::Draining { .. } | Self::BackingOff { .. } => false,
        }
    }

    fn is_closed(&self) -> bool {
        match self {
            Self::BackingOff { .. } => false,
            Self::Loading { change, .. } | Self::Confirming { change, .. } => !change.is_open,
            Self::Draining { .. } | Self::Reporting { .. } | Self::Ordering { .. } => true,
        }
    }
}
