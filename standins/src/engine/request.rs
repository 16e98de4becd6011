//! Generation requests, parsed from HTTP.

use super::answer::DEFAULT_COMPLETION_TOKENS;
use super::cache::PrefixLevel;
use super::prompt::{self, BLOCK_BYTES};
use anyhow::{Context as _, ensure};
use bytes::Bytes;
use http::Request;
use serde_json::Value;
use std::time::Duration;

/// Endpoint for generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// Generation request.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// Endpoint that was called.
    pub endpoint: Endpoint,
    /// Request ID, echoed in each frame.
    pub id: String,
    /// Model name.
    pub model: String,
    /// Required version of the weights, if the request names one.
    pub weights_version: Option<String>,
    /// Prompt text.
    pub prompt: String,
    /// Salt of the block hashes, empty without cache isolation.
    pub cache_salt: String,
    /// Tokens to generate.
    pub completion_tokens: u32,
    /// Priority: 0 is batch, 1 normal, 2 interactive.
    pub priority: u8,
    /// Number of the first frame to send.
    pub resume_from_frame: u64,
    /// Prefix levels of the prompt, shortest first.
    pub levels: Vec<PrefixLevel>,
    /// Prefix keys that may be imported from the KV store.
    pub import_keys: Vec<u64>,
    /// Maximum time until the end of the stream, if the request names one.
    pub time_limit: Option<Duration>,
}

impl GenerateRequest {
    /// Parses a request to `endpoint`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a streaming request with a model and a prompt.
    pub fn parse(endpoint: Endpoint, request: &Request<Bytes>) -> anyhow::Result<Self> {
        let body: Value = serde_json::from_slice(request.body()).context("body is not JSON")?;
        let is_streaming = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
        ensure!(is_streaming, "the engine supports only streaming requests");
        let prompt = prompt::from_body(&body).context("the body has no prompt")?;
        let model = body.get("model").and_then(Value::as_str).context("the body has no model")?;
        let max_tokens = body.get("max_tokens").or_else(|| body.get("max_completion_tokens"));
        let max_tokens =
            max_tokens.and_then(Value::as_u64).and_then(|tokens| u32::try_from(tokens).ok());
        let salt = body.get("cache_salt").and_then(Value::as_str).unwrap_or_default();
        let header = |name: &str| request.headers().get(name).and_then(|text| text.to_str().ok());
        Ok(Self {
            endpoint,
            id: header("x-request-id").unwrap_or_default().to_owned(),
            model: model.to_owned(),
            weights_version: header("x-weights-version").map(str::to_owned),
            cache_salt: salt.to_owned(),
            completion_tokens: max_tokens.unwrap_or(DEFAULT_COMPLETION_TOKENS).max(1),
            priority: parse_priority(header("x-priority").unwrap_or_default()),
            resume_from_frame: parse_number(header("x-resume-from-frame")).unwrap_or(0),
            levels: parse_levels(header("x-prefix-keys").unwrap_or_default()),
            import_keys: parse_keys(header("x-import-keys").unwrap_or_default()),
            time_limit: parse_number(header("x-time-limit-ms")).map(Duration::from_millis),
            prompt,
        })
    }
}

fn parse_number(text: Option<&str>) -> Option<u64> {
    text.and_then(|text| text.parse().ok())
}

fn parse_priority(name: &str) -> u8 {
    match name {
        "batch" => 0,
        "interactive" => 2,
        _ => 1,
    }
}

fn parse_levels(text: &str) -> Vec<PrefixLevel> {
    let level = |pair: &str| {
        let (key, bytes) = pair.trim().split_once(':')?;
        let key = u64::from_str_radix(key, 16).ok()?;
        Some(PrefixLevel { key, blocks: bytes.parse::<usize>().ok()? / BLOCK_BYTES })
    };
    text.split(',').filter_map(level).collect()
}

fn parse_keys(text: &str) -> Vec<u64> {
    text.split(',').filter_map(|key| u64::from_str_radix(key.trim(), 16).ok()).collect()
}
