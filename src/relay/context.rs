//! What the parts of a relay node share.

use super::control::RelayControlEvent;
use super::metrics::RelayMetrics;
use super::settings::RelaySettings;
use crate::adapters::connection_pool::ConnectionPool;
use crate::adapters::http_server::ServerLimits;
use crate::decision::poison::PoisonState;
use crate::decision::relay::{Configuration, Fleet, ResendBudget};
use crate::ports::{CoordinationStore, Dialect, EngineControl};
use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::Sender;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Ports through which a relay node meets its site.
#[derive(Clone)]
pub struct RelayPorts {
    /// Translator of headers and records.
    pub dialect: Arc<dyn Dialect>,
    /// Store of records.
    pub store: Arc<dyn CoordinationStore>,
    /// Engines.
    pub engines: Arc<dyn EngineControl>,
}

/// Shared parts of a relay node.
pub struct RelayContext {
    /// Settings.
    pub settings: RelaySettings,
    /// Ports.
    pub ports: RelayPorts,
    /// Configuration in force, none before the first.
    pub configuration: ArcSwapOption<Configuration>,
    /// Limits of the callers' listener.
    pub caller_limits: Arc<ArcSwap<ServerLimits>>,
    /// Connections to servers.
    pub pool: Arc<ConnectionPool>,
    /// Metrics.
    pub metrics: RelayMetrics,
    /// Way to the control thread.
    pub control_events: Sender<RelayControlEvent>,
    /// Whether the node stops.
    pub is_stopping: AtomicBool,
    /// Whether servers were listed once.
    pub has_server_list: AtomicBool,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) resend_budget: Mutex<ResendBudget>,
    pub(super) poison: Mutex<PoisonState>,
    pub(super) next_number: AtomicU64,
}

impl RelayContext {
    /// Locks the servers.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the budget of resends.
    pub fn resend_budget(&self) -> MutexGuard<'_, ResendBudget> {
        self.resend_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the strikes against requests that crash servers.
    pub fn poison(&self) -> MutexGuard<'_, PoisonState> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the node should get new connections.
    pub fn is_ready(&self) -> bool {
        let is_configured =
            self.configuration.load().is_some() && self.has_server_list.load(Ordering::Acquire);
        is_configured && !self.is_stopping.load(Ordering::Acquire)
    }

    /// Tells the control thread of an event; one that it has no room for is dropped.
    pub(super) fn notify_control(&self, event: RelayControlEvent) {
        if self.control_events.try_send(event).is_err() {
            log::warn!("event=control_event_dropped reason=queue_full");
        }
    }
}
