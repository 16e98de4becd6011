//! Stand-in of the weight store, whose rate is shared by all transfers.

use crate::http_server::{Handler, HandlerResult, HttpServer, error_response, json_response};
use crate::runtime::lock;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Step in which transfers advance.
const STEP: Duration = Duration::from_millis(10);

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct WeightStoreConfig {
    /// Milliseconds of a transfer that is not slowed.
    pub transfer_ms: u64,
    /// Transfers that run at full rate at once; more slow each other down.
    pub full_rate_transfers: u32,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self { transfer_ms: 400, full_rate_transfers: 2 }
    }
}

/// Running weight store.
pub struct WeightStoreStandIn {
    server: HttpServer,
    transfers: Arc<Transfers>,
}

/// Transfers under way.
pub struct Transfers {
    config: WeightStoreConfig,
    active: Mutex<u32>,
}

/// Counts a transfer while it runs, also when it is cancelled.
struct ActiveTransfer<'a>(&'a Transfers);

impl Drop for ActiveTransfer<'_> {
    fn drop(&mut self) {
        *lock(&self.0.active) -= 1;
    }
}

impl WeightStoreStandIn {
    /// Starts the store.
    pub fn start(config: WeightStoreConfig) -> anyhow::Result<Self> {
        let transfers = Arc::new(Transfers { config, active: Mutex::default() });
        let answering = Arc::clone(&transfers);
        let handler: Handler =
            Arc::new(move |request| Box::pin(answer(Arc::clone(&answering), request)));
        Ok(Self { server: HttpServer::start(handler)?, transfers })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the transfers, from which engines of the same process load.
    pub fn transfers(&self) -> Arc<Transfers> {
        Arc::clone(&self.transfers)
    }
}

impl Transfers {
    /// Waits until one transfer is complete.
    pub async fn transfer(&self) {
        *lock(&self.active) += 1;
        let _active = ActiveTransfer(self);
        let mut left = Duration::from_millis(self.config.transfer_ms);
        while !left.is_zero() {
            smol::Timer::after(STEP).await;
            let active = f64::from(*lock(&self.active));
            let rate = (f64::from(self.config.full_rate_transfers) / active).min(1.0);
            left = left.saturating_sub(STEP.mul_f64(rate));
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
