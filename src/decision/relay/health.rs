//! Health of a server, estimated from this node's own requests and from the last contact and the
//! unanswered requests that other nodes report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use strum::Display;

/// Time without contact after which a server with unanswered requests gets no new ones; several
/// times the usual time to an answer.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Like `MAX_SILENCE`, if other nodes still have contact: answers may fail to reach only this node.
const MAX_LOCAL_SILENCE: Duration = Duration::from_millis(1_500);

/// Length of the first suspension of an unreachable server.
const FIRST_SUSPENSION: Duration = Duration::from_millis(300);

/// Maximum doublings of the suspension.
const MAX_DOUBLINGS: u32 = 3;

/// Weight of the newest outcome in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Time in which the averages decay to a third without new outcomes, so that a bad server is tried
/// again.
const DECAY_PERIOD: Duration = Duration::from_secs(4);

/// Cost of a server that fails all requests: the milliseconds that a request loses there.
const FAILURE_COST_MS: f64 = 600.0;

/// Milliseconds of slowness that are within the usual spread of answer times.
const NORMAL_SLOWNESS_MS: f64 = 60.0;

/// Last contact and oldest unanswered request of a server, at one or several nodes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerContact {
    /// When the server last sent anything.
    pub last_contact_at: Option<Instant>,
    /// Since when the oldest unanswered request has waited, `None` if all are answered.
    pub unanswered_since: Option<Instant>,
}

impl ServerContact {
    /// Merges the contact of other nodes.
    pub fn merge(&mut self, other: Self) {
        self.last_contact_at = self.last_contact_at.max(other.last_contact_at);
        self.unanswered_since = match (self.unanswered_since, other.unanswered_since) {
            (Some(local), Some(other)) => Some(local.min(other)),
            (local, other) => local.or(other),
        };
    }

    /// Returns for how long the server has left requests unanswered without any contact.
    pub fn silence(&self, now: Instant) -> Duration {
        let Some(unanswered_since) = self.unanswered_since else { return Duration::ZERO };
        let since = self
            .last_contact_at
            .map_or(unanswered_since, |last_contact_at| last_contact_at.max(unanswered_since));
        now.saturating_duration_since(since)
    }
}

/// Change of a server between silent and responsive.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum SilenceChange {
    /// The server has unanswered requests and no recent contact.
    Silent,
    /// The server was in contact again after it had been silent.
    #[strum(serialize = "heard")]
    Contact,
}

/// Health of a server, as one node estimates it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// End of the suspension after the server was unreachable.
    suspended_until: Option<Instant>,
    /// Suspensions since the last success.
    suspensions: u32,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Moving average of the milliseconds by which answers exceeded the expectation.
    slowness_ms: f64,
    /// Time up to which the averages have decayed.
    updated_at: Option<Instant>,
    /// When the server last sent this node anything.
    last_contact_at: Option<Instant>,
    /// Unanswered attempts with the times at which they were sent.
    unanswered: BTreeMap<u64, Instant>,
    /// When the server was last found silent, `None` after a later contact.
    silent_at: Option<Instant>,
    /// Time that the reports of other nodes take to arrive.
    report_delay: Duration,
    /// Whether this node has lost all servers of the service.
    is_cut_off: bool,
}

impl Health {
    /// Returns the health of a server without a history, of which other nodes report with
    /// `report_delay`.
    pub fn new(report_delay: Duration) -> Self {
        Self { report_delay, ..Self::default() }
    }

    /// Returns the time that the reports of other nodes take to arrive.
    pub fn report_delay(&self) -> Duration {
        self.report_delay
    }

    /// Sets the time that the reports of other nodes take to arrive.
    pub fn set_report_delay(&mut self, report_delay: Duration) {
        self.report_delay = report_delay;
    }

    /// Sets whether this node has lost all servers of the service. Unanswered requests say nothing
    /// about the server then.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Records that attempt `attempt` was sent.
    pub fn record_sent(&mut self, attempt: u64, now: Instant) {
        self.unanswered.insert(attempt, now);
    }

    /// Records that the server sent something.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact_at = Some(now);
    }

    /// Removes `attempt` from the unanswered ones.
    pub fn clear_unanswered(&mut self, attempt: u64) {
        self.unanswered.remove(&attempt);
    }

    /// Records the outcome of an attempt and by how many milliseconds it exceeded the expectation.
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

    /// Records a failed connection; returns until when the server is suspended.
    pub fn record_unreachable(&mut self, now: Instant) -> Instant {
        let suspension = FIRST_SUSPENSION * 2_u32.pow(self.suspensions.min(MAX_DOUBLINGS));
        if self.suspended_until.is_none_or(|until| until <= now) {
            self.suspensions += 1;
            self.suspended_until = Some(now + suspension);
        }
        self.suspended_until.unwrap_or(now)
    }

    /// Returns until when the server gets no new requests, `None` if it may get them.
    pub fn suspended_until(&self, now: Instant) -> Option<Instant> {
        self.suspended_until.filter(|until| now < *until)
    }

    /// Returns the contact of this node with the server.
    pub fn contact(&self) -> ServerContact {
        let unanswered_since = self.unanswered.values().min().copied().filter(|_| !self.is_cut_off);
        ServerContact { last_contact_at: self.last_contact_at, unanswered_since }
    }

    /// Whether the server has unanswered requests and no contact for longer than usual; `others` is
    /// its contact with other nodes.
    pub fn is_silent(&self, others: ServerContact, now: Instant) -> bool {
        let local = self.contact();
        let mut combined = local;
        combined.merge(others);
        combined.silence(now) > MAX_SILENCE + self.report_delay
            || local.silence(now) > MAX_LOCAL_SILENCE
    }

    /// Updates whether the server is silent and returns the change. Each update of a silent server
    /// sets its failure rate to 1; the first later contact sets the rate to 0.
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
            return Some(SilenceChange::Contact);
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
