//! State shared by the threads of a relay node.

use super::control::RelayControlEvent;
use super::metrics::RelayMetrics;
use super::peers::PeerQueries;
use super::planned_stop::PlannedStop;
use super::settings::RelaySettings;
use crate::adapters::caller_memory::CallerMemory;
use crate::adapters::connection_pool::ConnectionPool;
use crate::adapters::http_server::ListenerLimits;
use crate::decision::poison::{CrashEvidence, PoisonState};
use crate::decision::relay::quota::QuotaLedger;
use crate::decision::relay::{Configuration, Fleet, Gateways, Reach, ResendBudget, StreamOrigins};
use crate::links::Identity;
use crate::ports::{CoordinationStore, Dialect, EngineControl};
use crate::relay::suspension_detector::BootClock;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::Sender;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Adapters of a relay node to its site.
#[derive(Clone)]
pub struct RelayPorts {
    /// Translates headers and records.
    pub dialect: Arc<dyn Dialect>,
    /// Client of the record store.
    pub store: Arc<dyn CoordinationStore>,
    /// Client for reports and orders of engines.
    pub engines: Arc<dyn EngineControl>,
}

/// State shared by the traffic and control threads.
pub struct RelayContext {
    /// Settings.
    pub settings: RelaySettings,
    /// When the node started.
    pub started_at: Instant,
    /// Ports.
    pub ports: RelayPorts,
    /// Configuration in force, `None` until one is known.
    pub configuration: ArcSwapOption<Configuration>,
    /// When this node must not decide by the configuration in force, since it lacks a newer one.
    pub outdated_period: ArcSwapOption<Range<Instant>>,
    /// Limits of the callers' listener, replaced by each configuration that sets limits.
    pub caller_limits: Arc<ArcSwap<ListenerLimits>>,
    /// Connections to servers and to the record store.
    pub pool: Arc<ConnectionPool>,
    /// Memory that callers make the node hold.
    pub caller_memory: Arc<CallerMemory>,
    /// Metrics.
    pub metrics: RelayMetrics,
    /// Queue of events for the control thread.
    pub control_events: Sender<RelayControlEvent>,
    /// Whether the node is stopping.
    pub is_stopping: AtomicBool,
    /// How far the stop is.
    pub stop: PlannedStop,
    /// Whether the list of servers is known.
    pub has_server_list: AtomicBool,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) resend_budget: Mutex<ResendBudget>,
    pub(super) poison: Mutex<PoisonState>,
    pub(super) crash_evidence: Mutex<CrashEvidence>,
    pub(super) origins: Mutex<StreamOrigins>,
    pub(super) quotas: Mutex<QuotaLedger>,
    /// Clock of the quotas: what is granted before a suspension must not be granted once more after it.
    pub quota_clock: BootClock,
    /// Queries between nodes.
    pub(super) peer_queries: PeerQueries,
    /// Connections to other nodes, by way of which requests are sent.
    pub(super) peer_pool: Arc<ConnectionPool>,
    /// Identity that this node proves on these connections.
    pub(super) identity: Identity,
    pub(super) reach: Mutex<Reach>,
    pub(super) gateways: Mutex<Gateways>,
    /// Requests of other nodes that this one is sending on.
    pub(super) forwarded_requests: AtomicU32,
    /// Next number of an attempt, a query or a partner link.
    pub(super) next_number: AtomicU64,
}

impl RelayContext {
    /// Locks the state of the servers.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the resend budget.
    pub fn resend_budget(&self) -> MutexGuard<'_, ResendBudget> {
        self.resend_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the strikes against requests that crash servers.
    pub fn poison(&self) -> MutexGuard<'_, PoisonState> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the evidence of what crashes servers.
    pub fn crash_evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        self.crash_evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the origins of streams.
    pub fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the quotas of workspaces that this node owns.
    pub fn quotas(&self) -> MutexGuard<'_, QuotaLedger> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the links to servers.
    pub fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the nodes that may send requests on.
    pub fn gateways(&self) -> MutexGuard<'_, Gateways> {
        self.gateways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the node is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let is_configured =
            self.configuration.load().is_some() && self.has_server_list.load(Ordering::Acquire);
        is_configured && !self.is_stopping.load(Ordering::Acquire)
    }

    /// Sends an event to the control thread; drops it if the queue is full.
    pub(super) fn notify_control(&self, event: RelayControlEvent) {
        if self.control_events.try_send(event).is_err() {
            log::warn!("event=control_event_dropped reason=queue_full");
        }
    }
}
