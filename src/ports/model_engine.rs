//! Port of a model engine.

use crate::decision::routing::PrefixLevel;
use crate::types::{
    Incarnation, LogOffset, ModelId, PeerResult, Priority, RequestId, WeightsVersion,
};
use async_trait::async_trait;
use futures_lite::Stream;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::pin::Pin;

/// Request to a model engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id that the engine echoes in each frame.
    pub request_id: RequestId,
    /// Path of the endpoint: `/v1/chat/completions` or `/v1/completions`.
    pub path: &'static str,
    /// Body in the published form of that endpoint, with `stream` set.
    pub body: Value,
    /// Priority.
    pub priority: Priority,
    /// Weights the request must run on.
    pub weights_version: WeightsVersion,
    /// Number of the first frame wanted; frames before it have reached the caller.
    pub resume_from_frame: u64,
    /// Levels of the prompt, outermost first.
    pub prefix_levels: Vec<PrefixLevel>,
    /// Prefix keys that the engine should import from the KV store first, outermost level first.
    pub import_keys: Vec<u64>,
    /// Milliseconds that the engine may take for the whole request.
    pub time_limit_ms: u64,
}

/// Frame of a stream, in order, numbered from 0 without gaps.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFrame {
    /// Piece of the answer.
    Piece {
        /// Number of the frame.
        number: u64,
        /// Chunk in the published form of the endpoint.
        chunk: Value,
    },
    /// End of a complete answer.
    End {
        /// Number of the frame.
        number: u64,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Prompt tokens that came from the engine's cache.
        cached_tokens: u32,
        /// Tokens generated.
        completion_tokens: u32,
    },
}

/// Stream of frames. It ends after [`EngineFrame::End`] or with an error, never silently.
pub type FrameStream = Pin<Box<dyn Stream<Item = PeerResult<EngineFrame>> + Send>>;

/// Answer under way.
pub struct EngineAnswer {
    /// Incarnation of the engine that runs the request.
    pub incarnation: Incarnation,
    /// Load report that came with the head of the answer, if the engine sends one.
    pub load: Option<LoadReport>,
    /// Frames.
    pub frames: FrameStream,
}

/// Model loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Model.
    pub model: ModelId,
    /// Version of its weights.
    pub weights_version: WeightsVersion,
    /// Adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<ModelId>,
}

/// Load of an engine; it lags behind the truth.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Requests in the batch.
    pub running_requests: u32,
    /// Requests waiting.
    pub waiting_requests: u32,
    /// Prompt tokens waiting to be computed.
    pub waiting_prompt_tokens: u64,
    /// Models loaded.
    pub models: Vec<LoadedModel>,
    /// Models being loaded.
    #[serde(default)]
    pub loading: Vec<LoadedModel>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Highest fencing number seen in an order, 0 if none.
    #[serde(default)]
    pub fencing_number: LogOffset,
    /// Sequence number that the next cache event will get.
    pub next_event: u64,
}

/// Change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheEvent {
    /// The prefix up to a level is cached.
    Stored {
        /// Sequence number; a gap means lost events.
        sequence: u64,
        /// Key that the request named for the level.
        prefix_key: u64,
        /// Tokens up to the end of the level.
        tokens: u32,
    },
    /// The prefix up to a level is no longer wholly cached.
    Evicted {
        /// Sequence number; a gap means lost events.
        sequence: u64,
        /// Key that the request named for the level.
        prefix_key: u64,
    },
}

/// Page of cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventPage {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number to ask for next.
    pub next_event: u64,
    /// Events in sequence order, perhaps with gaps.
    pub events: Vec<CacheEvent>,
}

/// Order to an engine; it states the wanted end state in absolute terms.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is given.
    pub fencing_number: LogOffset,
    /// What is ordered.
    pub kind: EngineOrderKind,
}

/// Kind of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrderKind {
    /// Serve exactly these models.
    ServeModels {
        /// Wanted models.
        models: Vec<LoadedModel>,
    },
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Accepted; loading may still go on.
    Accepted,
    /// Refused because a higher fencing number has been seen.
    Fenced,
}

/// Model engines, each reached by its address.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Starts a request and returns its answer under way.
    async fn generate(
        &self,
        address: SocketAddr,
        request: EngineRequest,
    ) -> PeerResult<EngineAnswer>;

    /// Cancels a request; a request that is not running is not an error.
    async fn cancel(&self, address: SocketAddr, request_id: RequestId) -> PeerResult<()>;

    /// Returns the engine's load report.
    async fn load(&self, address: SocketAddr) -> PeerResult<LoadReport>;

    /// Returns cache events from sequence number `from` on.
    async fn cache_events(&self, address: SocketAddr, from: u64) -> PeerResult<CacheEventPage>;

    /// Gives an order.
    async fn order(&self, address: SocketAddr, order: EngineOrder) -> PeerResult<OrderOutcome>;
}
