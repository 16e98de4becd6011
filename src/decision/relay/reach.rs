//! Whether this node reaches the servers of a service.
//!
//! A node may lose its links to all servers while callers, the store and other nodes still reach it.
//! A server to which no connection can be opened has probably failed; if that holds for many servers
//! and none is heard, it is probably this node that is cut off, and requests go by way of others.

use crate::types::{ServerId, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use strum::Display;

/// Servers that are tried at a time.
pub const MAX_TRIED_SERVERS: usize = 3;

/// Servers of a service that must be unreachable before it counts as lost, if it has as many.
const MIN_LOST_SERVERS: usize = 3;

/// Servers that a request may find unreachable before it goes by way of another node.
const MAX_FAILED_SERVERS: usize = 2;

/// Part of the servers that must be unreachable while others are heard on open connections.
const LOST_FRACTION: f64 = 0.75;

/// The same while others may only be idle. Servers beyond the first ones are tried on purpose, so
/// that a few that are down do not look like lost links.
const CONFIRMED_LOST_SERVERS: usize = 2 * MIN_LOST_SERVERS;

/// Time without contact after which unanswered requests make the node try its links, and a service
/// with too few reachable servers counts as lost.
const MAX_SERVICE_SILENCE: Duration = Duration::from_millis(400);

/// Time for which a failed connection counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// Time between two trials of the links to a service.
const TRIAL_PERIOD: Duration = Duration::from_millis(400);

/// Successful trials in a row after which the servers count as reachable again.
const REQUIRED_TRIALS: u32 = 2;

/// Time in which direct requests grow from a part of all to all, once servers are reachable again.
const RETURN_PERIOD: Duration = Duration::from_millis(2_000);

/// Part of the requests that are sent directly at the begin of that time.
const FIRST_RETURN_FRACTION: f64 = 0.1;

/// Change of what a node believes of a service.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ReachChange {
    /// The node has lost the servers.
    Lost,
    /// The node reaches the servers again.
    Regained,
}

/// Links to be tried by opening a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Trial {
    /// Those to these servers, which leave requests unanswered.
    Servers(Vec<ServerId>),
    /// Those to some servers other than these, which are unreachable.
    Others(Vec<ServerId>),
    /// That to any server, since the node has lost them all.
    AnyServer,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    /// Requests are sent directly.
    #[default]
    Direct,
    /// No server can be reached.
    Lost {
        /// Successful trials in a row.
        trials: u32,
    },
    /// A growing part of the requests is sent directly.
    Returning {
        /// Since when.
        since: Instant,
    },
}

/// Reach of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    phase: Phase,
    /// Servers to which connections failed since one was last opened, with the times.
    failures: BTreeMap<ServerId, Instant>,
    /// When a server last sent anything.
    last_contact_at: Option<Instant>,
    /// Unanswered attempts with their servers and the times at which they were sent.
    unanswered: BTreeMap<u64, (ServerId, Instant)>,
    last_trial_at: Option<Instant>,
}

impl ServiceReach {
    fn is_silent(&self, now: Instant) -> bool {
        self.last_contact_at.is_none_or(|at| now >= at + MAX_SERVICE_SILENCE)
    }

    /// Returns the number of servers that could not be reached lately.
    fn failed_servers(&self, now: Instant) -> usize {
        self.failures.values().filter(|at| now < **at + FAILURE_LIFETIME).count()
    }

    /// Whether too few of `servers` servers can be reached.
    fn is_lost(&self, servers: usize, now: Instant) -> bool {
        let failed = self.failed_servers(now);
        let are_nearly_all = failed as f64 >= servers as f64 * LOST_FRACTION;
        servers > 0
            && failed >= MIN_LOST_SERVERS.min(servers)
            && (are_nearly_all
                || failed >= CONFIRMED_LOST_SERVERS.min(servers) && self.is_silent(now))
    }

    /// Returns the servers that have left requests unanswered while none of the service was heard.
    fn silent_servers(&self, now: Instant) -> BTreeSet<&ServerId> {
        if !self.is_silent(now) {
            return BTreeSet::new();
        }
        let overdue =
            self.unanswered.values().filter(|(_, sent_at)| now >= *sent_at + MAX_SERVICE_SILENCE);
        overdue.map(|(server, _)| server).collect()
    }
}

/// Reach of all services.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: BTreeMap<ServiceId, ServiceReach>,
}

impl Reach {
    /// Records that attempt `attempt` was sent to a server.
    pub fn record_sent(
        &mut self,
        service: &ServiceId,
        server: &ServerId,
        attempt: u64,
        now: Instant,
    ) {
        self.service(service).unanswered.insert(attempt, (server.clone(), now));
    }

