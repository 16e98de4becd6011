//! Client of the administration API.

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

/// Time that an exchange may take; an edit takes longest.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Most bytes of a reply.
const REPLY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Client of a node's administration API.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    key: String,
}

/// Error of an exchange with a node.
#[derive(Debug)]
pub enum ClientError {
    /// The exchange failed.
    Peer(PeerError),
    /// The node refused the request.
    Refused(Box<ErrorBody>),
}

impl AdminClient {
    /// Returns a client of the node at `address`.
    pub fn new(address: SocketAddr, key: impl Into<String>) -> Self {
        Self { address, key: key.into() }
    }

    /// Reads `path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.exchange(Method::GET, path, Bytes::new()).await
    }

    /// Sends `body` to `path`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let bytes = serde_json::to_vec(body).expect("a request encodes as JSON");
        self.exchange(Method::POST, path, bytes.into()).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let request = self.request(method, path, body)?;
        let mut exchange =
            http_client::send(self.address, request, deadline).await.map_err(ClientError::Peer)?;
        let bytes =
            exchange.read_all(REPLY_LIMIT_BYTES, deadline).await.map_err(ClientError::Peer)?;
        let decode_error = |error: serde_json::Error| {
            ClientError::Peer(exchange.error(Step::Decode, error.into()))
        };
        if exchange.status.is_success() {
            return serde_json::from_slice(&bytes).map_err(decode_error);
        }
        let reply: ErrorReply = serde_json::from_slice(&bytes).map_err(decode_error)?;
        Err(ClientError::Refused(Box::new(reply.error)))
    }

    fn request(
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
