//! Requests and replies of the administration API, shared by its server and the command line.

use crate::decision::configuration::{EditEntry, SectionChange, Winner};
use crate::decision::routing::explain::{LevelBelief, ServerBelief};
use crate::types::{
    AvailabilityZone, EditId, InstanceId, LogOffset, ModelId, RequestId, Revision, SectionPath,
    ServerId, WorkspaceId,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Latest accepted document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DocumentReply {
    /// Revision of the accepted document.
    pub revision: Revision,
    /// Revision that the answering node has in force.
    pub in_force: Revision,
    /// Sections by path.
    pub sections: BTreeMap<SectionPath, SectionReply>,
    /// Revisions of recently removed sections: the base of an edit that adds one of them again.
    pub removed: BTreeMap<SectionPath, Revision>,
}

/// Section of the document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct SectionReply {
    /// Revision of the section.
    pub revision: Revision,
    /// Author of the revision.
    pub author: SmolStr,
    /// Id of the edit, none for the initial document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
    /// Value of the section.
    pub value: Value,
}

/// Recent edits.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct HistoryReply {
    /// Edits in log order, oldest first.
    pub edits: Vec<Arc<EditEntry>>,
}

/// Changes to validate.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ValidateRequest {
    /// Changes to sections.
    pub changes: Vec<SectionChange>,
}

/// Result of a validation.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ValidateReply {
    /// Revision that the changes were applied to.
    pub revision: Revision,
    /// Faults of the resulting document, empty if it is valid.
    pub faults: Vec<FaultReply>,
}

/// Fault of a document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct FaultReply {
    /// Path of the faulty value.
    pub path: SmolStr,
    /// Description of the fault.
    pub message: String,
}

/// Document to restore.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RestoreRequest {
    /// Whole document.
    pub document: Value,
}

/// Accepted edit or restored document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EditReply {
    /// Id of the edit, empty for a restored document.
    pub edit_id: EditId,
    /// Revision of the changed sections.
    pub revision: Revision,
}

/// Status of the answering node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StatusReply {
    /// Instance id, new with each start of the process.
    pub instance: InstanceId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Version of the build.
    pub version: SmolStr,
    /// Whether the node is draining.
    pub draining: bool,
    /// Offset of the last folded configuration record.
    pub configuration_offset: LogOffset,
    /// Latest accepted revision.
    pub accepted_revision: Revision,
    /// Revision of the document in force.
    pub in_force: Revision,
    /// Faults that keep the latest accepted document from being in force.
    pub held_back: Vec<FaultReply>,
    /// Offset of a configuration record whose format needs a later build, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub newer_record_offset: Option<LogOffset>,
    /// Latest malformed configuration records.
    pub bad_records: Vec<BadRecordReply>,
    /// Read status of the log streams, by name.
    pub streams: BTreeMap<SmolStr, StreamReply>,
}

/// Malformed configuration record.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct BadRecordReply {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Decoding error.
    pub reason: String,
}

/// How far a node has read a log stream.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StreamReply {
    /// Offset of the next read.
    pub next_offset: LogOffset,
    /// Milliseconds since the last successful read, none before the first.
    pub read_ms_ago: Option<u64>,
    /// Error of the last read, none if it succeeded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Nodes of the site.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct NodesReply {
    /// Nodes that the answering node knows, including itself.
    pub nodes: Vec<NodeReply>,
}

/// Node as seen by the answering node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct NodeReply {
    /// Instance id, new with each start of the process.
    pub instance: InstanceId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Liveness of the node.
    pub state: NodeState,
    /// Offset of the last configuration record folded by the node, none if not announced yet.
    pub configuration_offset: Option<LogOffset>,
    /// Revision that the node has in force, none if not announced yet.
    pub in_force: Option<Revision>,
}

/// Liveness of a node as seen by the answering node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodeState {
    /// In service and not suspected.
    Live,
    /// Suspected or considered to have failed because partners could not reach it.
    Suspected,
    /// Announced that it is stopping.
    Leaving,
}

/// Backend servers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ServersReply {
    /// Servers of the document, ordered by name, as the answering node knows them.
    pub servers: Vec<ServerBelief>,
}

/// Leases of the site.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LeasesReply {
    /// Leases, one of each kind.
    pub leases: Vec<LeaseReply>,
}

/// Lease and its holder.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LeaseReply {
    /// Kind of the lease.
    pub kind: SmolStr,
    /// Node that holds the lease, none if it is free.
    pub holder: Option<InstanceId>,
    /// Fencing number of the latest acquisition.
    pub fencing_number: LogOffset,
}

/// Power budget of the answering node, in watts.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct PowerReply {
    /// Budget of the whole site.
    pub budget_watts: u64,
    /// Watts that the node may commit.
    pub allowed_watts: u64,
    /// Watts committed to running requests.
    pub committed_watts: u64,
    /// Watts granted to partners.
    pub given_watts: u64,
    /// Watts granted by partners.
    pub received_watts: u64,
}

/// Model request to route without sending it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Body of a chat or text completion request.
    pub request: Value,
}

/// Routing decision for a request, and the cache state of its prompt.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ExplainReply {
    /// Requested model.
    pub model: ModelId,
    /// Decision, none if no server is eligible.
    pub decision: Option<DecisionReply>,
    /// Cache state of each prompt level, shortest prefix first.
    pub levels: Vec<LevelBelief>,
}

/// Routing decision.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DecisionReply {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Requested model.
    pub model: ModelId,
    /// Chosen server.
    pub server: ServerId,
    /// Second best server, if any.
    pub runner_up: Option<ServerId>,
    /// Reason for the choice.
    pub reason: SmolStr,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens expected to be cached on the chosen server.
    pub expected_hit_tokens: u32,
    /// Estimated requests in progress or waiting on the chosen server.
    pub queued_requests: u32,
}

/// Recent routing decisions of the answering node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DecisionsReply {
    /// Decisions, oldest first.
    pub decisions: Vec<DecisionReply>,
}

/// Reply to a request that failed.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ErrorReply {
    /// Error that ended the request.
    pub error: ErrorBody,
}

/// Error of the administration API.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Message for people.
    pub message: String,
    /// Code for programs.
    pub code: SmolStr,
    /// Faults of the resulting document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultReply>,
    /// Edit that the rejected edit conflicted with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<Winner>,
    /// Current value of the section in conflict, none if it is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Value>,
}
