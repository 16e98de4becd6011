//! One attempt of a caller: sends a request and checks what comes back.

use crate::outcome::Ending;
use bytes::Bytes;
use coriandertide::adapters::http_client::{self, Exchange};
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Instant;

/// Largest body of an error or of a service's answer.
const BODY_LIMIT_BYTES: usize = 1 << 20;

/// What came of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Ending.
    pub ending: Ending,
    /// Code of the error, if one was given.
    pub code: Option<String>,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
}

impl AttemptResult {
    fn new(ending: Ending) -> Self {
        Self { ending, code: None, first_token_at: None }
    }
}

/// Sends a model request and checks the stream against the expected pieces.
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
        return refusal(&mut exchange, deadline).await;
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

/// Sends a service call and reads its answer, which must carry the same key.
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
        return refusal(&mut exchange, deadline).await;
    }
    let Ok(body) = exchange.read_all(BODY_LIMIT_BYTES, deadline).await else {
        return AttemptResult::new(Ending::ConnectionLost);
    };
    let answer: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let is_own = answer["idempotency_key"].as_str() == Some(key);
    AttemptResult::new(if is_own { Ending::Answered } else { Ending::Wrong })
}

async fn refusal(exchange: &mut Exchange, deadline: Instant) -> AttemptResult {
    let body = exchange.read_all(BODY_LIMIT_BYTES, deadline).await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    // An engine reached without a node says by its status that it did not run the request.
    let is_queue_full = body["error"]["code"] == "queue_full";
    let ending = match body["error"]["run"].as_str() {
        Some("not_run") => Ending::NotRun,
        _ if is_queue_full => Ending::NotRun,
        _ => Ending::OutcomeUnknown,
    };
    let code = body["error"]["code"].as_str().map(str::to_owned);
    AttemptResult { ending, code, first_token_at: None }
}

/// Checks the events of a stream as they come.
struct StreamChecker<'a> {
    expected: &'a [String],
    unread: Vec<u8>,
    pieces: usize,
    is_wrong: bool,
    is_done: bool,
    error_code: Option<String>,
    first_token_at: Option<Instant>,
}

impl<'a> StreamChecker<'a> {
    fn new(expected: &'a [String]) -> Self {
        Self {
            expected,
            unread: Vec::new(),
            pieces: 0,
            is_wrong: false,
            is_done: false,
            error_code: None,
            first_token_at: None,
        }
    }

    fn push(&mut self, data: &[u8]) {
        self.unread.extend_from_slice(data);
        while let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unread.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data: ") {
                self.event(data.trim_ascii_end());
            }
        }
    }

    fn event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.is_done = true;
            return;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
        if let Some(code) = chunk["error"]["code"].as_str() {
            self.error_code = Some(code.to_owned());
            return;
        }
        let Some(piece) = chunk["choices"][0]["delta"]["content"].as_str() else { return };
        self.first_token_at.get_or_insert_with(Instant::now);
        let is_next = self.expected.get(self.pieces).is_some_and(|expected| expected == piece);
        self.is_wrong |= !is_next || self.is_done;
        self.pieces += 1;
    }

    fn finish(self, without_end: Ending) -> AttemptResult {
        let ending = if self.is_wrong {
            Ending::Wrong
        } else if self.error_code.is_some() {
            Ending::OutcomeUnknown
        } else if !self.is_done {
            without_end
        } else if self.pieces == self.expected.len() {
            Ending::Answered
        } else {
            Ending::Wrong
        };
        AttemptResult { ending, code: self.error_code, first_token_at: self.first_token_at }
    }
}
