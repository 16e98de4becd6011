//! Messages of the routing decision.

use crate::document::Document;
use crate::ports::{CacheEventPage, LoadReport};
use crate::types::{Incarnation, ModelId, RequestId, ServerId, WorkspaceId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, EnumString, IntoStaticStr};

/// Level of a prompt: the prefix up to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixLevel {
    /// Key of the prefix, seeded with workspace, model and weights version.
    pub key: u64,
    /// Bytes of the prompt up to the end of the level.
    pub bytes: u32,
    /// Estimated tokens up to the end of the level.
    pub tokens: u32,
    /// Whether the homes of the request are chosen by this level; true for one level of a prompt.
    pub anchor: bool,
}

/// Event that changes the routing state.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// The document in force changed.
    Document(Arc<Document>),
    /// Servers that must get no new work.
    Leaving(BTreeSet<ServerId>),
    /// A server reported its load.
    Load {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the node asked for the report.
        asked_at: Instant,
    },
    /// A server published cache events.
    CacheEvents {
        /// Server.
        server: ServerId,
        /// Events.
        page: CacheEventPage,
    },
    /// A request was sent to a server.
    Sent(SentRequest),
    /// A server completed an answer.
    Answer(AnswerFeedback),
    /// A request failed on a server without an answer.
    ServerFailed {
        /// Server.
        server: ServerId,
    },
    /// The number of live nodes, this one included, changed.
    LiveNodes(u32),
    /// The KV store told what it keeps.
    StoredPrefixes(Vec<StoredPrefix>),
}

/// Prefix that the store of kept KV cache was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredPrefix {
    /// Key of the prefix.
    pub key: u64,
    /// Tokens kept under it, 0 if none.
    pub tokens: u32,
}

/// Request that was sent to a server.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Server.
    pub server: ServerId,
    /// Second best server, which may be used next.
    pub runner_up: Option<ServerId>,
    /// Levels of the prompt.
    pub levels: Vec<PrefixLevel>,
}

/// What an answer says about a server's cache.
#[derive(Clone, Debug)]
pub struct AnswerFeedback {
    /// Server that answered.
    pub server: ServerId,
    /// Incarnation of the server when it answered.
    pub incarnation: Incarnation,
    /// Model.
    pub model: ModelId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Levels of the prompt.
    pub levels: Vec<PrefixLevel>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that came from the cache.
    pub cached_tokens: u32,
    /// Times of the request, none if the answer was pieced together from several servers.
    pub timing: Option<AnswerTiming>,
}

/// Times of a request on one server.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTiming {
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the first token came.
    pub first_token_at: Instant,
    /// When the answer was complete.
    pub ended_at: Instant,
    /// What the choice of the server rested on.
    pub expectation: Expectation,
}

/// Question to the routing decision.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// Request.
    pub request: RequestId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Levels of the prompt, outermost first; the last ends with the prompt.
    pub levels: Vec<PrefixLevel>,
    /// Servers that the request must not run on again.
    pub excluded: Vec<ServerId>,
}

/// Choice of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// Chosen server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Second best server.
    pub runner_up: Option<ServerId>,
    /// Prompt tokens expected from the server's cache.
    pub expected_hit_tokens: u32,
    /// Requests believed to wait on the server.
    pub queued_requests: u32,
    /// Reason of the choice.
    pub reason: RouteReason,
    /// Prefix keys to import from the KV store first.
    pub import_keys: Vec<u64>,
    /// What the choice rests on; handed back with the answer.
    pub expectation: Expectation,
}

/// What a choice rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expectation {
    /// Expected wait before the server starts on the prompt, by report and count alone.
    pub wait_ms: u32,
    /// Innermost level that the server was believed to hold.
    pub cached_level: Option<CachedLevel>,
    /// Whether the server is a home of the request.
    pub is_home: bool,
}

/// Level that a server was believed to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedLevel {
    /// Bytes of the prompt up to the end of the level.
    pub bytes: u32,
    /// When the server last stored or used it.
    pub used_at: Instant,
}

/// Reason of a choice.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteReason {
    /// The server is believed to hold the longest prefix.
    CachedPrefix,
    /// The server is a home of the prefix.
    Home,
    /// The homes are loaded; the server has the least expected time to the first token.
    Spill,
    /// The server imports the prefix from the KV store.
    Import,
    /// The policy takes servers in turn.
    Turn,
    /// The server has the fewest requests under way.
    LeastOutstanding,
}

/// Routing policy: ours and the baselines it is measured against.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, EnumString, IntoStaticStr, PartialEq, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Servers in turn.
    RoundRobin,
    /// Fewest requests under way from this node.
    LeastOutstanding,
    /// Consistent hash of the first level.
    PrefixHash,
    /// Homes, beliefs and expected time to the first token.
    #[default]
    Coriandertide,
}
