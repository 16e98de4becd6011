//! Events, queries and decisions of routing.

use crate::document::Document;
use crate::ports::{CacheEventPage, LoadReport};
use crate::types::{Incarnation, ModelId, RequestId, ServerId, WorkspaceId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, EnumString, IntoStaticStr};

/// Level of a prompt: one of the nested prefixes into which it is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixLevel {
    /// Key of the prefix, seeded with workspace, model and weights version.
    pub key: u64,
    /// Bytes of the prompt up to the end of the level.
    pub bytes: u32,
    /// Estimated tokens up to the end of the level.
    pub tokens: u32,
    /// Whether this level's key chooses the homes of the request; true for one level of a prompt.
    pub anchor: bool,
}

/// Event that changes the routing state.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// The document in force changed.
    Document(Arc<Document>),
    /// The set of leaving servers, which get no new requests, changed.
    Leaving(BTreeSet<ServerId>),
    /// A load report of a server was received.
    Load {
        /// Server that sent the report.
        server: ServerId,
        /// Load report.
        report: LoadReport,
        /// When the report was requested.
        requested_at: Instant,
    },
    /// A page of a server's cache events was received.
    CacheEvents {
        /// Server that published the events.
        server: ServerId,
        /// Page of events.
        page: CacheEventPage,
    },
    /// A request was sent to a server.
    Sent(SentRequest),
    /// A server completed an answer.
    Answer(AnswerFeedback),
    /// A request to a server failed without an answer.
    ServerFailed {
        /// Server that failed.
        server: ServerId,
    },
    /// The number of live nodes, this one included, changed.
    LiveNodes(u32),
    /// The KV store answered which prefixes it has stored.
    StoredPrefixes(Vec<StoredPrefix>),
}

/// Answer of the KV store for one queried prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredPrefix {
    /// Key of the prefix.
    pub key: u64,
    /// Tokens stored under the key, 0 if none.
    pub tokens: u32,
}

/// Request that was sent to a server.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Server that the request was sent to.
    pub server: ServerId,
    /// Second best server, which a retry may use.
    pub runner_up: Option<ServerId>,
    /// Levels of the prompt.
    pub levels: Vec<PrefixLevel>,
}

/// Completed answer, from which routing learns the server's cache and speed.
#[derive(Clone, Debug)]
pub struct AnswerFeedback {
    /// Server that answered.
    pub server: ServerId,
    /// Incarnation of the server when it answered.
    pub incarnation: Incarnation,
    /// Requested model.
    pub model: ModelId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Levels of the prompt.
    pub levels: Vec<PrefixLevel>,
    /// Tokens of the prompt, counted by the engine.
    pub prompt_tokens: u32,
    /// Prompt tokens that came from the cache, counted by the engine.
    pub cached_tokens: u32,
    /// Times of the request, none if several servers produced the answer.
    pub timing: Option<AnswerTiming>,
}

/// Times of a request on one server.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTiming {
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the first token was received.
    pub first_token_at: Instant,
    /// When the answer was complete.
    pub ended_at: Instant,
    /// What was expected of the server when it was chosen.
    pub expectation: Expectation,
}

/// Request for which a server is to be chosen.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Requested model.
    pub model: ModelId,
    /// Levels of the prompt, outermost first; the last ends with the prompt.
    pub levels: Vec<PrefixLevel>,
    /// Servers that the request must not be sent to.
    pub excluded: Vec<ServerId>,
}

/// Server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// Chosen server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Second best server, if any.
    pub runner_up: Option<ServerId>,
    /// Prompt tokens expected to come from the server's cache.
    pub expected_hit_tokens: u32,
    /// Estimated running and waiting requests of the server.
    pub queued_requests: u32,
    /// Why the server was chosen.
    pub reason: RouteReason,
    /// Prefix keys to import from the KV store before the prefill.
    pub import_keys: Vec<u64>,
    /// What is expected of the server; returned with the answer for learning.
    pub expectation: Expectation,
}

/// Expectation of a chosen server, to compare with the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expectation {
    /// Expected queue wait by reports and request counts, without the learnt excess wait.
    pub wait_ms: u32,
    /// Innermost level that the server was believed to have cached.
    pub cached_level: Option<CachedLevel>,
    /// Whether the server is a home of the request.
    pub is_home: bool,
}

/// Prompt level that a server was believed to have cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedLevel {
    /// Bytes of the prompt up to the end of the level.
    pub bytes: u32,
    /// When the server last cached or used it.
    pub used_at: Instant,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteReason {
    /// The server is believed to have a prefix of the prompt cached.
    CachedPrefix,
    /// The server is a home of the prefix.
    Home,
    /// The homes are loaded, and another server has the best score.
    Spill,
    /// The server imports the prefix from the KV store.
    Import,
    /// The policy chooses servers round-robin.
    Turn,
    /// The server has the fewest requests in progress.
    LeastOutstanding,
}

/// Routing policy: the scoring policy, and baselines for comparison.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, EnumString, IntoStaticStr, PartialEq, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Servers round-robin.
    RoundRobin,
    /// Server with the fewest requests in progress from this node.
    LeastOutstanding,
    /// Rendezvous hash of the outermost level.
    PrefixHash,
    /// Score by expected time to first token, cached prefixes and homes.
    #[default]
    Coriandertide,
}
