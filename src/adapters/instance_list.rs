//! Client of the platform's instance list over HTTP.

use super::http_client::fetch_json;
use crate::ports::{InstanceList, InstanceRecord};
use crate::types::PeerResult;
use async_trait::async_trait;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct ListReply {
    instances: Vec<InstanceRecord>,
}

impl HttpInstanceList {
    /// Returns a client of the list at `address` whose calls fail after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn list(&self) -> PeerResult<Vec<InstanceRecord>> {
        let request = Request::get("/instances")
            .header("host", self.address.to_string())
            .body(Full::default())
            .expect("a valid request");
        let deadline = Instant::now() + self.timeout;
        let reply: ListReply = fetch_json(self.address, request, MAX_LIST_BYTES, deadline).await?;
        Ok(reply.instances)
    }
}
