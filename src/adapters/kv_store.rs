//! Client of the KV store over HTTP.

use super::http_client::fetch_json;
use crate::ports::KvStore;
use crate::types::PeerResult;
use async_trait::async_trait;
use http::Request;
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Client of the KV store.
#[derive(Clone, Debug)]
pub struct HttpKvStore {
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Serialize)]
struct StoredTokensQuery<'a> {
    prefix_keys: &'a [u64],
}

#[derive(Deserialize)]
struct StoredTokensReply {
    kept_tokens: Vec<u32>,
}

impl HttpKvStore {
    /// Returns a client of the store at `address` whose calls fail after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }
}

#[async_trait]
impl KvStore for HttpKvStore {
    async fn stored_tokens(&self, prefix_keys: &[u64]) -> PeerResult<Vec<u32>> {
        let body = serde_json::to_vec(&StoredTokensQuery { prefix_keys }).expect("numbers encode");
        let request = Request::post("/kept")
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .expect("a valid request");
        let deadline = Instant::now() + self.timeout;
        let reply: StoredTokensReply =
            fetch_json(self.address, request, MAX_RESPONSE_BYTES, deadline).await?;
        Ok(reply.kept_tokens)
    }
}
