//! Stand-in for a plain HTTP service, which counts its runs by idempotency key.

use crate::ground_truth::GroundTruth;
use crate::http_server::{Handler, HandlerResult, HttpServer, json_response};
use crate::runtime::lock;
use anyhow::bail;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Path that lists the runs by key.
const RUNS_PATH: &str = "/_runs";

/// Settings of a plain service.
#[derive(Clone, Default)]
pub struct PlainServiceConfig {
    /// Service name, returned in each answer.
    pub name: String,
    /// Latency of each call, in milliseconds.
    pub latency_ms: u64,
    /// Counters of the site, if the service belongs to one.
    pub ground_truth: Option<Arc<GroundTruth>>,
}

/// Faults that can be switched on while the service runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlainServiceFaults {
    /// Whether calls take effect but their connection closes without an answer.
    pub lose_answers: bool,
}

/// Running plain service.
pub struct PlainServiceStandIn {
    server: HttpServer,
    shared: Arc<Shared>,
}

struct Shared {
    config: PlainServiceConfig,
    faults: Mutex<PlainServiceFaults>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl PlainServiceStandIn {
    /// Starts the service with no runs counted.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(config: PlainServiceConfig) -> anyhow::Result<Self> {
        let shared = Arc::new(Shared { config, faults: Mutex::default(), runs: Mutex::default() });
        let served = Arc::clone(&shared);
        let handler: Handler =
            Arc::new(move |request| Box::pin(answer(Arc::clone(&served), request)));
        Ok(Self { server: HttpServer::start(handler)?, shared })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the number of runs by idempotency key; calls without a key are not counted.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.runs).clone()
    }
}

impl Shared {
    /// Counts a run with `key` and returns the number of runs with it so far.
    fn count_run(&self, key: &str) -> u32 {
        if let Some(ground_truth) = &self.config.ground_truth {
            ground_truth.count_run(key);
        }
        let mut runs = lock(&self.runs);
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Bytes>) -> HandlerResult {
    if request.uri().path() == RUNS_PATH {
        let runs = lock(&shared.runs).clone();
        let runs: Vec<Value> =
            runs.iter().map(|(key, runs)| json!({"key": key, "runs": runs})).collect();
        return json_response(StatusCode::OK, &json!({ "runs": runs }));
    }
    let key = header_text(request.headers(), "idempotency-key");
    // The run is counted first, so that a call whose caller disconnects still counts.
    let runs = if key.is_empty() { 1 } else { shared.count_run(&key) };
    smol::Timer::after(Duration::from_millis(shared.config.latency_ms)).await;
    if lock(&shared.faults).lose_answers {
        bail!("answer of the call with key `{key}` is lost");
    }
    let answer = json!({
        "service": shared.config.name,
        "method": request.method().as_str(),
        "path": request.uri().path(),
        "idempotency_key": key,
        "request_id": header_text(request.headers(), "x-request-id"),
        "body_bytes": request.body().len(),
        "runs": runs,
    });
    json_response(StatusCode::OK, &answer)
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
