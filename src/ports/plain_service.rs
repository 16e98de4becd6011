//! Port of a plain service beside the model engines.

use crate::types::PeerResult;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Instant;

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Method.
    pub method: Method,
    /// Path and query below the service's root.
    pub path: SmolStr,
    /// Headers passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Complete response of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers passed back.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Plain service. An error tells whether the call can have run.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends `call` to the server at `address` and returns its whole response.
    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
        deadline: Instant,
    ) -> PeerResult<ServiceResponse>;
}
