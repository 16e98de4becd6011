//! Port of the model engines.

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
    /// Request id, which the engine repeats in each frame.
    pub request_id: RequestId,
    /// Path of the endpoint: `/v1/chat/completions` or `/v1/completions`.
    pub path: &'static str,
    /// Body in the public format of that endpoint, with `stream` set.
    pub body: Value,
    /// Priority of the request.
    pub priority: Priority,
    /// Version of the weights that the request must run on.
    pub weights_version: WeightsVersion,
    /// Number of the first frame to send; the frames before it have reached the caller.
    pub resume_from_frame: u64,
    /// Nested prefixes of the prompt, shortest first.
    pub prefix_levels: Vec<PrefixLevel>,
    /// Keys of the prefixes to import from the KV store before prefilling, shortest first.
    pub import_keys: Vec<u64>,
    /// Milliseconds that the engine may take for the whole request.
    pub time_limit_ms: u64,
}

/// Frame of an answer stream; frames are numbered from 0 without gaps.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFrame {
    /// Piece of the answer.
    Piece {
        /// Number of the frame.
        number: u64,
        /// Chunk in the public format of the endpoint.
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
        /// Generated tokens.
        completion_tokens: u32,
    },
}

/// Stream of frames, which always ends with [`EngineFrame::End`] or an error.
pub type FrameStream = Pin<Box<dyn Stream<Item = PeerResult<EngineFrame>> + Send>>;

/// Answer whose frames are still being received.
pub struct EngineAnswer {
    /// Incarnation of the engine that runs the request.
    pub incarnation: Incarnation,
    /// Load report in the head of the answer, `None` if the engine sends none.
    pub load: Option<LoadReport>,
    /// Frames of the answer.
    pub frames: FrameStream,
}

/// Model that an engine has loaded or is to load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of its weights.
    pub weights_version: WeightsVersion,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<ModelId>,
}

/// Load of an engine at the time of the report; it may have changed since.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Requests that the engine is running.
    pub running_requests: u32,
    /// Requests in the engine's queue.
    pub waiting_requests: u32,
    /// Prompt tokens waiting for prefill.
    pub waiting_prompt_tokens: u64,
    /// Models loaded.
    pub models: Vec<LoadedModel>,
    /// Models being loaded.
    #[serde(default)]
    pub loading: Vec<LoadedModel>,
    /// Whether the engine is shutting down.
    pub leaving: bool,
    /// Highest fencing number in an order so far, 0 if there was none.
    #[serde(default)]
    pub fencing_number: LogOffset,
    /// Sequence number of the next cache event.
    pub next_event: u64,
}

/// Change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheEvent {
    /// The prefix up to the end of a level was cached.
    Stored {
        /// Sequence number; a gap means that events were lost.
        sequence: u64,
        /// Key of the level, as sent with the request.
        prefix_key: u64,
        /// Tokens of the prompt up to the end of the level.
        tokens: u32,
    },
    /// The prefix up to the end of a level is no longer completely cached.
    Evicted {
        /// Sequence number; a gap means that events were lost.
        sequence: u64,
        /// Key of the level, as sent with the request.
        prefix_key: u64,
    },
}

/// Page of cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventPage {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number from which to read next.
    pub next_event: u64,
    /// Events in sequence order, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// Order to an engine. It describes the complete target state, so it can be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is sent.
    pub fencing_number: LogOffset,
    /// Target state.
    pub kind: EngineOrderKind,
}

/// Kind of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrderKind {
    /// Serve exactly these models.
    ServeModels {
        /// Models to serve.
        models: Vec<LoadedModel>,
    },
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Accepted; the models may still be loading.
    Accepted,
    /// Rejected because the engine has seen a higher fencing number.
    Fenced,
}

/// Client of model engines, which are identified by their address.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Starts a request and returns its answer once the head has arrived.
    async fn generate(
        &self,
        address: SocketAddr,
        request: EngineRequest,
    ) -> PeerResult<EngineAnswer>;

    /// Cancels a request; cancelling one that does not run is not an error.
    async fn cancel(&self, address: SocketAddr, request_id: RequestId) -> PeerResult<()>;

    /// Returns the current load report of an engine.
    async fn load(&self, address: SocketAddr) -> PeerResult<LoadReport>;

    /// Returns the cache events of an engine from sequence number `from` on.
    async fn cache_events(&self, address: SocketAddr, from: u64) -> PeerResult<CacheEventPage>;

    /// Sends an order to an engine.
    async fn order(&self, address: SocketAddr, order: EngineOrder) -> PeerResult<OrderOutcome>;
}
