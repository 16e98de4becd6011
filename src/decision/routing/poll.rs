//! Plans which servers to poll for load reports and cache events within a byte budget.

use crate::types::ServerId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of the poll planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PollConfig {
    /// Bytes per second for all polls together.
    pub budget_bytes_per_s: f64,
    /// Bytes that may be spent at once after a pause.
    pub burst_bytes: f64,
    /// Fraction of the budget for cache events; load reports get the rest.
    pub events_fraction: f64,
    /// Time between load polls of a server in use.
    pub load_interval: Duration,
    /// Time between cache event polls of a server in use.
    pub events_interval: Duration,
    /// Time after its last use during which a server is polled.
    pub in_use_period: Duration,
    /// Estimated bytes of an answer before the first one.
    pub initial_answer_bytes: f64,
    /// Time after which a poll without an answer may be repeated.
    pub poll_timeout: Duration,
}

impl Default for PollConfig {
    fn default() -> Self {
        Self {
            budget_bytes_per_s: 8_000.0,
            burst_bytes: 8_000.0,
            events_fraction: 0.25,
            load_interval: Duration::from_millis(250),
            events_interval: Duration::from_secs(1),
            in_use_period: Duration::from_secs(5),
            initial_answer_bytes: 500.0,
            poll_timeout: Duration::from_secs(1),
        }
    }
}

/// What a poll requests from a server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PollKind {
    /// Load report.
    Load,
    /// Page of cache events.
    CacheEvents,
}

/// Poll to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Server to poll.
    pub server: ServerId,
    /// What to request.
    pub kind: PollKind,
}

/// Schedule of one kind of poll to one server.
#[derive(Clone, Copy, Debug)]
struct PollState {
    /// Earliest time of the next poll.
    due_at: Instant,
    /// Until when the last poll may still be answered, `None` if no poll is pending.
    pending_until: Option<Instant>,
    /// Bytes charged to the budget for the pending poll.
    charged_bytes: f64,
}

impl PollState {
    fn new(now: Instant) -> Self {
        Self { due_at: now, pending_until: None, charged_bytes: 0.0 }
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due_at <= now && self.pending_until.is_none_or(|until| until <= now)
    }
}

/// Server in use, with its poll schedules.
#[derive(Clone, Copy, Debug)]
struct PolledServer {
    in_use_until: Instant,
    load: PollState,
    events: PollState,
}

/// Byte budget of one kind of poll.
#[derive(Clone, Copy, Debug)]
struct PollBudget {
    /// Fraction of the whole budget.
    fraction: f64,
    /// Bytes that may be spent now; negative after an answer larger than the mean.
    available_bytes: f64,
    /// Moving average of the bytes of an answer.
    mean_answer_bytes: f64,
}

/// Chooses the polls; the control thread sends them and reports the bytes that they cost.
#[derive(Clone, Debug)]
pub struct PollPlanner {
    config: PollConfig,
    servers: HashMap<ServerId, PolledServer>,
    load_budget: PollBudget,
    events_budget: PollBudget,
    refilled_at: Option<Instant>,
}

impl PollPlanner {
    /// Returns a planner without servers.
    pub fn new(config: PollConfig) -> Self {
        let budget = |fraction| PollBudget {
            fraction,
            available_bytes: config.burst_bytes * fraction,
            mean_answer_bytes: config.initial_answer_bytes,
        };
        Self {
            load_budget: budget(1.0 - config.events_fraction),
            events_budget: budget(config.events_fraction),
            config,
            servers: HashMap::new(),
            refilled_at: None,
        }
    }

    /// Marks `server` as in use, or about to be.
    pub fn mark_used(&mut self, server: &ServerId, now: Instant) {
        let in_use_until = now + self.config.in_use_period;
        if let Some(known) = self.servers.get_mut(server) {
            known.in_use_until = known.in_use_until.max(in_use_until);
            return;
        }
        let (load, events) = (PollState::new(now), PollState::new(now));
        self.servers.insert(server.clone(), PolledServer { in_use_until, load, events });
    }

    /// Postpones the next load poll of `server`, whose load report came with an answer.
    pub fn postpone_load_poll(&mut self, server: &ServerId, now: Instant) {
        if let Some(known) = self.servers.get_mut(server) {
            known.load.due_at = known.load.due_at.max(now + self.config.load_interval);
        }
    }

    /// Removes a server that is no longer in the document.
    pub fn remove_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Returns the polls to send now: of each kind the longest overdue first, within its budget.
    pub fn plan(&mut self, now: Instant) -> Vec<PollRequest> {
        self.refill(now);
        self.servers.retain(|_, server| now < server.in_use_until);
        let mut polls = Vec::new();
        for kind in [PollKind::Load, PollKind::CacheEvents] {
            self.plan_kind(kind, now, &mut polls);
        }
        polls
    }

    /// Completes a poll that was answered, or failed, after `bytes`; charges these in place of the
    /// estimate.
    pub fn complete(&mut self, poll: &PollRequest, bytes: usize) {
        let bytes = bytes as f64;
        let state = self.servers.get_mut(&poll.server).map(|server| server.state(poll.kind));
        let charged_bytes = state.map_or(0.0, |state| {
            state.pending_until = None;
            std::mem::take(&mut state.charged_bytes)
        });
        let budget = self.budget(poll.kind);
        budget.mean_answer_bytes += (bytes - budget.mean_answer_bytes) / 8.0;
        budget.available_bytes += charged_bytes - bytes;
    }

    /// Returns when the next poll may be due, `None` if no server is in use.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.servers.values().map(|server| server.load.due_at.min(server.events.due_at)).min()
    }

    fn refill(&mut self, now: Instant) {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(refilled_at).as_secs_f64();
        for kind in [PollKind::Load, PollKind::CacheEvents] {
            let (rate, burst) = (self.config.budget_bytes_per_s, self.config.burst_bytes);
            let budget = self.budget(kind);
            let refilled_bytes = budget.available_bytes + elapsed_s * rate * budget.fraction;
            budget.available_bytes = refilled_bytes.min(burst * budget.fraction);
        }
    }

    fn budget(&mut self, kind: PollKind) -> &mut PollBudget {
        match kind {
            PollKind::Load => &mut self.load_budget,
            PollKind::CacheEvents => &mut self.events_budget,
        }
    }

    fn plan_kind(&mut self, kind: PollKind, now: Instant, polls: &mut Vec<PollRequest>) {
        let interval = match kind {
            PollKind::Load => self.config.load_interval,
            PollKind::CacheEvents => self.config.events_interval,
        };
        let cost_bytes = self.budget(kind).mean_answer_bytes;
        let mut due: Vec<(Instant, ServerId)> = self
            .servers
            .iter_mut()
            .map(|(id, server)| (*server.state(kind), id))
            .filter(|(state, _)| state.is_due(now))
            .map(|(state, id)| (state.due_at, id.clone()))
            .collect();
        due.sort_unstable();
        for (_, server) in due {
            let budget = self.budget(kind);
            if budget.available_bytes < cost_bytes {
                return;
            }
            budget.available_bytes -= cost_bytes;
            if let Some(known) = self.servers.get_mut(&server) {
                let state = known.state(kind);
                state.due_at = now + interval;
                state.pending_until = Some(now + self.config.poll_timeout);
                state.charged_bytes = cost_bytes;
            }
            polls.push(PollRequest { server, kind });
        }
    }
}

impl PolledServer {
    fn state(&mut self, kind: PollKind) -> &mut PollState {
        match kind {
            PollKind::Load => &mut self.load,
            PollKind::CacheEvents => &mut self.events,
        }
    }
}
