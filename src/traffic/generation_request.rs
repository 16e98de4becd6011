//! Validation of model requests.

use super::{Failure, FailureCode};
use crate::control::Snapshot;
use crate::decision::poison::Fingerprint;
use crate::decision::routing::PrefixLevel;
use crate::decision::routing::prefix::{PrefixScope, prompt_levels};
use crate::document::Document;
use crate::types::{ModelId, Priority, RequestId, WeightsVersion, WorkspaceId};
use bytes::Bytes;
use http::HeaderMap;
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Instant;
use xxhash_rust::xxh3::Xxh3Default;

/// Request header with the priority: `batch`, `normal` or `interactive`.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Endpoint of a model request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// Chat completions.
    ChatCompletions,
    /// Completions.
    Completions,
}

impl Endpoint {
    /// Returns the path of the endpoint.
    pub fn path(self) -> &'static str {
        match self {
            Self::ChatCompletions => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// Validated model request.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Request id.
    pub id: RequestId,
    /// Endpoint.
    pub endpoint: Endpoint,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model, or adapter of a model.
    pub model: ModelId,
    /// Weights version in force when the request arrived; all attempts use it.
    pub weights_version: WeightsVersion,
    /// Body for the engine, changed to request a stream with usage.
    pub body: Value,
    /// Hash of workspace, endpoint and body; the same when a caller repeats the request.
    pub fingerprint: Fingerprint,
    /// Prefix levels of the prompt, outermost first; the last ends with the prompt.
    pub levels: Vec<PrefixLevel>,
    /// Maximum tokens to generate, a default if the caller sets no maximum.
    pub max_tokens: u32,
    /// Whether the caller requested a stream.
    pub is_streamed: bool,
    /// Whether the caller requested usage at the end of the stream.
    pub include_usage: bool,
    /// Priority.
    pub priority: Priority,
    /// When the request times out.
    pub deadline: Instant,
}

/// Body fields that the node reads; all others are passed on unchanged.
#[derive(Deserialize)]
struct BodyFields {
    model: ModelId,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Tokens to generate that are assumed for a request without a maximum.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Model request before validation.
pub struct RawGenerationRequest<'a> {
    /// Request id.
    pub id: RequestId,
    /// Endpoint.
    pub endpoint: Endpoint,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Request headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// When the request times out.
    pub deadline: Instant,
}

impl GenerationRequest {
    /// Validates `raw` against the document in force.
    pub fn check(raw: RawGenerationRequest<'_>, snapshot: &Snapshot) -> Result<Self, Failure> {
        let document = snapshot.document.as_deref().ok_or_else(not_ready)?;
        let mut body: Value = serde_json::from_slice(raw.body).map_err(|error| {
            Failure::not_run(FailureCode::InvalidJson, format!("the body is not JSON: {error}"))
        })?;
        let fields =
            BodyFields::deserialize(&body).map_err(|error| invalid_request(error.to_string()))?;
        if fields.n.is_some_and(|n| n != 1) {
            return Err(invalid_request("n: only 1 is supported"));
        }
        check_prompt(raw.endpoint, &body)?;
        let weights_version = weights_version_of(document, &fields.model)?;
        let priority = request_priority(document, &raw.workspace, raw.headers)?;
        let scope = PrefixScope {
            workspace: &raw.workspace,
            model: &fields.model,
            weights_version: &weights_version,
        };
        let levels = prompt_levels(scope, &body);
        let fingerprint = hash_request(&raw.workspace, raw.endpoint, raw.body);
        body["stream"] = json!(true);
        body["stream_options"] = json!({ "include_usage": true });
        let max_tokens = fields.max_completion_tokens.or(fields.max_tokens);
        Ok(Self {
            id: raw.id,
            endpoint: raw.endpoint,
            workspace: raw.workspace,
            model: fields.model,
            weights_version,
            body,
            fingerprint,
            levels,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            is_streamed: fields.stream,
            include_usage: fields.stream_options.unwrap_or_default().include_usage,
            priority,
            deadline: raw.deadline,
        })
    }

    /// Returns the estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.levels.last().map_or(0, |level| level.tokens)
    }
}

fn hash_request(workspace: &WorkspaceId, endpoint: Endpoint, body: &Bytes) -> Fingerprint {
    let mut hasher = Xxh3Default::new();
    for field in [workspace.as_bytes(), endpoint.path().as_bytes(), body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// Returns the failure for a request to a node that has no document yet.
pub fn not_ready() -> Failure {
    Failure::not_run(FailureCode::NotReady, "the node has no configuration yet")
}

fn invalid_request(message: impl Into<String>) -> Failure {
    Failure::not_run(FailureCode::InvalidRequest, message)
}

fn check_prompt(endpoint: Endpoint, body: &Value) -> Result<(), Failure> {
    match endpoint {
        Endpoint::ChatCompletions => check_messages(&body["messages"]),
        Endpoint::Completions if body["prompt"].is_string() => Ok(()),
        Endpoint::Completions => Err(invalid_request("prompt: must be a string")),
    }
}

fn check_messages(messages: &Value) -> Result<(), Failure> {
    let messages = messages.as_array().filter(|messages| !messages.is_empty());
    let messages =
        messages.ok_or_else(|| invalid_request("messages: must be a list that is not empty"))?;
    for (index, message) in messages.iter().enumerate() {
        if !message["role"].is_string() {
            return Err(invalid_request(format!("messages[{index}].role: must be a string")));
        }
        if !message["content"].is_string() && !message["content"].is_array() {
            return Err(invalid_request(format!(
                "messages[{index}].content: must be text or its parts"
            )));
        }
    }
    Ok(())
}

/// Returns the weights version of a model, or of the model that `model` is an adapter of.
fn weights_version_of(document: &Document, model: &ModelId) -> Result<WeightsVersion, Failure> {
    if let Some(base) = document.models.get(model) {
        return Ok(base.weights_version.clone());
    }
    let base = document.models.values().find(|base| base.adapters.contains(model));
    base.map(|base| base.weights_version.clone()).ok_or_else(|| {
        Failure::not_run(FailureCode::ModelNotFound, format!("model `{model}` is not served"))
    })
}

/// Returns the priority that `headers` name, at most the highest one of the workspace.
fn request_priority(
    document: &Document,
    workspace: &WorkspaceId,
    headers: &HeaderMap,
) -> Result<Priority, Failure> {
    let workspace = document.workspaces.get(workspace).ok_or_else(not_ready)?;
    let Some(value) = headers.get(PRIORITY_HEADER) else {
        return Ok(workspace.default_priority);
    };
    let priority = value.to_str().ok().and_then(|value| value.parse::<Priority>().ok());
    let priority = priority.ok_or_else(|| {
        invalid_request(format!("{PRIORITY_HEADER}: must be batch, normal or interactive"))
    })?;
    Ok(priority.min(workspace.highest_priority))
}
