//! Port of the headers and records that a site's callers, servers and operators use: each is
//! decoded once into types that say what they hold.

use crate::decision::relay::{Configuration, Prompt, ServerEntry};
use crate::types::{ModelId, RequestId, ServerId, WeightsRevision, WorkspaceId};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id that the caller chose.
    pub id: Option<RequestId>,
    /// Milliseconds that the caller waits.
    pub timeout_ms: Option<u64>,
    /// Key of a workspace.
    pub api_key: Option<SmolStr>,
    /// Prompt, for requests to a model.
    pub prompt: Option<Prompt>,
}

/// What the relay tells a server with a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardHead {
    /// Server that must be the one that answers.
    pub server: ServerId,
    /// Milliseconds that the caller still waits.
    pub remaining_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceId>,
    /// Whether the caller's key must not reach the server.
    pub strips_api_key: bool,
    /// Priority, 0 is the highest.
    pub priority: Option<u8>,
    /// Weights that the server must hold.
    pub weights: Option<WeightsRevision>,
    /// Name under which prefixes are cached.
    pub cache_salt: Option<SmolStr>,
    /// Where to fetch cached prefixes from.
    pub fetch_from: Option<SocketAddr>,
    /// Where to save prefixes to.
    pub save_to: Option<SocketAddr>,
    /// Event after which a stream goes on.
    pub last_event_id: Option<SmolStr>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Request that it answers.
    pub request_id: Option<RequestId>,
    /// Whether it bears a server's signature.
    pub is_signed: bool,
    /// Whether the server says that it did not run the request and never will.
    pub is_not_run: bool,
    /// Server that says it answers.
    pub server: Option<ServerId>,
    /// Whether the body is not the server's own bytes.
    pub has_content_encoding: bool,
    /// Weights that the server holds.
    pub weights: Option<WeightsRevision>,
    /// Seconds for which the connection may be reused, if the server says so.
    pub keep_alive_s: Option<u64>,
    /// Whether the server closes the connection.
    pub closes_connection: bool,
}

/// Record that an operator wrote.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// Whole configuration.
    Configuration(Box<Configuration>),
    /// Weights that the servers are to have.
    Weights {
        /// Model.
        model: ModelId,
        /// Revision.
        revision: WeightsRevision,
    },
    /// Record of another kind.
    Other,
}

/// Translator between a site's wire forms and the product's types.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Turns a caller's headers into those for a server.
    fn write_request(&self, headers: &mut HeaderMap, head: &ForwardHead);

    /// Reads the head of a server's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Writes the id of the answered request into the head of an answer of the relay's own.
    fn write_request_id(&self, headers: &mut HeaderMap, request: &RequestId);

    /// Reads a record that an operator wrote.
    ///
    /// # Errors
    ///
    /// A value that cannot be read; the error names the faults.
    fn read_operator_record(&self, key: &str, value: &Bytes) -> anyhow::Result<OperatorRecord>;

    /// Reads the record of a server.
    ///
    /// # Errors
    ///
    /// A value that names no server; the error says why.
    fn read_server_record(&self, key: &str, value: &Bytes) -> anyhow::Result<ServerEntry>;
}
