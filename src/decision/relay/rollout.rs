//! Rollout of new weights: brings the servers of a model to the newest revision, some at a time.
//!
//! A server is first closed to new requests on all nodes, then ordered to change once its runs have
//! ended, and reopened when its report shows the new weights. At most a part of the servers is closed
//! at once; the others carry the traffic, the changed ones first.

pub use super::rollout_messages::{
    RolloutCommand, RolloutServer, RolloutSettings, RunPolicy, WeightsOrderOutcome, WeightsReport,
};
use crate::types::{ModelId, ServerId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Change of a server's weights under way.
#[derive(Clone, Copy, Debug)]
struct WeightsChange {
    /// Orders that the server had accepted before.
    accepted_orders: u64,
    /// When it should have loaded; none if its report alone tells.
    loaded_at: Option<Instant>,
    /// From when a report that does not show the change is believed.
    settled_at: Instant,
    /// Whether it was opened since it should have loaded.
    is_open: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Closed; its requests end, and those that can go on elsewhere are taken off it at last.
    Draining { since: Instant, evicts: bool },
    /// Asked for its report before the order.
    Reporting { timeout_at: Instant, failures: u32 },
    /// Ordered to change.
    Ordering { timeout_at: Instant, accepted_orders: u64 },
    /// Changes; asked for its report at `report_at`.
    Loading { report_at: Instant, change: WeightsChange },
    /// Asked whether it has changed.
    Confirming { timeout_at: Instant, change: WeightsChange },
    /// Did not answer and is left alone.
    BackingOff { until: Instant },
}

/// What an order to a server was decided by.
#[derive(Clone, Copy, Debug)]
struct OrderContext {
    /// Whether the server had no requests, so that it loads at once.
    is_empty: bool,
    /// What happens to its runs.
    runs: RunPolicy,
    /// Weights that it is ordered to load.
    revision: WeightsRevision,
}

/// Reports in a row without an answer after which a server is left alone for a while.
const MAX_REPORT_FAILURES: u32 = 2;

/// Rollout of one model's weights, as its one coordinator carries it out.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    model: ModelId,
    revision: WeightsRevision,
    steps: BTreeMap<ServerId, Step>,
    orders: BTreeMap<ServerId, OrderContext>,
}

impl Rollout {
    /// Returns the rollout of `revision`.
    pub fn new(settings: RolloutSettings, model: ModelId, revision: WeightsRevision) -> Self {
        let (steps, orders) = Default::default();
        Self { settings, model, revision, steps, orders }
    }

    /// Returns the revision that the servers are brought to.
    pub fn revision(&self) -> WeightsRevision {
        self.revision
    }

    /// Returns the servers that are closed to new requests.
    pub fn closed(&self) -> impl Iterator<Item = &ServerId> {
        self.steps.iter().filter(|(_, step)| step.is_closed()).map(|(id, _)| id)
    }

    /// Returns the servers that streams are taken off.
    pub fn evicted(&self) -> impl Iterator<Item = &ServerId> {
        let is_evicted = |step: &Step| match step {
            Step::Draining { evicts, .. } => *evicts,
            step => step.is_closed(),
        };
        self.steps.iter().filter(move |(_, step)| is_evicted(step)).map(|(id, _)| id)
    }

    /// Takes in that a newer revision was named.
    pub fn retarget(&mut self, revision: WeightsRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Does what is due, for the model's `servers` that take requests.
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
        self.order_drained(servers, now, &mut commands);
        self.close_more(servers, now, &mut commands);
        commands
    }

    /// Takes in a report, none if the server did not answer.
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

    /// Takes in the answer to an order.
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

