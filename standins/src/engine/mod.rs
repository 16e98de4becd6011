//! Stand-in for a model engine, with continuous batching, a bounded prefix cache and faults.

pub mod answer;
pub mod batch;
pub mod cache;
pub mod config;
mod estimate;
pub mod events;
mod generation;
mod http;
pub mod models;
pub mod prompt;
pub mod report;
pub mod request;
pub mod shared;

pub use config::{EngineConfig, ServedModel};
pub use estimate::FirstTokenEstimate;
pub use shared::{EngineFaults, EngineShared};

use crate::http_server::{Handler, HttpServer};
use crate::runtime::{self, lock};
use ::http::Request;
use bytes::Bytes;
use models::{Order, OrderOutcome};
use report::LoadReport;
use shared::EngineState;
use smol::Task;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Downtime after a crash caused by a poison prompt.
const POISON_DOWNTIME: Duration = Duration::from_millis(500);

/// Running engine.
pub struct EngineStandIn {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    _report_task: Task<()>,
}

impl EngineStandIn {
    /// Starts the engine with an empty cache.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(config: EngineConfig) -> anyhow::Result<Self> {
        let state = EngineState::new(&config, fastrand::u64(1..1 << 48), EngineFaults::default());
        let shared =
            Arc::new(EngineShared { state: Mutex::new(state), server: Mutex::new(None), config });
        let server = HttpServer::start(handler(&shared))?;
        let address = server.address();
        *lock(&shared.server) = Some(server);
        shared.config.ground_truth.add_watts(shared.config.idle_watts);
        shared.config.ground_truth.add_engine(Arc::downgrade(&shared));
        let report_task = runtime::spawn(publish_reports(Arc::downgrade(&shared)));
        Ok(Self { address, shared, _report_task: report_task })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the settings.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.config
    }

    /// Crashes the engine, unless it is already down; it restarts with an empty cache after
    /// `downtime`.
    pub fn crash(&self, downtime: Duration) {
        self.shared.crash(downtime);
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Returns whether the engine is running, not down after a crash.
    pub fn is_up(&self) -> bool {
        lock(&self.shared.state).is_up
    }

    /// Returns the number of requests accepted by the current incarnation.
    pub fn accepted_requests(&self) -> u64 {
        lock(&self.shared.state).batch.accepted_requests()
    }

    /// Returns the actual number of running requests, which the load report shows late.
    pub fn running_requests(&self) -> usize {
        lock(&self.shared.state).batch.running_requests()
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        drop(lock(&self.shared.server).take());
    }
}

impl EngineShared {
    /// Crashes the engine, unless it is already down; it restarts with an empty cache after
    /// `downtime`.
    pub(crate) fn crash(self: &Arc<Self>, downtime: Duration) {
        let Some(server) = lock(&self.server).take() else { return };
        let address = server.address();
        self.config.ground_truth.count_crash();
        self.start_incarnation();
        let shared = Arc::clone(self);
        let restart = async move {
            server.stop().await;
            smol::Timer::after(downtime).await;
            match HttpServer::restart(address, handler(&shared)).await {
                Ok(server) => shared.finish_restart(server),
                Err(error) => log::error!("event=engine_restart_failed error=\"{error:#}\""),
            }
        };
        runtime::spawn(restart).detach();
    }

    /// Crashes the engine if `prompt` contains the poison marker.
    pub(crate) fn crash_if_poisoned(self: &Arc<Self>, prompt: &str) {
        let marker = self.config.poison_marker.as_deref();
        if marker.is_some_and(|marker| prompt.contains(marker)) {
            self.crash(POISON_DOWNTIME);
        }
    }

    /// Returns the one-way delay from the caller's availability zone, or `None` if the link is cut.
    pub(crate) fn link_delay(&self, request: &Request<Bytes>) -> Option<Duration> {
        let header = |name: &str| request.headers().get(name).and_then(|text| text.to_str().ok());
        let Some(caller_zone) = header("x-caller-zone") else { return Some(Duration::ZERO) };
        let zone = &self.config.availability_zone;
        if self.config.zone_delays.is_cut(caller_zone, zone) {
            return None;
        }
        let message = header("x-request-id").unwrap_or_default();
        Some(self.config.zone_delays.delay(caller_zone, zone, message))
    }

    /// Returns the time between two frames of one stream.
    pub(crate) fn frame_interval(&self) -> Duration {
        let seconds =
            f64::from(self.config.tokens_per_frame) / f64::from(self.config.decode_tokens_per_s);
        Duration::from_secs_f64(seconds * lock(&self.state).faults.slow_factor)
    }

    /// Applies `order` and starts to load the models that are missing.
    pub(crate) fn apply_order(self: &Arc<Self>, order: &Order) -> OrderOutcome {
        let mut state = lock(&self.state);
        let incarnation = state.incarnation;
        let outcome = state.models.apply(order, self.config.checks_fencing);
        drop(state);
        let OrderOutcome::Accepted(models) = &outcome else { return outcome };
        for model in models.clone() {
            runtime::spawn(Arc::clone(self).load_model(model, incarnation)).detach();
        }
        outcome
    }

    async fn load_model(self: Arc<Self>, model: ServedModel, incarnation: u64) {
        if let Some(transfers) = &self.config.weight_store {
            transfers.transfer().await;
        }
        let mut state = lock(&self.state);
        if state.incarnation == incarnation {
            state.models.finish_load(&model);
        }
    }

    /// Replaces the state by that of the next incarnation, which stays down until its server runs.
    fn start_incarnation(&self) {
        let mut state = lock(&self.state);
        let running = u32::try_from(state.batch.running_requests()).unwrap_or(u32::MAX);
        let watts = self.config.idle_watts + running * self.config.request_watts;
        let faults = state.faults.clone();
        *state = EngineState::new(&self.config, state.incarnation + 1, faults);
        state.is_up = false;
        drop(state);
        self.config.ground_truth.remove_watts(watts);
    }

    fn finish_restart(&self, server: HttpServer) {
        lock(&self.state).is_up = true;
        self.config.ground_truth.add_watts(self.config.idle_watts);
        *lock(&self.server) = Some(server);
    }
}

fn handler(shared: &Arc<EngineShared>) -> Handler {
    // A weak reference avoids a cycle: the shared state owns the server, which owns the handler.
    let shared = Arc::downgrade(shared);
    Arc::new(move |request| {
        let shared = shared.upgrade();
        Box::pin(async move {
            let shared = shared.ok_or_else(|| anyhow::anyhow!("the engine has been dropped"))?;
            http::answer(shared, request).await
        })
    })
}

/// Publishes load reports until the engine is dropped.
///
/// Every half of the lag it publishes the report taken half a lag earlier, so that a published
/// report is between half a lag and a full lag old.
async fn publish_reports(shared: Weak<EngineShared>) {
    let mut previous: Option<LoadReport> = None;
    loop {
        let Some(engine) = shared.upgrade() else { return };
        let half_lag = {
            let mut state = lock(&engine.state);
            let current = LoadReport::new(&state, engine.config.prefill_tokens_per_s);
            let incarnation = current.incarnation;
            if let Some(report) = previous.replace(current)
                && report.incarnation == incarnation
            {
                state.published_report = report;
            }
            Duration::from_millis(
                (engine.config.load_lag_ms + state.faults.extra_load_lag_ms).max(2) / 2,
            )
        };
        drop(engine);
        smol::Timer::after(half_lag).await;
    }
}
