//! Stand-in of a model engine: continuous batching, a bounded prefix cache and the faults of both.

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

/// Time from a crash to the return, where nothing else is asked for.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Running engine.
pub struct EngineStandIn {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    _reports: Task<()>,
}

impl EngineStandIn {
    /// Starts the engine with an empty cache.
    pub fn start(config: EngineConfig) -> anyhow::Result<Self> {
        let state = EngineState::new(&config, fastrand::u64(1..1 << 48), EngineFaults::default());
        let shared =
            Arc::new(EngineShared { state: Mutex::new(state), server: Mutex::new(None), config });
        let server = HttpServer::start(handler(&shared))?;
        let address = server.address();
        *lock(&shared.server) = Some(server);
        shared.config.ground_truth.add_watts(shared.config.idle_watts);
        shared.config.ground_truth.add_engine(Arc::downgrade(&shared));
        let reports = runtime::spawn(publish_reports(Arc::downgrade(&shared)));
        Ok(Self { address, shared, _reports: reports })
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the settings.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.config
    }

    /// Crashes the engine, which comes back empty after `down`.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Returns whether the engine is up.
    pub fn is_up(&self) -> bool {
        lock(&self.shared.state).is_up
    }

    /// Returns the number of requests accepted by the present incarnation.
    pub fn accepted_requests(&self) -> u64 {
        lock(&self.shared.state).batch.arrivals()
    }

    /// Returns the true number of running requests.
    pub fn running_requests(&self) -> usize {
        lock(&self.shared.state).batch.running()
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        drop(lock(&self.shared.server).take());
    }
}

impl EngineShared {
    /// Crashes the engine, which comes back empty after `down`.
    pub(crate) fn crash(self: &Arc<Self>, down: Duration) {
        let Some(server) = lock(&self.server).take() else { return };
        let address = server.address();
        self.config.ground_truth.count_crash();
        self.reset();
        let shared = Arc::clone(self);
        let restart = async move {
            server.stop().await;
            smol::Timer::after(down).await;
            match HttpServer::restart(address, handler(&shared)).await {
                Ok(server) => shared.come_back(server),
                Err(error) => log::error!("event=engine_restart_failed error=\"{error:#}\""),
            }
        };
        runtime::spawn(restart).detach();
    }

    /// Crashes the engine if `prompt` holds the poison marker.
    pub(crate) fn crash_if_poisoned(self: &Arc<Self>, prompt: &str) {
        let marker = self.config.poison_marker.as_deref();
        if marker.is_some_and(|marker| prompt.contains(marker)) {
            self.crash(RESTART_DELAY);
        }
    }

    /// Returns the one-way delay from the caller's zone, or `None` if the link is cut.
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

    /// Returns the time between two frames of a request.
    pub(crate) fn frame_interval(&self) -> Duration {
        let seconds =
            f64::from(self.config.tokens_per_frame) / f64::from(self.config.decode_tokens_per_s);
        Duration::from_secs_f64(seconds * lock(&self.state).faults.slow_factor)
    }

    /// Applies `order` and starts the loads that it asks for.
    pub(crate) fn apply_order(self: &Arc<Self>, order: &Order) -> OrderOutcome {
        let mut state = lock(&self.state);
        let incarnation = state.incarnation;
        let outcome = state.models.apply(order, self.config.checks_fencing);
        drop(state);
        let OrderOutcome::Accepted(models) = &outcome else { return outcome };
        for model in models.clone() {
            runtime::spawn(Arc::clone(self).load(model, incarnation)).detach();
        }
        outcome
    }

    async fn load(self: Arc<Self>, model: ServedModel, incarnation: u64) {
        if let Some(transfers) = &self.config.weight_store {
            transfers.transfer().await;
        }
        let mut state = lock(&self.state);
        if state.incarnation == incarnation {
            state.models.finish_load(&model);
        }
    }

    fn reset(&self) {
        let mut state = lock(&self.state);
        let running = u32::try_from(state.batch.running()).unwrap_or(u32::MAX);
        let watts = self.config.idle_watts + running * self.config.request_watts;
        let faults = state.faults.clone();
        *state = EngineState::new(&self.config, state.incarnation + 1, faults);
        state.is_up = false;
        drop(state);
        self.config.ground_truth.remove_watts(watts);
    }

    fn come_back(&self, server: HttpServer) {
        lock(&self.state).is_up = true;
        self.config.ground_truth.add_watts(self.config.idle_watts);
        *lock(&self.server) = Some(server);
    }
}

fn handler(shared: &Arc<EngineShared>) -> Handler {
    // A weak reference, since the shared state holds the server that holds the handler.
    let shared = Arc::downgrade(shared);
    Arc::new(move |request| {
        let shared = shared.upgrade();
        Box::pin(async move {
            let shared = shared.ok_or_else(|| anyhow::anyhow!("the engine is gone"))?;
            http::answer(shared, request).await
        })
    })
}

/// Publishes a report each half of the lag, of the state one half before.
async fn publish_reports(shared: Weak<EngineShared>) {
    let mut previous: Option<LoadReport> = None;
    loop {
        let Some(engine) = shared.upgrade() else { return };
        let half_lag = {
            let mut state = lock(&engine.state);
            let now = LoadReport::of(&state, engine.config.prefill_tokens_per_s);
            let incarnation = now.incarnation;
            if let Some(report) = previous.replace(now)
                && report.incarnation == incarnation
            {
                state.published = report;
            }
            Duration::from_millis(
                (engine.config.load_lag_ms + state.faults.extra_load_lag_ms).max(2) / 2,
            )
        };
        drop(engine);
        smol::Timer::after(half_lag).await;
    }
}
