//! Port of the headers and record formats that a site's callers, servers and operators use. Each
//! site has its own; the rest of the code uses only the types of this module.

use crate::decision::relay::{Configuration, NamedLimit, Prompt, RejectionLimit, ServerEntry};
use crate::types::{ModelId, RequestId, ServerId, WeightsRevision, WorkspaceId};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Request id chosen by the caller.
    pub id: Option<RequestId>,
    /// Milliseconds that the caller waits for the answer.
    pub timeout_ms: Option<u64>,
    /// API key of the caller's workspace.
    pub api_key: Option<SmolStr>,
    /// Description of the prompt, for requests to a model.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a stream that it takes up again.
    pub last_event_id: Option<SmolStr>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<RequestId>,
}

/// Values to encode into the head of a request that is forwarded to a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardHead {
    /// Server that must answer; any other has to reject the request.
    pub server: ServerId,
    /// Milliseconds until the request's deadline.
    pub remaining_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceId>,
    /// Whether to remove the caller's API key, which the server must not see.
    pub strips_api_key: bool,
    /// Priority; 0 is the highest.
    pub priority: Option<u8>,
    /// Revision of the weights that the server must have loaded.
    pub weights: Option<WeightsRevision>,
    /// Salt of the cache keys of the prompt's prefixes.
    pub cache_salt: Option<SmolStr>,
    /// Server or store to fetch the prefix's KV cache from.
    pub fetch_from: Option<SocketAddr>,
    /// Store to save the prefix's KV cache to.
    pub save_to: Option<SocketAddr>,
    /// Last event that the caller received, after which a stream resumes.
    pub last_event_id: Option<SmolStr>,
}

/// Decoded head of a server's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Id of the answered request.
    pub request_id: Option<RequestId>,
    /// Whether it has a server's signature.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request and never will.
    pub is_not_run: bool,
    /// Server that answered, as stated by itself.
    pub server: Option<ServerId>,
    /// Whether the body has a content encoding, so that its bytes are not the server's own.
    pub has_content_encoding: bool,
    /// Revision of the weights that the server has loaded.
    pub weights: Option<WeightsRevision>,
    /// Seconds for which the idle connection may be reused, `None` if not stated.
    pub keep_alive_s: Option<u64>,
    /// Whether the server closes the connection after the answer.
    pub closes_connection: bool,
    /// Whether the server is leaving and must get no new requests.
    pub is_leaving: bool,
    /// Milliseconds for which the server wants nothing from this node, `None` if not stated.
    pub pause_ms: Option<u64>,
    /// Requests a second that the server takes from all nodes together.
    pub limit: NamedLimit,
    /// Rejections a second over which the server falls over, `None` if it is not brittle.
    pub brittle: Option<RejectionLimit>,
}

/// Decoded record that an operator wrote.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// Complete configuration.
    Configuration(Box<Configuration>),
    /// Weights that all servers of a model have to load.
    Weights {
        /// Name of the model.
        model: ModelId,
        /// Revision of its weights.
        revision: WeightsRevision,
    },
    /// Record of a kind that the relay does not use.
    Other,
}

/// Encoder and decoder of a site's headers and records.
pub trait Dialect: Send + Sync {
    /// Decodes the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Turns the headers of a caller's request into those of the request to a server.
    fn write_request(&self, headers: &mut HeaderMap, head: &ForwardHead);

    /// Decodes the head of a server's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Sets the request id in the head of an answer that the relay itself produces.
    fn write_request_id(&self, headers: &mut HeaderMap, request: &RequestId);

    /// Decodes a record that an operator wrote.
    ///
    /// # Errors
    ///
    /// The value is invalid; the error names the faults.
    fn read_operator_record(&self, key: &str, value: &Bytes) -> anyhow::Result<OperatorRecord>;

    /// Decodes the record of a server.
    ///
    /// # Errors
    ///
    /// The value does not describe a server; the error says why.
    fn read_server_record(&self, key: &str, value: &Bytes) -> anyhow::Result<ServerEntry>;
}
