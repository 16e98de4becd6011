//! HTTP client of the tests, which calls a node as the workspace `survey`.

use super::site::KEY;
use bytes::Bytes;
use coriandertide::adapters::http_client::{Exchange, send};
use coriandertide::types::PeerResult;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of an exchange.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Response with its body read to the end.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns status, error code and run state, as in `404 "unknown_path" not_run`. Asserts that
    /// header and body have the same run state.
    pub fn summary(&self) -> String {
        let body = self.json();
        let run = self.headers.get("x-coriandertide-run").map(|run| run.to_str().unwrap());
        assert_eq!(body["error"]["run"].as_str(), run);
        format!("{} {} {}", self.status.as_u16(), body["error"]["code"], run.unwrap_or("-"))
    }
}

/// Returns the body of a chat request with `tokens` as `max_tokens`.
pub fn chat(tokens: u32, stream: bool) -> Value {
    json!({
        "model": "small",
        "messages": [
            { "role": "system", "content": "Conteo Vial Andino counts traffic. ".repeat(30) },
            { "role": "user", "content": "Summarise chapter 3." },
        ],
        "max_tokens": tokens,
        "stream": stream,
        "stream_options": { "include_usage": true },
    })
}

pub fn post(path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "node")
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .unwrap()
}

pub fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path)
        .header("host", "node")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::default())
        .unwrap()
}

pub fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> PeerResult<Exchange> {
    smol::block_on(send(address, request, Instant::now() + ANSWER_TIMEOUT))
}

pub fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> PeerResult<Answer> {
    let mut exchange = open(address, request)?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let body = smol::block_on(exchange.read_all(1 << 24, deadline))?;
    Ok(Answer { status: exchange.status, headers: exchange.headers, body })
}

/// Waits until the node is ready.
pub fn wait_ready(address: SocketAddr, deadline: Instant) {
    loop {
        let ready = call(address, get("/readyz")).is_ok_and(|answer| answer.status.is_success());
        if ready {
            return;
        }
        assert!(Instant::now() < deadline, "the node did not become ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the data of each event in an event stream.
pub fn events(body: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(body).unwrap();
    text.split("\n\n")
        .filter(|event| !event.is_empty())
        .map(|event| event.strip_prefix("data: ").unwrap().to_owned())
        .collect()
}

/// Returns the text of a chat stream and whether the stream is complete.
pub fn chat_text(body: &[u8]) -> (String, bool) {
    let events = events(body);
    let is_complete = events.last().is_some_and(|last| last == "[DONE]");
    let chunks = events.iter().filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let text = chunks
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    (text, is_complete)
}