    /// Orders the server unless its report shows that it has changed or is changing.
    fn begin_order(
        &mut self,
        id: &ServerId,
        report: &WeightsReport,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        let accepted_orders = report.accepted_orders;
        if self.has_changed(report) {
            return vec![self.finish(id, report)];
        }
        if report.is_busy {
            self.await_report(id, now + self.report_period(), accepted_orders, now);
            return Vec::new();
        }
        let timeout_at = now + self.answer_timeout();
        self.steps.insert(id.clone(), Step::Ordering { timeout_at, accepted_orders });
        let revision = self.revision;
        let facts = self.orders.entry(id.clone()).or_insert(OrderContext {
            is_empty: false,
            runs: RunPolicy::Wait,
            revision,
        });
        facts.revision = revision;
        let runs = facts.runs;
        vec![RolloutCommand::Order { server: id.clone(), accepted_orders, runs }]
    }

    /// Waits for a server that accepted its order; one without runs loads at once.
    fn await_loading(&mut self, id: &ServerId, accepted_orders: u64, now: Instant) {
        let loaded_at = now + Duration::from_millis(self.settings.load_ms);
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let is_empty = self.orders.get(id).is_some_and(|facts| facts.is_empty);
        let change = WeightsChange {
            accepted_orders,
            loaded_at: is_empty.then_some(loaded_at),
            settled_at: loaded_at + lag,
            is_open: false,
        };
        let report_at = if is_empty { loaded_at + lag } else { loaded_at };
        self.steps.insert(id.clone(), Step::Loading { report_at, change });
    }

    /// Has the server asked at `report_at`, closed until then.
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

