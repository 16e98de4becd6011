//! Rollout of new weights: brings the servers of a model to the newest revision, some at a time.
//!
//! A server is first closed to new requests on all nodes, then ordered to change once its runs have
//! ended, and reopened when its report shows the new weights. At most a part of the servers is closed
//! at once; the others carry the traffic, the changed ones first.

use crate::types::{ModelId, ServerId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use strum::Display;

/// Settings of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Part of the servers that may be closed at once.
    pub closed_part: f64,
    /// Milliseconds between the notice that closes a server and the order: the way to all nodes.
    pub notice_ms: u64,
    /// Milliseconds until an order or report without an answer counts as lost.
    pub answer_timeout_ms: u64,
    /// Milliseconds between reports of a server that changes.
    pub report_period_ms: u64,
    /// Milliseconds after which runs are no longer waited for.
    pub wait_limit_ms: u64,
    /// Milliseconds for which a server that does not answer is left alone.
    pub retry_ms: u64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            closed_part: 0.5,
            notice_ms: 30,
            answer_timeout_ms: 400,
            report_period_ms: 120,
            wait_limit_ms: 4_000,
            retry_ms: 700,
        }
    }
}

/// What happens to the runs of a server that changes its weights.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunPolicy {
    /// The change waits until they end.
    Wait,
    /// They go on under the new weights.
    Keep,
}

/// Server of the model, as the fleet knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutServer {
    /// Id.
    pub id: ServerId,
    /// Weights that it is believed to hold.
    pub revision: WeightsRevision,
    /// Requests at the server.
    pub requests: u32,
}

/// Report of a server about its weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightsReport {
    /// Weights of each model.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that the server has accepted since its start.
    pub accepted_orders: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum WeightsOrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// The server holds the weights already.
    AlreadyHolds,
    /// Another order is under way, or others were accepted meanwhile.
    Conflict,
    /// A higher fencing number was used.
    Fenced,
    /// The server rejects the order for good.
    Invalid,
    /// There was no answer; the order may still be carried out.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutCommand {
    /// Close the server to new requests on all nodes.
    Close(ServerId),
    /// Ask the server for its report.
    Report(ServerId),
    /// Order the server to change.
    Order {
        /// Server.
        server: ServerId,
        /// Orders that the server must have accepted so far for this one to count.
        accepted_orders: u64,
        /// What happens to its runs.
        runs: RunPolicy,
    },
    /// The server holds the weights: reopen it on all nodes.
    Finish {
        /// Server.
        server: ServerId,
        /// Its weights.
        revision: WeightsRevision,
    },
    /// The server does not answer: reopen it, it is tried again later.
    GiveUp(ServerId),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Closing { report_at: Instant },
    Reporting { lost_at: Instant, failures: u32 },
    Ordering { lost_at: Instant },
    Changing { report_at: Instant },
    Resting { until: Instant },
}

/// Reports in a row without an answer after which a server is left alone for a while.
const MOST_FAILURES: u32 = 2;

/// Rollout of one model's weights, as its one coordinator carries it out.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    model: ModelId,
    revision: WeightsRevision,
    started_at: Instant,
    steps: BTreeMap<ServerId, Step>,
}

impl Rollout {
    /// Returns the rollout of `revision`, which was named at `started_at`.
    pub fn new(
        settings: RolloutSettings,
        model: ModelId,
        revision: WeightsRevision,
        started_at: Instant,
    ) -> Self {
        Self { settings, model, revision, started_at, steps: BTreeMap::new() }
    }

    /// Returns the revision that the servers are brought to.
    pub fn revision(&self) -> WeightsRevision {
        self.revision
    }

    /// Returns the servers that are closed to new requests.
    pub fn closed(&self) -> impl Iterator<Item = &ServerId> {
        let is_closed = |step: &Step| !matches!(step, Step::Resting { .. });
        self.steps.iter().filter(move |(_, step)| is_closed(step)).map(|(id, _)| id)
    }

    /// Takes in that a newer revision was named.
    pub fn retarget(&mut self, revision: WeightsRevision, started_at: Instant) {
        self.revision = revision;
        self.started_at = started_at;
    }

