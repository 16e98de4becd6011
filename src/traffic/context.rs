//! State shared by the traffic threads.

use super::admission_gate::AdmissionGate;
use super::shed_signals::ShedSignals;
use super::suspect_gate::SuspectGate;
use crate::adapters::caller_memory::{CallerMemory, DEFAULT_MEMORY_BYTES, limits_of_node};
use crate::admin::RecentDecisions;
use crate::control::{ClaimsMessage, ControlEvent, Snapshot, TrafficReport};
use crate::decision::power::PowerAccount;
use crate::decision::retry::RetryBudget;
use crate::metrics::Metrics;
use crate::ports::{ModelEngine, PlainService};
use crate::settings::{LimitSettings, Settings};
use crate::types::{InstanceId, RequestId};
use arc_swap::ArcSwap;
use async_channel::Sender;
use prometheus_client::registry::Registry;
use smol::Executor;
use smol_str::format_smolstr;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

/// State shared by the control thread and the traffic threads.
#[derive(Clone)]
pub struct SharedState {
    /// Instance id of this process; each start of a node has a new one.
    pub instance: InstanceId,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Latest snapshot of the control state.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Account of the watts that the node may commit.
    pub power: Arc<PowerAccount>,
    /// Signals to attempts that are stopped because the power budget no longer covers them.
    pub shed_signals: Arc<ShedSignals>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Dependencies of a [`TrafficContext`].
pub struct TrafficDependencies {
    /// State shared with the control thread.
    pub shared: SharedState,
    /// Client of the model engines.
    pub engines: Arc<dyn ModelEngine>,
    /// Client of the plain services.
    pub services: Arc<dyn PlainService>,
    /// Queue of events for the control thread.
    pub control_events: Sender<ControlEvent>,
    /// Executor of the traffic threads; weak, because its tasks hold the context.
    pub executor: Weak<Executor<'static>>,
}

/// State shared by the traffic threads.
pub struct TrafficContext {
    /// Instance id of this process; each start of a node has a new one.
    pub instance: InstanceId,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Latest snapshot of the control state.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Client of the model engines.
    pub engines: Arc<dyn ModelEngine>,
    /// Client of the plain services.
    pub services: Arc<dyn PlainService>,
    /// Recent routing decisions.
    pub decisions: RecentDecisions,
    /// Metrics.
    pub metrics: Metrics,
    /// Registry of the metrics, read by the metrics endpoint.
    pub registry: Registry,
    /// Account of the watts that the node may commit.
    pub power: Arc<PowerAccount>,
    /// Signals to attempts that are stopped because the power budget no longer covers them.
    pub shed_signals: Arc<ShedSignals>,
    /// Admission of model requests.
    pub admission: Arc<AdmissionGate>,
    /// Gate for requests suspected of crashing servers.
    pub suspects: SuspectGate,
    /// Memory that callers make the node hold.
    pub caller_memory: Arc<CallerMemory>,
    /// Whether the node drains; it then reports that it is not ready.
    pub is_draining: AtomicBool,
    executor: Weak<Executor<'static>>,
    control_events: Sender<ControlEvent>,
    retry_budget: Mutex<RetryBudget>,
    next_request_number: AtomicU64,
}

impl TrafficContext {
    /// Returns the context of a node that has just started.
    pub fn new(dependencies: TrafficDependencies) -> Self {
        let TrafficDependencies { shared, engines, services, control_events, executor } =
            dependencies;
        let LimitSettings { memory_mb, max_descriptors, .. } = shared.settings.limits;
        let memory_bytes = match memory_mb {
            0 => DEFAULT_MEMORY_BYTES,
            megabytes => megabytes << 20,
        };
        let max_descriptors = (max_descriptors > 0).then_some(max_descriptors);
        let limits = limits_of_node(memory_bytes, max_descriptors);
        let metrics = shared.metrics.caller_memory.clone();
        Self {
            caller_memory: CallerMemory::new(limits, metrics),
            instance: shared.instance,
            settings: shared.settings,
            snapshot: shared.snapshot,
            engines,
            services,
            decisions: RecentDecisions::default(),
            registry: shared.metrics.registry(),
            metrics: shared.metrics,
            power: shared.power,
            shed_signals: shared.shed_signals,
            admission: Arc::default(),
            suspects: SuspectGate::default(),
            is_draining: AtomicBool::new(false),
            executor,
            control_events,
            retry_budget: Mutex::new(RetryBudget::new(std::time::Instant::now())),
            next_request_number: AtomicU64::new(0),
        }
    }

    /// Runs `task` on the traffic threads.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Returns a new request id, unique across all nodes.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{}-{number}", self.instance)
    }

    /// Returns the retry budget of the node.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message about a claim to the control thread without waiting; returns whether it was
    /// sent.
    pub fn send_claims_message(&self, message: ClaimsMessage) -> bool {
        self.control_events.try_send(ControlEvent::Claims(message)).is_ok()
    }

    /// Notifies the control thread that the node stops.
    pub fn announce_stop(&self) {
        if self.control_events.try_send(ControlEvent::Stopping).is_err() {
            log::warn!("event=stop_not_announced");
        }
    }

    /// Sends a report to the control thread without waiting; drops it if the queue is full.
    pub fn report(&self, report: TrafficReport) {
        if self.control_events.try_send(ControlEvent::Traffic(report)).is_err() {
            log::debug!("event=traffic_report_dropped");
        }
    }
}
