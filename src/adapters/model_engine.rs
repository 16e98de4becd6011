//! Client of model engines over HTTP with server-sent events.

use super::http_client::{Exchange, fetch_json, send};
use crate::ports::{
    CacheEventPage, EngineAnswer, EngineFrame, EngineOrder, EngineRequest, LoadReport, ModelEngine,
    OrderOutcome,
};
use crate::types::{AvailabilityZone, Delivery, PeerError, PeerResult, RequestId, Step};
use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_lite::{Stream, StreamExt, stream};
use http::{HeaderMap, Request};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

/// Maximum size of a response that is not an answer stream.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

type DataStream = Pin<Box<dyn Stream<Item = PeerResult<Bytes>> + Send>>;

/// Client of model engines.
#[derive(Clone, Debug)]
pub struct HttpModelEngine {
    availability_zone: AvailabilityZone,
    timeout: Duration,
    frame_timeout: Duration,
}

#[derive(Deserialize)]
struct OrderReply {
    outcome: OrderOutcome,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Default, Deserialize)]
struct PromptTokensDetails {
    #[serde(default)]
    cached_tokens: u32,
}

/// Decodes the events of an answer stream into frames.
struct FrameReader {
    events: EventStream<DataStream>,
    peer: SmolStr,
    request_id: RequestId,
    ended: bool,
}

impl HttpModelEngine {
    /// Returns a client for a node in `availability_zone`. Calls fail after `timeout`; that of an
    /// answer stream covers only the head, and its body fails after `frame_timeout` without data.
    pub fn new(
        availability_zone: AvailabilityZone,
        timeout: Duration,
        frame_timeout: Duration,
    ) -> Self {
        Self { availability_zone, timeout, frame_timeout }
    }

    fn get(&self, address: SocketAddr, path: String) -> Request<Full<Bytes>> {
        Request::get(path)
            .header("host", address.to_string())
            .body(Full::default())
            .expect("a valid request")
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }
}

#[async_trait]
impl ModelEngine for HttpModelEngine {
    async fn generate(
        &self,
        address: SocketAddr,
        request: EngineRequest,
    ) -> PeerResult<EngineAnswer> {
        let time_limit = Duration::from_millis(request.time_limit_ms);
        let deadline = Instant::now() + time_limit;
        let request_id = request.request_id.clone();
        let request = encode_request(&self.availability_zone, address, request)?;
        let head_deadline = deadline.min(self.deadline());
        let mut exchange = send(address, request, head_deadline).await?;
        if !exchange.status.is_success() {
            return Err(refusal(&mut exchange, deadline).await);
        }
        let incarnation = header_number(&exchange.headers, "x-incarnation").unwrap_or(0);
        let load = load_report_header(&exchange.headers);
        let data = read_data(exchange, self.frame_timeout, deadline);
        let reader = FrameReader {
            events: data.eventsource(),
            peer: address.to_smolstr(),
            request_id,
            ended: false,
        };
        let frames = Box::pin(stream::unfold(reader, next_frame));
        Ok(EngineAnswer { incarnation, load, frames })
    }

    async fn cancel(&self, address: SocketAddr, request_id: RequestId) -> PeerResult<()> {
        let request = Request::post(format!("/requests/{request_id}/cancel"))
            .header("host", address.to_string())
            .body(Full::default())
            .expect("a valid request");
        let _reply: Value =
            fetch_json(address, request, MAX_RESPONSE_BYTES, self.deadline()).await?;
        Ok(())
    }

    async fn load(&self, address: SocketAddr) -> PeerResult<LoadReport> {
        let request = self.get(address, String::from("/load"));
        fetch_json(address, request, MAX_RESPONSE_BYTES, self.deadline()).await
    }

    async fn cache_events(&self, address: SocketAddr, from: u64) -> PeerResult<CacheEventPage> {
        let request = self.get(address, format!("/events?from={from}"));
        fetch_json(address, request, MAX_RESPONSE_BYTES, self.deadline()).await
    }

    async fn order(&self, address: SocketAddr, order: EngineOrder) -> PeerResult<OrderOutcome> {
        let body = serde_json::to_vec(&order).expect("an order encodes");
        let request = Request::post("/orders")
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .expect("a valid request");
        let deadline = self.deadline();
        let mut exchange = send(address, request, deadline).await?;
        let body = exchange.read_all(MAX_RESPONSE_BYTES, deadline).await?;
        let reply: OrderReply = serde_json::from_slice(&body)
            .map_err(|error| exchange.error(Step::Decode, error.into()))?;
        Ok(reply.outcome)
    }
}

