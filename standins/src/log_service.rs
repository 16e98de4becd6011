//! Stand-in for the platform's append-only log service.

use crate::http_server::{
    Handler, HandlerResult, HttpServer, error_response, json_response, query_number,
};
use crate::runtime::lock;
use anyhow::bail;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum records in one page.
const MAX_PAGE_RECORDS: usize = 1_000;

/// Settings of the log service.
#[derive(Clone, Debug)]
pub struct LogServiceConfig {
    /// Age at which a record expires, in milliseconds.
    pub retention_ms: u64,
    /// Latency of each call, in milliseconds.
    pub latency_ms: u64,
}

impl Default for LogServiceConfig {
    fn default() -> Self {
        Self { retention_ms: 600_000, latency_ms: 5 }
    }
}

/// Faults that can be switched on while the service runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogFaults {
    /// Whether every call is answered with status 503.
    pub outage: bool,
    /// Whether appends take effect but their connection closes without an answer.
    pub lose_append_answers: bool,
    /// Milliseconds added to the latency of every call.
    pub extra_latency_ms: u64,
}

/// Running log service.
pub struct LogServiceStandIn {
    server: HttpServer,
    shared: Arc<Shared>,
}

struct Shared {
    config: LogServiceConfig,
    faults: Mutex<LogFaults>,
    streams: Mutex<BTreeMap<String, Stream>>,
}

#[derive(Default)]
struct Stream {
    records: VecDeque<Record>,
    last_offset: u64,
}

struct Record {
    offset: u64,
    appended_at: SystemTime,
    payload: Bytes,
}

#[derive(Serialize)]
struct RecordBody {
    offset: u64,
    appended_at_unix_ms: u64,
    payload: String,
}

#[derive(Serialize)]
struct PageBody {
    first_offset: u64,
    next_offset: u64,
    records: Vec<RecordBody>,
}

impl LogServiceStandIn {
    /// Starts the service with empty streams.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(config: LogServiceConfig) -> anyhow::Result<Self> {
        let shared =
            Arc::new(Shared { config, faults: Mutex::default(), streams: Mutex::default() });
        let served = Arc::clone(&shared);
        let handler: Handler =
            Arc::new(move |request| Box::pin(answer(Arc::clone(&served), request)));
        Ok(Self { server: HttpServer::start(handler)?, shared })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: LogFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Appends a record to `stream` as an operator's tool would, and returns its offset.
    ///
    /// Faults and latency don't apply.
    pub fn append(&self, stream: &str, payload: impl Into<Bytes>) -> u64 {
        self.shared.append(stream, payload.into())
    }

    /// Returns the number of appends to all streams since the start.
    pub fn appends(&self) -> u64 {
        lock(&self.shared.streams).values().map(|stream| stream.last_offset).sum()
    }
}

impl Shared {
    fn append(&self, stream: &str, payload: Bytes) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.last_offset += 1;
        let offset = stream.last_offset;
        stream.records.push_back(Record { offset, appended_at: SystemTime::now(), payload });
        offset
    }

    fn read(&self, stream: &str, from: u64, limit: usize) -> PageBody {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.expire(Duration::from_millis(self.config.retention_ms));
        let next_offset = stream.last_offset + 1;
        let first_offset = stream.records.front().map_or(next_offset, |record| record.offset);
        let skip_count = usize::try_from(from.saturating_sub(first_offset)).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip_count).take(limit).map(RecordBody::from);
        PageBody { first_offset, next_offset, records: records.collect() }
    }
}

impl Stream {
    /// Removes records older than `retention`.
    fn expire(&mut self, retention: Duration) {
        let now = SystemTime::now();
        while let Some(record) = self.records.front() {
            if now.duration_since(record.appended_at).unwrap_or_default() <= retention {
                return;
            }
            self.records.pop_front();
        }
    }
}

impl From<&Record> for RecordBody {
    fn from(record: &Record) -> Self {
        let appended_at = record.appended_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            offset: record.offset,
            appended_at_unix_ms: u64::try_from(appended_at.as_millis()).unwrap_or(u64::MAX),
            payload: BASE64_STANDARD.encode(&record.payload),
        }
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Bytes>) -> HandlerResult {
    let faults = *lock(&shared.faults);
    let latency_ms = shared.config.latency_ms + faults.extra_latency_ms;
    smol::Timer::after(Duration::from_millis(latency_ms)).await;
    if faults.outage {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "outage", "the log is down");
    }
    let stream = request
        .uri()
        .path()
        .strip_prefix("/streams/")
        .and_then(|rest| rest.strip_suffix("/records"))
        .map(str::to_owned);
    let Some(stream) = stream else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path");
    };
    match *request.method() {
        Method::POST => {
            let offset = shared.append(&stream, request.into_body());
            if faults.lose_append_answers {
                bail!("answer to the append at offset {offset} is lost");
            }
            json_response(StatusCode::OK, &json!({ "offset": offset }))
        }
        Method::GET => {
            let from = query_number(&request, "from").unwrap_or(1);
            let limit = query_number(&request, "limit").map_or(MAX_PAGE_RECORDS, |limit| {
                usize::try_from(limit).unwrap_or(MAX_PAGE_RECORDS).min(MAX_PAGE_RECORDS)
            });
            json_response(StatusCode::OK, &shared.read(&stream, from, limit))
        }
        _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "method", "GET or POST"),
    }
}
