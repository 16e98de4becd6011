//! Client of the platform's log over HTTP.

use super::http_client::fetch_json;
use crate::ports::{LogPage, LogRecord, LogService, LogStream};
use crate::types::{Delivery, LogOffset, PeerError, PeerResult, Step};
use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

/// Maximum size of a response, which for a read is a page of records.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the platform's log.
#[derive(Clone, Debug)]
pub struct HttpLogService {
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

#[derive(Deserialize)]
struct PageReply {
    first_offset: LogOffset,
    next_offset: LogOffset,
    records: Vec<RecordReply>,
}

#[derive(Deserialize)]
struct RecordReply {
    offset: LogOffset,
    appended_at_unix_ms: u64,
    payload: String,
}

impl HttpLogService {
    /// Returns a client of the log at `address` whose calls fail after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    fn decode_record(&self, reply: RecordReply) -> PeerResult<LogRecord> {
        let payload = STANDARD.decode(&reply.payload).map_err(|error| {
            PeerError::new(Step::Decode, self.address.to_smolstr(), Delivery::Unknown, error)
        })?;
        Ok(LogRecord {
            offset: reply.offset,
            appended_at: SystemTime::UNIX_EPOCH + Duration::from_millis(reply.appended_at_unix_ms),
            payload: payload.into(),
        })
    }
}

#[async_trait]
impl LogService for HttpLogService {
    async fn append(&self, stream: LogStream, payload: Bytes) -> PeerResult<LogOffset> {
        let request = Request::post(format!("/streams/{stream}/records"))
            .header("host", self.address.to_string())
            .body(Full::new(payload))
            .expect("a valid request");
        let deadline = Instant::now() + self.timeout;
        let reply: AppendReply =
            fetch_json(self.address, request, MAX_RESPONSE_BYTES, deadline).await?;
        Ok(reply.offset)
    }

    async fn read(&self, stream: LogStream, from: LogOffset, limit: usize) -> PeerResult<LogPage> {
        let request = Request::get(format!("/streams/{stream}/records?from={from}&limit={limit}"))
            .header("host", self.address.to_string())
            .body(Full::default())
            .expect("a valid request");
        let deadline = Instant::now() + self.timeout;
        let reply: PageReply =
            fetch_json(self.address, request, MAX_RESPONSE_BYTES, deadline).await?;
        let records = reply
            .records
            .into_iter()
            .map(|record| self.decode_record(record))
            .collect::<PeerResult<Vec<_>>>()?;
        Ok(LogPage { first_offset: reply.first_offset, next_offset: reply.next_offset, records })
    }
}
