//! Client of plain services over HTTP.

use super::http_client::send;
use crate::ports::{PlainService, ServiceCall, ServiceResponse};
use crate::types::{Delivery, PeerError, PeerResult, Step};
use async_trait::async_trait;
use http::{Request, Uri};
use http_body_util::Full;
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::time::Instant;

/// Client of plain services.
#[derive(Clone, Debug)]
pub struct HttpPlainService {
    max_response_bytes: usize,
}

impl HttpPlainService {
    /// Returns a client that accepts response bodies of up to `max_response_bytes`.
    pub fn new(max_response_bytes: usize) -> Self {
        Self { max_response_bytes }
    }
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
        deadline: Instant,
    ) -> PeerResult<ServiceResponse> {
        let not_sent = |error: anyhow::Error| {
            PeerError::new(Step::Send, address.to_smolstr(), Delivery::NotSent, error)
        };
        let uri: Uri =
            call.path.parse().map_err(|error: http::uri::InvalidUri| not_sent(error.into()))?;
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = uri;
        *request.headers_mut() = call.headers;
        let host = address.to_string().parse().expect("an address is a header value");
        request.headers_mut().insert("host", host);
        let mut exchange = send(address, request, deadline).await?;
        let body = exchange.read_all(self.max_response_bytes, deadline).await?;
        Ok(ServiceResponse { status: exchange.status, headers: exchange.headers, body })
    }
}
