//! Plans which servers to ask for load reports and cache events within a byte budget.

use crate::types::ServerId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of the poll planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PollConfig {
    /// Bytes a second that all polls together may take.
    pub budget_bytes_per_s: f64,
    /// Bytes that may be spent at once after a pause.
    pub burst_bytes: f64,
    /// Share of the budget from which cache events are asked for; load reports may use all of it.
    pub events_share: f64,
    /// Time between load reports of a server in use.
    pub load_interval: Duration,
    /// Time between pages of cache events of a server in use.
    pub events_interval: Duration,
    /// Time after its last use for which a server counts as in use.
    pub use_lifetime: Duration,
    /// Bytes assumed of an answer before one was seen.
    pub initial_bytes: f64,
    /// Time after which a poll without an answer may be repeated.
    pub poll_timeout: Duration,
}

impl Default for PollConfig {
    fn default() -> Self {
        Self {
            budget_bytes_per_s: 8_000.0,
            burst_bytes: 8_000.0,
            events_share: 0.4,
            load_interval: Duration::from_millis(250),
            events_interval: Duration::from_secs(1),
            use_lifetime: Duration::from_secs(5),
            initial_bytes: 500.0,
            poll_timeout: Duration::from_secs(1),
        }
    }
}

/// What a server is asked for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PollKind {
    /// Load report.
    Load,
    /// Cache events.
    CacheEvents,
}

/// Poll to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Server.
    pub server: ServerId,
    /// What to ask for.
    pub kind: PollKind,
}

/// Poll of one kind to one server.
#[derive(Clone, Copy, Debug)]
struct PollState {
    due_at: Instant,
    pending_until: Option<Instant>,
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

/// Server that is polled.
#[derive(Clone, Copy, Debug)]
struct PolledServer {
    in_use_until: Instant,
    load: PollState,
    events: PollState,
}

/// Chooses the polls; the control thread sends them and reports what they cost.
#[derive(Clone, Debug)]
pub struct PollPlanner {
    config: PollConfig,
    servers: HashMap<ServerId, PolledServer>,
    load_bytes: f64,
    events_bytes: f64,
    tokens_bytes: f64,
    refilled_at: Option<Instant>,
}

impl PollPlanner {
    /// Returns a planner without servers.
    pub fn new(config: PollConfig) -> Self {
        let initial_bytes = config.initial_bytes;
        let tokens_bytes = config.burst_bytes;
        Self {
            config,
            servers: HashMap::new(),
            load_bytes: initial_bytes,
            events_bytes: initial_bytes,
            tokens_bytes,
            refilled_at: None,
        }
    }

    /// Takes in that `server` is used, or about to be.
    pub fn note_use(&mut self, server: &ServerId, now: Instant) {
        let in_use_until = now + self.config.use_lifetime;
        if let Some(known) = self.servers.get_mut(server) {
            known.in_use_until = known.in_use_until.max(in_use_until);
            return;
        }
        let (load, events) = (PollState::new(now), PollState::new(now));
        self.servers.insert(server.clone(), PolledServer { in_use_until, load, events });
    }

    /// Forgets a server that left the document.
    pub fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Returns the polls to send now, the longest overdue first, load reports before events.
    pub fn plan(&mut self, now: Instant) -> Vec<PollRequest> {
        self.refill(now);
        self.servers.retain(|_, server| now < server.in_use_until);
        let mut polls = Vec::new();
        for kind in [PollKind::Load, PollKind::CacheEvents] {
            self.plan_kind(kind, now, &mut polls);
        }
        polls
    }

    /// Takes in that a poll was answered with `bytes`, or failed after `bytes`.
    pub fn answered(&mut self, poll: &PollRequest, bytes: usize, _now: Instant) {
        let bytes = bytes as f64;
        let mean = match poll.kind {
            PollKind::Load => &mut self.load_bytes,
            PollKind::CacheEvents => &mut self.events_bytes,
        };
        *mean += (bytes - *mean) / 8.0;
        let Some(server) = self.servers.get_mut(&poll.server) else {
            self.tokens_bytes -= bytes;
            return;
        };
        let state = server.state(poll.kind);
        state.pending_until = None;
        self.tokens_bytes += std::mem::take(&mut state.charged_bytes) - bytes;
    }

    /// Returns the time at which the next poll may be due, none if no server is in use.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.servers.values().map(|server| server.load.due_at.min(server.events.due_at)).min()
    }

    fn refill(&mut self, now: Instant) {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(refilled_at).as_secs_f64();
        let refilled = self.tokens_bytes + elapsed_s * self.config.budget_bytes_per_s;
        self.tokens_bytes = refilled.min(self.config.burst_bytes);
    }

    fn plan_kind(&mut self, kind: PollKind, now: Instant, polls: &mut Vec<PollRequest>) {
        let (cost_bytes, reserve_bytes, interval) = match kind {
            PollKind::Load => (self.load_bytes, 0.0, self.config.load_interval),
            PollKind::CacheEvents => {
                let reserve_bytes = self.config.burst_bytes * (1.0 - self.config.events_share);
                (self.events_bytes, reserve_bytes, self.config.events_interval)
            }
        };
        let mut due: Vec<(Instant, ServerId)> = self
            .servers
            .iter_mut()
            .map(|(id, server)| (*server.state(kind), id))
            .filter(|(state, _)| state.is_due(now))
            .map(|(state, id)| (state.due_at, id.clone()))
            .collect();
        due.sort_unstable();
        for (_, server) in due {
            if self.tokens_bytes - cost_bytes < reserve_bytes {
                return;
            }
            self.tokens_bytes -= cost_bytes;
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