    /// Records that a server sent something.
    pub fn record_contact(&mut self, service: &ServiceId, attempt: u64, now: Instant) {
        let reach = self.service(service);
        reach.unanswered.remove(&attempt);
        reach.last_contact_at = Some(now);
    }

    /// Records that an attempt has ended.
    pub fn record_ended(&mut self, service: &ServiceId, attempt: u64) {
        self.service(service).unanswered.remove(&attempt);
    }

    /// Records that a connection to one of the `servers` servers of a service could not be opened;
    /// returns what the node now believes if that has changed.
    pub fn record_unreachable(
        &mut self,
        service: &ServiceId,
        server: &ServerId,
        servers: usize,
        now: Instant,
    ) -> Option<ReachChange> {
        let reach = self.service(service);
        reach.failures.retain(|_, at| now < *at + FAILURE_LIFETIME);
        reach.failures.insert(server.clone(), now);
        if let Phase::Lost { trials } = &mut reach.phase {
            *trials = 0;
            return None;
        }
        if !reach.is_lost(servers, now) {
            return None;
        }
        reach.phase = Phase::Lost { trials: 0 };
        reach.last_trial_at = Some(now);
        Some(ReachChange::Lost)
    }

    /// Records that a connection to a server was opened; returns what the node now believes if that
    /// has changed.
    pub fn record_opened(&mut self, service: &ServiceId, now: Instant) -> Option<ReachChange> {
        let reach = self.service(service);
        reach.failures.clear();
        let Phase::Lost { trials } = &mut reach.phase else { return None };
        *trials += 1;
        if *trials < REQUIRED_TRIALS {
            return None;
        }
        reach.phase = Phase::Returning { since: now };
        Some(ReachChange::Regained)
    }

    /// Returns the links that are tried now.
    pub fn due_trials(&mut self, now: Instant) -> Vec<(ServiceId, Trial)> {
        let mut due = Vec::new();
        for (service, reach) in &mut self.services {
            if let Phase::Returning { since } = reach.phase
                && now >= since + RETURN_PERIOD
            {
                reach.phase = Phase::Direct;
            }
            if reach.last_trial_at.is_some_and(|at| now < at + TRIAL_PERIOD) {
                continue;
            }
            let trial = match reach.phase {
                Phase::Lost { .. } => Trial::AnyServer,
                Phase::Direct | Phase::Returning { .. }
                    if reach.failed_servers(now) >= MIN_LOST_SERVERS && reach.is_silent(now) =>
                {
                    Trial::Others(reach.failures.keys().cloned().collect())
                }
                Phase::Direct | Phase::Returning { .. } => {
                    let silent = reach.silent_servers(now).into_iter().take(MAX_TRIED_SERVERS);
                    Trial::Servers(silent.cloned().collect())
                }
            };
            if trial == Trial::Servers(Vec::new()) {
                continue;
            }
            reach.last_trial_at = Some(now);
            due.push((service.clone(), trial));
        }
        due
    }

    /// Whether the node has lost the servers of a service.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| matches!(reach.phase, Phase::Lost { .. }))
    }

    /// Whether a request is sent directly that has found `failed` servers unreachable; `draw` is a
    /// random number from 0 to 1.
    pub fn is_direct(&self, service: &ServiceId, failed: usize, draw: f64, now: Instant) -> bool {
        match self.services.get(service).map_or(Phase::Direct, |reach| reach.phase) {
            Phase::Direct => failed < MAX_FAILED_SERVERS,
            Phase::Lost { .. } => false,
            Phase::Returning { since } => {
                let elapsed = now.saturating_duration_since(since).as_secs_f64();
                let fraction = elapsed / RETURN_PERIOD.as_secs_f64();
                failed == 0 && draw < fraction.max(FIRST_RETURN_FRACTION)
            }
        }
    }

    /// Returns the services for which other nodes may be needed.
    pub fn doubtful_services(&self, now: Instant) -> Vec<ServiceId> {
        let is_doubtful = |reach: &ServiceReach| {
            reach.phase != Phase::Direct || reach.failed_servers(now) >= MAX_FAILED_SERVERS
        };
        let doubtful = self.services.iter().filter(|(_, reach)| is_doubtful(reach));
        doubtful.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services that the node has lost.
    pub fn lost_services(&self) -> Vec<ServiceId> {
        let lost = self.services.iter();
        let lost = lost.filter(|(_, reach)| matches!(reach.phase, Phase::Lost { .. }));
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services that the node has lost, or had lost until recently.
    pub fn impaired_services(&self) -> Vec<ServiceId> {
        let impaired = self.services.iter().filter(|(_, reach)| reach.phase != Phase::Direct);
        impaired.map(|(service, _)| service.clone()).collect()
    }

    fn service(&mut self, service: &ServiceId) -> &mut ServiceReach {
        self.services.entry(service.clone()).or_default()
    }
}
