//! Requests and replies of the administration API, shared with the command line.

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

/// Accepted document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DocumentReply {
    /// Revision of the accepted document.
    pub revision: Revision,
    /// Revision that this node has in force.
    pub in_force: Revision,
    /// Sections.
    pub sections: BTreeMap<SectionPath, SectionReply>,
    /// Revisions of removed sections; an edit that brings one back names it as its base.
    pub removed: BTreeMap<SectionPath, Revision>,
}

/// Section of the document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct SectionReply {
    /// Revision.
    pub revision: Revision,
    /// Author of the revision.
    pub author: SmolStr,
    /// Id of the edit; none for the first document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
    /// Value.
    pub value: Value,
}

/// Edits in log order, oldest first.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct HistoryReply {
    /// Edits.
    pub edits: Vec<Arc<EditEntry>>,
}

/// Changes to validate.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ValidateRequest {
    /// Changes.
    pub changes: Vec<SectionChange>,
}

/// Result of a validation.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ValidateReply {
    /// Revision that the changes were laid on.
    pub revision: Revision,
    /// Faults of the document that would result; none if it is valid.
    pub faults: Vec<FaultReply>,
}

/// Fault of a document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct FaultReply {
    /// Path of the faulty value.
    pub path: SmolStr,
    /// What is wrong with it.
    pub message: String,
}

/// Document to restore.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RestoreRequest {
    /// Document.
    pub document: Value,
}

/// Accepted edit.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EditReply {
    /// Id of the edit.
    pub edit_id: EditId,
    /// Revision of the changed sections.
    pub revision: Revision,
}

/// State of a node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StatusReply {
    /// Id of this run of the node.
    pub instance: InstanceId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Version of the build.
    pub version: SmolStr,
    /// Whether the node drains.
    pub draining: bool,
    /// Offset of the last configuration record folded in.
    pub configuration_offset: LogOffset,
    /// Revision that the log has accepted.
    pub accepted_revision: Revision,
    /// Revision in force.
    pub in_force: Revision,
    /// Faults for which the accepted document is not in force.
    pub held_back: Vec<FaultReply>,
    /// Offset of a configuration record that needs a later build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub newer_record_offset: Option<LogOffset>,
    /// Latest malformed configuration records.
    pub bad_records: Vec<BadRecordReply>,
    /// Log streams by name.
    pub streams: BTreeMap<SmolStr, StreamReply>,
}

/// Malformed record.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct BadRecordReply {
    /// Offset.
    pub offset: LogOffset,
    /// What is wrong with it.
    pub reason: String,
}

/// Where a node stands in a log stream.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StreamReply {
    /// Offset of the next read.
    pub next_offset: LogOffset,
    /// Milliseconds since the last successful read; none before the first.
    pub read_ms_ago: Option<u64>,
    /// Error of the last read, if it failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Nodes.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct NodesReply {
    /// Nodes that the answering node knows, itself included.
    pub nodes: Vec<NodeReply>,
}

/// Node as another one sees it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct NodeReply {
    /// Id of the run of the node.
    pub instance: InstanceId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// State of the node.
    pub state: NodeState,
    /// Offset of its last configuration record; none if it has not said.
    pub configuration_offset: Option<LogOffset>,
    /// Revision it has in force; none if it has not said.
    pub in_force: Option<Revision>,
}

/// State of a node as another one sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodeState {
    /// Heard of lately.
    Live,
    /// Not heard of lately.
    Suspected,
    /// Leaving.
    Leaving,
}

/// Backend servers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ServersReply {
    /// Servers of the document as the answering node sees them.
    pub servers: Vec<ServerBelief>,
}

/// Leases.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LeasesReply {
    /// Leases.
    pub leases: Vec<LeaseReply>,
}

/// Lease.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LeaseReply {
    /// Kind.
    pub kind: SmolStr,
    /// Holder; none if the lease is free.
    pub holder: Option<InstanceId>,
    /// Fencing number.
    pub fencing_number: LogOffset,
}

/// Power of the answering node.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct PowerReply {
    /// Budget of the site.
    pub budget_watts: u64,
    /// Watts that the node may commit.
    pub allowed_watts: u64,
    /// Watts that it has committed.
    pub committed_watts: u64,
    /// Watts given to partners.
    pub given_watts: u64,
    /// Watts received from partners.
    pub received_watts: u64,
}

/// Question where a request would go.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Body of a chat or completion request.
    pub request: Value,
}

/// Where a request would go and why.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ExplainReply {
    /// Model.
    pub model: ModelId,
    /// Decision; none if no server is eligible.
    pub decision: Option<DecisionReply>,
    /// What is known of each level of the prompt, outermost first.
    pub levels: Vec<LevelBelief>,
}

/// Routing decision.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DecisionReply {
    /// Request.
    pub request: RequestId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Server chosen.
    pub server: ServerId,
    /// Second best server.
    pub runner_up: Option<ServerId>,
    /// Reason.
    pub reason: SmolStr,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens expected from the server's cache.
    pub expected_hit_tokens: u32,
    /// Requests believed to wait on the server.
    pub queued_requests: u32,
}

/// Recent routing decisions of the answering node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DecisionsReply {
    /// Decisions, oldest first.
    pub decisions: Vec<DecisionReply>,
}

/// Error.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ErrorReply {
    /// Error.
    pub error: ErrorBody,
}

/// Body of an error.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ErrorBody {
    /// What went wrong, for people.
    pub message: String,
    /// Code, for programs.
    pub code: SmolStr,
    /// Faults of the document that would result.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultReply>,
    /// Edit that won over a lost one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<Winner>,
    /// Value that the winner left; none if it removed the section.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Value>,
}
