//! What a node believes of a server's health: from its own exchanges, and from when other nodes last
//! heard the server and what they still await of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use strum::Display;

/// Time without a sign of a server that owes answers after which it gets no new requests; several
/// times the usual time to an answer.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// The same if other nodes heard the server meanwhile: its answers may not reach this node.
const MAX_LOCAL_SILENCE: Duration = Duration::from_millis(1_500);

/// First time for which a server that cannot be reached gets no new requests.
const FIRST_SUSPENSION: Duration = Duration::from_millis(300);

/// Doublings of the suspension at most.
const MAX_DOUBLINGS: u32 = 3;

/// Weight of the newest outcome in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Time in which the averages fall to a third without news, so that a bad server is tried again.
const DECAY_PERIOD: Duration = Duration::from_secs(4);

/// Milliseconds that a request loses to a server that fails all requests, used as cost.
const FAILURE_COST_MS: f64 = 600.0;

/// Slowness in milliseconds that is within the usual spread of answers.
const NORMAL_SLOWNESS_MS: f64 = 60.0;

/// Signs of a server, at one node or at several.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerContact {
    /// When it was heard last.
    pub last_contact_at: Option<Instant>,
    /// Since when the oldest request is unanswered, none if all are answered.
    pub unanswered_since: Option<Instant>,
}

impl ServerContact {
    /// Adds the signs at other nodes.
    pub fn merge(&mut self, other: Self) {
        self.last_contact_at = self.last_contact_at.max(other.last_contact_at);
        self.unanswered_since = match (self.unanswered_since, other.unanswered_since) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
    }

    /// Returns for how long the server has owed an answer and given no sign.
    fn silence(&self, now: Instant) -> Duration {
        let Some(unanswered_since) = self.unanswered_since else { return Duration::ZERO };
        let since = self
            .last_contact_at
            .map_or(unanswered_since, |last_contact_at| last_contact_at.max(unanswered_since));
        now.saturating_duration_since(since)
    }
}

/// Change of the belief whether a server is silent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum SilenceChange {
    /// It owes answers and has fallen silent.
    Silent,
    /// It was heard again.
    Heard,
}

/// Health of a server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    suspended_until: Option<Instant>,
    suspensions: u32,
    failure_rate: f64,
    slowness_ms: f64,
    updated_at: Option<Instant>,
    last_contact_at: Option<Instant>,
    unanswered: BTreeMap<u64, Instant>,
    /// When the server was found silent, none once it is heard again.
    silent_at: Option<Instant>,
}

impl Health {
    /// Takes in that request `attempt` was sent.
    pub fn record_sent(&mut self, attempt: u64, now: Instant) {
        self.unanswered.insert(attempt, now);
    }

    /// Takes in a sign of life.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact_at = Some(now);
    }

    /// Takes in that nothing more is awaited for `attempt`.
    pub fn clear_unanswered(&mut self, attempt: u64) {
        self.unanswered.remove(&attempt);
    }

    /// Takes in the outcome of an attempt and by how much it was slower than expected.
    pub fn record_outcome(&mut self, succeeded: bool, slower_by_ms: f64, now: Instant) {
        self.decay(now);
        if succeeded {
            self.suspensions = 0;
            self.suspended_until = None;
            self.slowness_ms += SMOOTHING_FACTOR * (slower_by_ms.max(0.0) - self.slowness_ms);
        }
        let failure = if succeeded { 0.0 } else { 1.0 };
        self.failure_rate += SMOOTHING_FACTOR * (failure - self.failure_rate);
    }

    /// Takes in that the server could not be reached; returns until when it gets no new requests.
    pub fn record_unreachable(&mut self, now: Instant) -> Instant {
        let period = FIRST_SUSPENSION * 2_u32.pow(self.suspensions.min(MAX_DOUBLINGS));
        if self.suspended_until.is_none_or(|until| until <= now) {
            self.suspensions += 1;
            self.suspended_until = Some(now + period);
        }
        self.suspended_until.unwrap_or(now)
    }

    /// Returns until when the server gets no new requests, none if it may get them.
    pub fn suspended_until(&self, now: Instant) -> Option<Instant> {
        self.suspended_until.filter(|until| now < *until)
    }

    /// Returns the signs of the server at this node.
    pub fn contact(&self) -> ServerContact {
        let unanswered_since = self.unanswered.values().min().copied();
        ServerContact { last_contact_at: self.last_contact_at, unanswered_since }
    }

    /// Whether the server owes answers and has given no sign for longer than usual; `others` are its
    /// signs at other nodes.
    pub fn is_silent(&self, others: ServerContact, now: Instant) -> bool {
        let own = self.contact();
        let mut all = own;
        all.merge(others);
        all.silence(now) > MAX_SILENCE || own.silence(now) > MAX_LOCAL_SILENCE
    }

    /// Takes in whether the server is silent; a silent one counts as failing until it is heard.
    /// Returns what changed.
    pub fn update_silence(&mut self, others: ServerContact, now: Instant) -> Option<SilenceChange> {
        let last_contact_at = self.last_contact_at.max(others.last_contact_at);
        if self.is_silent(others, now) {
            self.decay(now);
            self.failure_rate = 1.0;
            let was_silent = self.silent_at.replace(now).is_some();
            return (!was_silent).then_some(SilenceChange::Silent);
        }
        if self.silent_at.is_some_and(|silent_at| last_contact_at > Some(silent_at)) {
            self.silent_at = None;
            self.failure_rate = 0.0;
            return Some(SilenceChange::Heard);
        }
        None
    }

    /// Returns the milliseconds that a request is expected to lose at this server.
    pub fn cost_ms(&self, now: Instant) -> f64 {
        let factor = self.decay_factor(now);
        let slowness_ms = (self.slowness_ms * factor - NORMAL_SLOWNESS_MS).max(0.0);
        self.failure_rate * factor * FAILURE_COST_MS + slowness_ms
    }

    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        self.failure_rate *= factor;
        self.slowness_ms *= factor;
        self.updated_at = Some(now);
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 1.0 };
        let age = now.saturating_duration_since(updated_at);
        (-age.as_secs_f64() / DECAY_PERIOD.as_secs_f64()).exp()
    }
}
