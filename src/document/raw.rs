//! Raw form of the configuration document, as operators write it in JSON.

use super::OwnerRole;
use crate::types::{
    AvailabilityZone, ModelId, OwnerId, Priority, ServerId, ServiceId, WeightsVersion, WorkspaceId,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Configuration document.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawDocument {
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, RawWorkspace>,
    /// Models by name.
    pub models: BTreeMap<ModelId, RawModel>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, RawServer>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, RawService>,
    /// Site.
    pub site: RawSite,
    /// Owners of sections by name.
    pub owners: BTreeMap<OwnerId, RawOwner>,
}

/// Team or person that reads or edits the document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawOwner {
    /// SHA-256 of each bearer key, in lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// What the owner may do.
    pub role: OwnerRole,
    /// Sections that an editor may edit: paths such as `workspaces/survey`, or `workspaces/survey*`
    /// for all that start so.
    #[serde(default)]
    pub sections: Vec<SmolStr>,
}

/// Workspace of a team.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawWorkspace {
    /// SHA-256 of each bearer key, in lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Requests a second over all nodes.
    pub requests_per_s: u32,
    /// Requests under way at once over all nodes.
    pub concurrent_requests: u32,
    /// Prompt and completion tokens a second over all nodes.
    pub tokens_per_s: u64,
    /// Priority of requests that name none.
    pub default_priority: Priority,
    /// Highest priority that a request may name.
    pub highest_priority: Priority,
    /// Weights of the routing score.
    pub score: RawScoreWeights,
}

impl Default for RawWorkspace {
    fn default() -> Self {
        Self {
            key_hashes: Vec::new(),
            requests_per_s: 100,
            concurrent_requests: 200,
            tokens_per_s: 1_000_000,
            default_priority: Priority::Normal,
            highest_priority: Priority::Interactive,
            score: RawScoreWeights::default(),
        }
    }
}

/// Weights of the routing score.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawScoreWeights {
    /// Weight of the expected time to the first token.
    pub first_token: f64,
    /// Weight of the time the engine spends on recomputation.
    pub recomputation: f64,
    /// Weight of the delay of links between availability zones.
    pub zone_link: f64,
}

impl Default for RawScoreWeights {
    fn default() -> Self {
        Self { first_token: 1.0, recomputation: 0.5, zone_link: 1.0 }
    }
}

/// Model that workspaces may call.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawModel {
    /// Version of the weights in force.
    pub weights_version: WeightsVersion,
    /// Adapters of the model.
    pub adapters: Vec<ModelId>,
    /// Prompt tokens that a server computes a second.
    pub prefill_tokens_per_s: u32,
    /// Tokens that a server generates a second for one request.
    pub decode_tokens_per_s: u32,
    /// Tokens of kept KV cache that a server imports a second.
    pub import_tokens_per_s: u32,
    /// Least number of servers that serve the model.
    pub least_servers: u32,
}

impl Default for RawModel {
    fn default() -> Self {
        Self {
            weights_version: WeightsVersion::new_static("1"),
            adapters: Vec::new(),
            prefill_tokens_per_s: 8_000,
            decode_tokens_per_s: 40,
            import_tokens_per_s: 80_000,
            least_servers: 1,
        }
    }
}

/// Backend server that runs models.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawServer {
    /// Address as `ip:port`.
    pub address: SmolStr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether the server refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Requests that the server runs at once.
    pub concurrent_requests: u32,
    /// Models that fit on the server at once.
    #[serde(default = "default_model_slots")]
    pub model_slots: u32,
    /// Draw without work.
    pub idle_watts: u32,
    /// Additional draw of each running request.
    pub request_watts: u32,
}

fn default_model_slots() -> u32 {
    1
}

/// Plain service beside the model engines.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Servers of the service by name.
    pub servers: BTreeMap<ServerId, RawServiceServer>,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<RawCallPattern>,
    /// Milliseconds that a call may take.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_service_timeout_ms() -> u64 {
    10_000
}

/// Server of a plain service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawServiceServer {
    /// Address as `ip:port`.
    pub address: SmolStr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
}

/// Calls of a method below a path.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallPattern {
    /// Method in upper case.
    pub method: SmolStr,
    /// Prefix of the path.
    pub path_prefix: SmolStr,
}

/// Site: power budget, bound on nodes and delays between availability zones.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawSite {
    /// Highest draw of all backend servers together.
    pub budget_watts: u32,
    /// Largest number of nodes that may run at once.
    pub max_nodes: u32,
    /// Delays between availability zones.
    pub zone_links: Vec<RawZoneLink>,
    /// Seconds for which a node may use its share of the power without the log.
    pub power_lease_s: u32,
}

impl Default for RawSite {
    fn default() -> Self {
        Self { budget_watts: 0, max_nodes: 0, zone_links: Vec::new(), power_lease_s: 900 }
    }
}

/// One-way delay between two availability zones, the same in both directions.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawZoneLink {
    /// One end.
    pub from: AvailabilityZone,
    /// Other end.
    pub to: AvailabilityZone,
    /// One-way delay in microseconds.
    pub delay_us: u32,
}
