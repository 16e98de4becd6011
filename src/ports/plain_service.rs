//! Port of the plain services, which the site offers besides models.

use crate::types::PeerResult;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Instant;

/// HTTP call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, relative to the root of the service.
    pub path: SmolStr,
    /// Headers to forward to the service.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

/// Complete HTTP response of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to forward to the caller.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// Client of plain services. Its errors state whether the call may have run.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends `call` to the server at `address` and returns the complete response.
    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
        deadline: Instant,
    ) -> PeerResult<ServiceResponse>;
}
