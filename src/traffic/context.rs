//! Context of the traffic threads: ports, limits, the latest snapshot and the way to control.

use super::admission_gate::AdmissionGate;
use super::shed_signals::ShedSignals;
use super::suspect_gate::SuspectGate;
use crate::admin::RecentDecisions;
use crate::control::{ClaimsMessage, ControlEvent, Snapshot, TrafficReport};
use crate::decision::power::PowerAccount;
use crate::decision::retry::RetryBudget;
use crate::metrics::Metrics;
use crate::ports::{ModelEngine, PlainService};
use crate::settings::Settings;
use crate::types::{InstanceId, RequestId};
use arc_swap::ArcSwap;
use async_channel::Sender;
use prometheus_client::registry::Registry;
use smol::Executor;
use smol_str::format_smolstr;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

/// What the control thread and the traffic threads share.
#[derive(Clone)]
pub struct SharedState {
    /// Id of this run of the node.
    pub instance: InstanceId,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Latest snapshot of the control state.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Watts that the node may commit.
    pub power: Arc<PowerAccount>,
    /// Signals to attempts whose watts are withdrawn.
    pub shed_signals: Arc<ShedSignals>,
    /// Metrics.
    pub metrics: Metrics,
}

/// What the context of the traffic threads is made from.
pub struct TrafficDependencies {
    /// Parts shared with the control thread.
    pub shared: SharedState,
    /// Model engines.
    pub engines: Arc<dyn ModelEngine>,
    /// Plain services.
    pub services: Arc<dyn PlainService>,
    /// Events of the control thread.
    pub control: Sender<ControlEvent>,
    /// Executor of the traffic threads, held weakly since its tasks hold the context.
    pub executor: Weak<Executor<'static>>,
}

/// What traffic threads share.
pub struct TrafficContext {
    /// Id of this run of the node.
    pub instance: InstanceId,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Latest snapshot of the control state.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Model engines.
    pub engines: Arc<dyn ModelEngine>,
    /// Plain services.
    pub services: Arc<dyn PlainService>,
    /// Recent routing decisions.
    pub decisions: RecentDecisions,
    /// Metrics.
    pub metrics: Metrics,
    /// Registry that exposes the metrics.
    pub registry: Registry,
    /// Watts that the node may commit.
    pub power: Arc<PowerAccount>,
    /// Signals to attempts whose watts are withdrawn.
    pub shed_signals: Arc<ShedSignals>,
    /// Admission of model requests.
    pub admission: Arc<AdmissionGate>,
    /// Keeps requests that may crash servers apart.
    pub suspects: SuspectGate,
    /// Set once the node drains.
    pub draining: AtomicBool,
    executor: Weak<Executor<'static>>,
    control: Sender<ControlEvent>,
    retry_budget: Mutex<RetryBudget>,
    next_request: AtomicU64,
}

impl TrafficContext {
    /// Returns the context of a node that has just started.
    pub fn new(parts: TrafficDependencies) -> Self {
        let TrafficDependencies { shared, engines, services, control, executor } = parts;
        Self {
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
            draining: AtomicBool::new(false),
            executor,
            control,
            retry_budget: Mutex::new(RetryBudget::new(std::time::Instant::now())),
            next_request: AtomicU64::new(0),
        }
    }

    /// Runs `task` on the traffic threads.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Returns an id for a new request, unique over all nodes.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{}-{number}", self.instance)
    }

    /// Returns the retry budget of the node.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a claim's message to the control thread without waiting; returns whether it was sent.
    pub fn send_claim(&self, message: ClaimsMessage) -> bool {
        self.control.try_send(ControlEvent::Claims(message)).is_ok()
    }

    /// Tells the control thread that the node stops.
    pub fn send_stopping(&self) {
        if self.control.try_send(ControlEvent::Stopping).is_err() {
            log::warn!("event=stop_not_announced");
        }
    }

    /// Reports to the control thread without waiting; the report is dropped if control lags.
    pub fn report(&self, report: TrafficReport) {
        if self.control.try_send(ControlEvent::Traffic(report)).is_err() {
            log::debug!("event=traffic_report_dropped");
        }
    }
}