fn encode_request(
    zone: &AvailabilityZone,
    address: SocketAddr,
    request: EngineRequest,
) -> PeerResult<Request<Full<Bytes>>> {
    // The last level is the whole prompt, which other requests rarely share: its cache events would
    // be of no use.
    let shared_levels = request.prefix_levels.len().saturating_sub(1).max(1);
    let prefix_keys: Vec<String> = request
        .prefix_levels
        .iter()
        .take(shared_levels)
        .map(|level| format!("{:x}:{}", level.key, level.bytes))
        .collect();
    let import_keys: Vec<String> =
        request.import_keys.iter().map(|key| format!("{key:x}")).collect();
    let body = serde_json::to_vec(&request.body).expect("a JSON value encodes");
    Request::post(request.path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("x-request-id", request.request_id.as_str())
        .header("x-caller-zone", zone.as_str())
        .header("x-priority", request.priority.to_string())
        .header("x-weights-version", request.weights_version.as_str())
        .header("x-resume-from-frame", request.resume_from_frame)
        .header("x-prefix-keys", prefix_keys.join(","))
        .header("x-import-keys", import_keys.join(","))
        .header("x-time-limit-ms", request.time_limit_ms)
        .body(Full::new(body.into()))
        .map_err(|error| PeerError::new(Step::Send, address.to_smolstr(), Delivery::NotSent, error))
}

async fn refusal(exchange: &mut Exchange, deadline: Instant) -> PeerError {
    let status = exchange.status;
    let body = exchange.read_all(MAX_RESPONSE_BYTES, deadline).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    exchange.refusal(anyhow::anyhow!("status {status}: {text}"))
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn load_report_header(headers: &HeaderMap) -> Option<LoadReport> {
    serde_json::from_slice(headers.get("x-load")?.as_bytes()).ok()
}

fn read_data(exchange: Exchange, frame_timeout: Duration, deadline: Instant) -> DataStream {
    Box::pin(stream::unfold(Some(exchange), move |exchange| async move {
        let mut exchange = exchange?;
        let frame_deadline = deadline.min(Instant::now() + frame_timeout);
        match exchange.next_data(frame_deadline).await {
            Ok(Some(data)) => Some((Ok(data), Some(exchange))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    }))
}

async fn next_frame(mut reader: FrameReader) -> Option<(PeerResult<EngineFrame>, FrameReader)> {
    if reader.ended {
        return None;
    }
    let frame = reader.read_frame().await;
    reader.ended = !matches!(frame, Ok(EngineFrame::Piece { .. }));
    Some((frame, reader))
}

impl FrameReader {
    async fn read_frame(&mut self) -> PeerResult<EngineFrame> {
        let event = self.next_event().await?;
        let frame = self.decode(&event)?;
        if matches!(frame, EngineFrame::End { .. }) {
            self.expect_done().await?;
        }
        Ok(frame)
    }

    async fn next_event(&mut self) -> PeerResult<Event> {
        match self.events.next().await {
            Some(Ok(event)) => Ok(event),
            Some(Err(error)) => Err(self.error(Step::ReadBody, anyhow::anyhow!("{error}"))),
            None => Err(self
                .error(Step::ReadBody, anyhow::anyhow!("the stream ended before its last event"))),
        }
    }

    async fn expect_done(&mut self) -> PeerResult<()> {
        let event = self.next_event().await?;
        if event.data == DONE {
            return Ok(());
        }
        Err(self.error(Step::Decode, anyhow::anyhow!("the stream continues after its usage")))
    }

    fn decode(&self, event: &Event) -> PeerResult<EngineFrame> {
        let decode_error = |error: anyhow::Error| self.error(Step::Decode, error);
        let number = event.id.parse().map_err(|_| {
            decode_error(anyhow::anyhow!("frame number `{}` is not a number", event.id))
        })?;
        let chunk: Value =
            serde_json::from_str(&event.data).map_err(|error| decode_error(error.into()))?;
        if chunk["id"].as_str() != Some(self.request_id.as_str()) {
            return Err(decode_error(anyhow::anyhow!("frame of another request: {}", chunk["id"])));
        }
        let Some(usage) = chunk.get("usage").filter(|usage| !usage.is_null()) else {
            return Ok(EngineFrame::Piece { number, chunk });
        };
        let usage: Usage = Usage::deserialize(usage).map_err(|error| decode_error(error.into()))?;
        Ok(EngineFrame::End {
            number,
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
            completion_tokens: usage.completion_tokens,
        })
    }

    fn error(&self, step: Step, source: anyhow::Error) -> PeerError {
        PeerError::new(step, self.peer.clone(), Delivery::Unknown, source)
    }
}
