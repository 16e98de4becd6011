//! Stand-in for the weight store, whose bandwidth is shared by all transfers.

use crate::http_server::{Handler, HandlerResult, HttpServer, error_response, json_response};
use crate::runtime::lock;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time step by which transfers advance.
const STEP: Duration = Duration::from_millis(10);

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct WeightStoreConfig {
    /// Duration of a transfer at full rate, in milliseconds.
    pub transfer_ms: u64,
    /// Maximum concurrent transfers at full rate; more share the bandwidth evenly.
    pub max_full_rate_transfers: u32,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self { transfer_ms: 400, max_full_rate_transfers: 2 }
    }
}

/// Running weight store.
pub struct WeightStoreStandIn {
    server: HttpServer,
    transfers: Arc<Transfers>,
}

/// Simulated transfers, which slow each other down above the full-rate limit.
pub struct Transfers {
    config: WeightStoreConfig,
    active_count: Mutex<u32>,
}

/// Decrements the number of active transfers when dropped, so that cancelled ones count down too.
struct ActiveTransfer<'a>(&'a Transfers);

impl Drop for ActiveTransfer<'_> {
    fn drop(&mut self) {
        *lock(&self.0.active_count) -= 1;
    }
}

impl WeightStoreStandIn {
    /// Starts the store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(config: WeightStoreConfig) -> anyhow::Result<Self> {
        let transfers = Arc::new(Transfers { config, active_count: Mutex::default() });
        let served = Arc::clone(&transfers);
        let handler: Handler =
            Arc::new(move |request| Box::pin(answer(Arc::clone(&served), request)));
        Ok(Self { server: HttpServer::start(handler)?, transfers })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the transfers, which engines of this process start directly.
    pub fn transfers(&self) -> Arc<Transfers> {
        Arc::clone(&self.transfers)
    }
}

impl Transfers {
    /// Simulates one transfer and returns when it is complete.
    pub async fn transfer(&self) {
        *lock(&self.active_count) += 1;
        let _active = ActiveTransfer(self);
        let mut remaining = Duration::from_millis(self.config.transfer_ms);
        while !remaining.is_zero() {
            smol::Timer::after(STEP).await;
            let active = f64::from(*lock(&self.active_count));
            let rate_fraction = (f64::from(self.config.max_full_rate_transfers) / active).min(1.0);
            remaining = remaining.saturating_sub(STEP.mul_f64(rate_fraction));
        }
    }
}

async fn answer(transfers: Arc<Transfers>, request: Request<Bytes>) -> HandlerResult {
    if request.method() != Method::GET || !request.uri().path().starts_with("/weights/") {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path");
    }
    transfers.transfer().await;
    json_response(StatusCode::OK, &json!({}))
}