    /// Does what is due, for the model's `servers` that take requests.
    pub fn tick(&mut self, servers: &[RolloutServer], now: Instant) -> Vec<RolloutCommand> {
        let mut commands = Vec::new();
        self.steps.retain(|id, step| match step {
            Step::Resting { until } => now < *until,
            _ => servers.iter().any(|server| server.id == *id),
        });
        let due: Vec<ServerId> = self
            .steps
            .iter()
            .filter(|(_, step)| step.is_due(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.advance(&id, now, &mut commands);
        }
        self.close_more(servers, now, &mut commands);
        commands
    }

    /// Takes in a report, none if the server did not answer.
    pub fn reported(
        &mut self,
        id: &ServerId,
        report: Option<&WeightsReport>,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        let Some(Step::Reporting { failures, .. }) = self.steps.get(id).copied() else {
            return Vec::new();
        };
        let Some(report) = report else { return self.fail_report(id, failures, now) };
        let held = report.weights.get(&self.model).copied().unwrap_or_default();
        if held >= self.revision && !report.is_busy {
            self.steps.remove(id);
            return vec![RolloutCommand::Finish { server: id.clone(), revision: held }];
        }
        if report.is_busy {
            self.await_change(id, now);
            return Vec::new();
        }
        let lost_at = now + self.answer_timeout();
        self.steps.insert(id.clone(), Step::Ordering { lost_at });
        let waits = now < self.started_at + Duration::from_millis(self.settings.wait_limit_ms);
        vec![RolloutCommand::Order {
            server: id.clone(),
            accepted_orders: report.accepted_orders,
            runs: if waits { RunPolicy::Wait } else { RunPolicy::Keep },
        }]
    }

    /// Takes in the answer to an order.
    pub fn ordered(
        &mut self,
        id: &ServerId,
        outcome: WeightsOrderOutcome,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        if !matches!(self.steps.get(id), Some(Step::Ordering { .. })) {
            return Vec::new();
        }
        match outcome {
            WeightsOrderOutcome::Invalid | WeightsOrderOutcome::Fenced => {
                vec![self.give_up(id, now)]
            }
            WeightsOrderOutcome::Accepted
            | WeightsOrderOutcome::AlreadyHolds
            | WeightsOrderOutcome::Conflict
            | WeightsOrderOutcome::Unknown => {
                self.await_change(id, now);
                Vec::new()
            }
        }
    }

    fn advance(&mut self, id: &ServerId, now: Instant, commands: &mut Vec<RolloutCommand>) {
        match self.steps.get(id).copied() {
            Some(Step::Closing { .. } | Step::Changing { .. }) => {
                let lost_at = now + self.answer_timeout();
                self.steps.insert(id.clone(), Step::Reporting { lost_at, failures: 0 });
                commands.push(RolloutCommand::Report(id.clone()));
            }
            Some(Step::Reporting { failures, .. }) => {
                commands.extend(self.fail_report(id, failures, now));
            }
            Some(Step::Ordering { .. }) => self.await_change(id, now),
            Some(Step::Resting { .. }) | None => {}
        }
    }

    fn fail_report(&mut self, id: &ServerId, failures: u32, now: Instant) -> Vec<RolloutCommand> {
        if failures + 1 >= MOST_FAILURES {
            return vec![self.give_up(id, now)];
        }
        let step = Step::Reporting { lost_at: now + self.answer_timeout(), failures: failures + 1 };
        self.steps.insert(id.clone(), step);
        vec![RolloutCommand::Report(id.clone())]
    }

    fn give_up(&mut self, id: &ServerId, now: Instant) -> RolloutCommand {
        let until = now + Duration::from_millis(self.settings.retry_ms);
        self.steps.insert(id.clone(), Step::Resting { until });
        RolloutCommand::GiveUp(id.clone())
    }

    fn await_change(&mut self, id: &ServerId, now: Instant) {
        let report_at = now + Duration::from_millis(self.settings.report_period_ms);
        self.steps.insert(id.clone(), Step::Changing { report_at });
    }

    /// Closes further servers with older weights, those with the fewest requests first.
    fn close_more(
        &mut self,
        servers: &[RolloutServer],
        now: Instant,
        commands: &mut Vec<RolloutCommand>,
    ) {
        let most = (servers.len() as f64 * self.settings.closed_part).ceil() as usize;
        let room = most.saturating_sub(self.closed().count());
        let mut outdated: Vec<&RolloutServer> = servers
            .iter()
            .filter(|server| server.revision < self.revision)
            .filter(|server| !self.steps.contains_key(&server.id))
            .collect();
        outdated.sort_by_key(|server| server.requests);
        for server in outdated.into_iter().take(room) {
            let report_at = now + Duration::from_millis(self.settings.notice_ms);
            self.steps.insert(server.id.clone(), Step::Closing { report_at });
            commands.push(RolloutCommand::Close(server.id.clone()));
        }
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.answer_timeout_ms)
    }
}

impl Step {
    fn is_due(self, now: Instant) -> bool {
        let due_at = match self {
            Self::Closing { report_at } | Self::Changing { report_at } => report_at,
            Self::Reporting { lost_at, .. } | Self::Ordering { lost_at } => lost_at,
            Self::Resting { until } => until,
        };
        now >= due_at
    }
}
