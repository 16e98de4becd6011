//! Context of the traffic threads: ports, limits, the latest snapshot and the way to control.

use crate::admin::RecentDecisions;
use crate::control::{ControlEvent, Snapshot, TrafficReport};
use crate::decision::retry::RetryBudget;
use crate::metrics::Metrics;
use crate::ports::{ModelEngine, PlainService};
use crate::settings::Settings;
use crate::types::{InstanceId, RequestId};
use arc_swap::ArcSwap;
use async_channel::Sender;
use prometheus_client::registry::Registry;
use smol_str::format_smolstr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
    /// Set once the node drains.
    pub draining: AtomicBool,
    control: Sender<ControlEvent>,
    retry_budget: Mutex<RetryBudget>,
    next_request: AtomicU64,
}

impl TrafficContext {
    /// Returns the context of a node that has just started.
    pub fn new(
        instance: InstanceId,
        settings: Arc<Settings>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        engines: Arc<dyn ModelEngine>,
        services: Arc<dyn PlainService>,
        metrics: Metrics,
        control: Sender<ControlEvent>,
    ) -> Self {
        Self {
            instance,
            settings,
            snapshot,
            engines,
            services,
            decisions: RecentDecisions::default(),
            registry: metrics.registry(),
            metrics,
            draining: AtomicBool::new(false),
            control,
            retry_budget: Mutex::new(RetryBudget::new(std::time::Instant::now())),
            next_request: AtomicU64::new(0),
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

    /// Reports to the control thread without waiting; the report is dropped if control lags.
    pub fn report(&self, report: TrafficReport) {
        if self.control.try_send(ControlEvent::Traffic(report)).is_err() {
            log::debug!("event=traffic_report_dropped");
        }
    }
}
