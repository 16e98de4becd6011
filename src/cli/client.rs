//! HTTP client of the administration API.

use crate::adapters::http_client;
use crate::admin::messages::{ErrorBody, ErrorReply};
use crate::types::{Delivery, PeerError, Step};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of a request; longer than a node waits for the outcome of an edit.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a reply body.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Client of a node's administration API.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    key: String,
}

/// Error of an exchange with a node.
#[derive(Debug)]
pub enum ClientError {
    /// The exchange failed; no reply could be decoded.
    Peer(PeerError),
    /// The node replied with an error.
    Refused(Box<ErrorBody>),
}

impl AdminClient {
    /// Returns a client of the node at `address` that authenticates with `key`.
    pub fn new(address: SocketAddr, key: impl Into<String>) -> Self {
        Self { address, key: key.into() }
    }

    /// Sends a GET request and decodes the reply.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.exchange(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with `body` as JSON and decodes the reply.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let bytes = serde_json::to_vec(body).expect("every request can be encoded as JSON");
        self.exchange(Method::POST, path, bytes.into()).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let request = self.build_request(method, path, body)?;
        let mut exchange =
            http_client::send(self.address, request, deadline).await.map_err(ClientError::Peer)?;
        let bytes =
            exchange.read_all(MAX_REPLY_BYTES, deadline).await.map_err(ClientError::Peer)?;
        let decode_error = |error: serde_json::Error| {
            ClientError::Peer(exchange.error(Step::Decode, error.into()))
        };
        if exchange.status.is_success() {
            return serde_json::from_slice(&bytes).map_err(decode_error);
        }
        let reply: ErrorReply = serde_json::from_slice(&bytes).map_err(decode_error)?;
        Err(ClientError::Refused(Box::new(reply.error)))
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| {
                let peer = self.address.to_smolstr();
                ClientError::Peer(PeerError::new(Step::Send, peer, Delivery::NotSent, error))
            })
    }
}