    /// Looks whether an ordered server has changed.
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
        if self.has_changed(report) {
            return vec![self.finish(id, report)];
        }
        if report.is_busy {
            // It waits for runs, or loads for longer than others do.
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

    fn has_changed(&self, report: &WeightsReport) -> bool {
        let held = report.weights.get(&self.model).copied().unwrap_or_default();
        held >= self.revision && !report.is_busy
    }

    fn finish(&mut self, id: &ServerId, report: &WeightsReport) -> RolloutCommand {
        self.steps.remove(id);
        let revision = report.weights.get(&self.model).copied().unwrap_or_default();
        RolloutCommand::Finish { server: id.clone(), revision }
    }

    fn advance(&mut self, id: &ServerId, now: Instant, commands: &mut Vec<RolloutCommand>) {
        let timeout_at = now + self.answer_timeout();
        let evict = Duration::from_millis(self.settings.evict_after_ms);
        match self.steps.get(id).copied() {
            Some(Step::Draining { since, evicts: false }) if now >= since + evict => {
                self.steps.insert(id.clone(), Step::Draining { since, evicts: true });
                commands.push(RolloutCommand::Evict(id.clone()));
            }
            Some(Step::Reporting { timeout_at, failures }) if now >= timeout_at => {
                commands.extend(self.fail_report(id, failures, now));
            }
            Some(Step::Ordering { timeout_at: lost, accepted_orders }) if now >= lost => {
                self.await_report(id, now, accepted_orders, now);
            }
            Some(Step::Loading { report_at, change }) if now >= report_at => {
                self.steps.insert(id.clone(), Step::Confirming { timeout_at, change });
                commands.push(RolloutCommand::Report(id.clone()));
            }
            Some(Step::Loading { report_at, change })
                if !change.is_open && change.loaded_at.is_some_and(|at| now >= at) =>
            {
                // Reports lag; the server is opened when it should have loaded, and asked later.
                let change = WeightsChange { is_open: true, ..change };
                self.steps.insert(id.clone(), Step::Loading { report_at, change });
                let revision = self.orders.get(id).map_or(self.revision, |facts| facts.revision);
                commands.push(RolloutCommand::Finish { server: id.clone(), revision });
            }
            Some(Step::Confirming { timeout_at: lost, .. }) if now >= lost => {
                self.steps.insert(id.clone(), Step::Reporting { timeout_at, failures: 0 });
                commands.push(RolloutCommand::Report(id.clone()));
            }
            _ => {}
        }
    }

    /// Orders closed servers whose requests have ended, as many as may load at once.
    fn order_drained(
        &mut self,
        servers: &[RolloutServer],
        now: Instant,
        commands: &mut Vec<RolloutCommand>,
    ) {
        let notice = Duration::from_millis(self.settings.notice_delay_ms);
        let drain = Duration::from_millis(self.settings.drain_timeout_ms);
        let is_loading = |step: &&Step| match step {
            Step::Reporting { .. } | Step::Ordering { .. } => true,
            Step::Loading { change, .. } | Step::Confirming { change, .. } => {
                change.loaded_at.is_none_or(|at| now < at)
            }
            Step::Draining { .. } | Step::BackingOff { .. } => false,
        };
        let mut room = self
            .max_loading(servers)
            .saturating_sub(self.steps.values().filter(is_loading).count());
        let mut drained: Vec<&RolloutServer> = servers
            .iter()
            .filter(|server| match self.steps.get(&server.id) {
                Some(Step::Draining { since, .. }) => {
                    let is_empty = server.requests == 0 && now >= *since + notice;
                    is_empty || now >= *since + drain
                }
                _ => false,
            })
            .collect();
        drained.sort_by_key(|server| server.requests);
        while room > 0 && !drained.is_empty() {
            let server = drained.remove(0);
            let limit = Duration::from_millis(self.settings.max_run_wait_ms);
            let waits = server.outdated_since.is_none_or(|since| now < since + limit);
            let facts = OrderContext {
                is_empty: server.requests == 0,
                runs: if waits { RunPolicy::Wait } else { RunPolicy::Keep },
                revision: self.revision,
            };
            self.orders.insert(server.id.clone(), facts);
            let timeout_at = now + self.answer_timeout();
            self.steps.insert(server.id.clone(), Step::Reporting { timeout_at, failures: 0 });
            commands.push(RolloutCommand::Report(server.id.clone()));
            room -= 1;
        }
    }

    /// Closes further servers with older weights, those with the fewest requests first, so that as
    /// many drain as load.
    fn close_more(
        &mut self,
        servers: &[RolloutServer],
        now: Instant,
        commands: &mut Vec<RolloutCommand>,
    ) {
        let half = servers.len().div_ceil(2);
        let part = (servers.len() as f64 * self.settings.closed_fraction) as usize;
        let most = part.max(2 * self.settings.min_loading).min(half).max(1);
        let busy = self.steps.values().filter(|step| match step {
            Step::Loading { change, .. } | Step::Confirming { change, .. } => {
                change.loaded_at.is_none_or(|at| now < at)
            }
            Step::BackingOff { .. } => false,
            _ => true,
        });
        let room = most.saturating_sub(busy.count());
        let mut outdated: Vec<&RolloutServer> = servers
            .iter()
            .filter(|server| server.revision < self.revision)
            .filter(|server| !self.steps.contains_key(&server.id))
            .collect();
        outdated.sort_by_key(|server| server.requests);
        for server in outdated.into_iter().take(room) {
            self.steps.insert(server.id.clone(), Step::Draining { since: now, evicts: false });
            commands.push(RolloutCommand::Close(server.id.clone()));
        }
    }

    fn max_loading(&self, servers: &[RolloutServer]) -> usize {
        let part = (servers.len() as f64 * self.settings.loading_fraction) as usize;
        part.max(self.settings.min_loading)
    }

    fn fail_report(&mut self, id: &ServerId, failures: u32, now: Instant) -> Vec<RolloutCommand> {
        if failures + 1 >= MAX_REPORT_FAILURES {
            return vec![self.abandon(id, now)];
        }
        let step =
            Step::Reporting { timeout_at: now + self.answer_timeout(), failures: failures + 1 };
        self.steps.insert(id.clone(), step);
        vec![RolloutCommand::Report(id.clone())]
    }

    fn abandon(&mut self, id: &ServerId, now: Instant) -> RolloutCommand {
        let until = now + Duration::from_millis(self.settings.retry_ms);
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
    fn is_closed(&self) -> bool {
        match self {
            Self::BackingOff { .. } => false,
            Self::Loading { change, .. } | Self::Confirming { change, .. } => !change.is_open,
            Self::Draining { .. } | Self::Reporting { .. } | Self::Ordering { .. } => true,
        }
    }
}
