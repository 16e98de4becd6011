//! JSON form of the configuration document, as operators write it, before it is checked.

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
    /// Site-wide settings.
    pub site: RawSite,
    /// Owners of sections by name.
    pub owners: BTreeMap<OwnerId, RawOwner>,
}

/// Team or person that reads or edits the document.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawOwner {
    /// SHA-256 of each API key, in lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Role, which determines what the owner may do.
    pub role: OwnerRole,
    /// Sections that an editor may edit: paths such as `workspaces/survey`, or prefixes such as
    /// `workspaces/survey*`.
    #[serde(default)]
    pub sections: Vec<SmolStr>,
}

/// Workspace of a team, with its API keys and limits.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawWorkspace {
    /// SHA-256 of each API key, in lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Maximum requests per second over all nodes.
    pub requests_per_s: u32,
    /// Maximum number of concurrent requests over all nodes.
    pub concurrent_requests: u32,
    /// Maximum prompt and completion tokens per second over all nodes.
    pub tokens_per_s: u64,
    /// Priority of requests that do not set one.
    pub default_priority: Priority,
    /// Highest priority that a request may set.
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

/// Weights of the routing score; each is a factor of an expected time in seconds.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawScoreWeights {
    /// Weight of the expected time to first token.
    pub first_token: f64,
    /// Weight of the time that an engine spends on prefilling uncached tokens.
    pub recomputation: f64,
    /// Weight of the network delay between availability zones.
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
    /// Version of the weights that servers must load.
    pub weights_version: WeightsVersion,
    /// Adapters that servers load with the model.
    pub adapters: Vec<ModelId>,
    /// Prompt tokens that a server prefills per second.
    pub prefill_tokens_per_s: u32,
    /// Tokens that a server generates per second for one request.
    pub decode_tokens_per_s: u32,
    /// Tokens of stored KV cache that a server imports per second.
    pub import_tokens_per_s: u32,
    /// Minimum number of servers that serve the model.
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
    /// Address of the server as `ip:port`.
    pub address: SmolStr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
    /// Whether the server rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Maximum number of requests that the server runs concurrently.
    pub concurrent_requests: u32,
    /// Maximum number of models that the server can have loaded at the same time.
    #[serde(default = "default_model_slots")]
    pub model_slots: u32,
    /// Power draw without requests.
    pub idle_watts: u32,
    /// Additional power draw of each running request.
    pub request_watts: u32,
}

fn default_model_slots() -> u32 {
    1
}

/// Plain service, which the site offers besides models.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Servers of the service by name.
    pub servers: BTreeMap<ServerId, RawServiceServer>,
    /// Calls that must not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<RawCallPattern>,
    /// Timeout of a call in milliseconds.
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
    /// Address of the server as `ip:port`.
    pub address: SmolStr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
}

/// Pattern that matches the calls with a method and a path prefix.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallPattern {
    /// Method in upper case.
    pub method: SmolStr,
    /// Prefix of the call's path.
    pub path_prefix: SmolStr,
}

/// Site-wide settings: power budget, number of nodes and delays between availability zones.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawSite {
    /// Maximum power draw of all backend servers together.
    pub budget_watts: u32,
    /// Maximum number of nodes that run at the same time.
    pub max_nodes: u32,
    /// Delays between availability zones.
    pub zone_links: Vec<RawZoneLink>,
    /// Seconds for which a node that cannot reach the log may use its share of the power budget.
    pub power_lease_s: u32,
}

impl Default for RawSite {
    fn default() -> Self {
        Self { budget_watts: 0, max_nodes: 0, zone_links: Vec::new(), power_lease_s: 900 }
    }
}

/// Network link between two availability zones; its delay is the same in both directions.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawZoneLink {
    /// First availability zone.
    pub from: AvailabilityZone,
    /// Second availability zone.
    pub to: AvailabilityZone,
    /// One-way delay in microseconds.
    pub delay_us: u32,
}
