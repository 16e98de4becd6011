//! One attempt of a caller: sends a request and checks the response.

use crate::outcome::Ending;
use bytes::Bytes;
use coriandertide::adapters::http_client::{self, Exchange};
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum size of an error body or of a service's answer.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub ending: Ending,
    /// Error code, if an error was received.
    pub code: Option<String>,
    /// Time at which the first token was received.
    pub first_token_at: Option<Instant>,
}

impl AttemptResult {
    fn new(ending: Ending) -> Self {
        Self { ending, code: None, first_token_at: None }
    }
}

/// Sends a model request and checks the stream against the expected frame texts.
pub async fn model_attempt(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    expected: &[String],
    deadline: Instant,
) -> AttemptResult {
    let Ok(mut exchange) = http_client::send(address, request, deadline).await else {
        return AttemptResult::new(Ending::ConnectionLost);
    };
    if !exchange.status.is_success() {
        return read_error(&mut exchange, deadline).await;
    }
    let mut checker = StreamChecker::new(expected);
    loop {
        match exchange.next_data(deadline).await {
            Ok(Some(data)) => checker.push(&data),
            Ok(None) => return checker.finish(Ending::Cut),
            Err(_) => return checker.finish(Ending::ConnectionLost),
        }
    }
}

/// Sends a service call and checks that its answer names the same idempotency key.
pub async fn service_attempt(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    key: &str,
    deadline: Instant,
) -> AttemptResult {
    let Ok(mut exchange) = http_client::send(address, request, deadline).await else {
        return AttemptResult::new(Ending::ConnectionLost);
    };
    if !exchange.status.is_success() {
        return read_error(&mut exchange, deadline).await;
    }
    let Ok(body) = exchange.read_all(MAX_BODY_BYTES, deadline).await else {
        return AttemptResult::new(Ending::ConnectionLost);
    };
    let answer: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let has_same_key = answer["idempotency_key"].as_str() == Some(key);
    AttemptResult::new(if has_same_key { Ending::Answered } else { Ending::Wrong })
}

/// Reads an error response and derives the ending from it.
async fn read_error(exchange: &mut Exchange, deadline: Instant) -> AttemptResult {
    let body = exchange.read_all(MAX_BODY_BYTES, deadline).await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    // An engine that is called directly does not run a request that finds its queue full, but its
    // error lacks the field `run`.
    let is_queue_full = body["error"]["code"] == "queue_full";
    let ending = match body["error"]["run"].as_str() {
        Some("not_run") => Ending::NotRun,
        _ if is_queue_full => Ending::NotRun,
        _ => Ending::OutcomeUnknown,
    };
    let code = body["error"]["code"].as_str().map(str::to_owned);
    AttemptResult { ending, code, first_token_at: None }
}

/// Checks the events of a stream as they are received.
struct StreamChecker<'a> {
    expected: &'a [String],
    buffer: Vec<u8>,
    received_texts: usize,
    is_wrong: bool,
    is_done: bool,
    error_code: Option<String>,
    first_token_at: Option<Instant>,
}

impl<'a> StreamChecker<'a> {
    fn new(expected: &'a [String]) -> Self {
        Self {
            expected,
            buffer: Vec::new(),
            received_texts: 0,
            is_wrong: false,
            is_done: false,
            error_code: None,
            first_token_at: None,
        }
    }

    fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data: ") {
                self.check_event(data.trim_ascii_end());
            }
        }
    }

    fn check_event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.is_done = true;
            return;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
        if let Some(code) = chunk["error"]["code"].as_str() {
            self.error_code = Some(code.to_owned());
            return;
        }
        let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() else { return };
        self.first_token_at.get_or_insert_with(Instant::now);
        let is_next =
            self.expected.get(self.received_texts).is_some_and(|expected| expected == text);
        self.is_wrong |= !is_next || self.is_done;
        self.received_texts += 1;
    }

    /// Returns the result; `incomplete` is the ending of a stream without an end mark or error.
    fn finish(self, incomplete: Ending) -> AttemptResult {
        let ending = if self.is_wrong {
            Ending::Wrong
        } else if self.error_code.is_some() {
            Ending::OutcomeUnknown
        } else if !self.is_done {
            incomplete
        } else if self.received_texts == self.expected.len() {
            Ending::Answered
        } else {
            Ending::Wrong
        };
        AttemptResult { ending, code: self.error_code, first_token_at: self.first_token_at }
    }
}
