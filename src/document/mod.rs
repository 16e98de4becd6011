//! Configuration document of the operators, in the checked form that nodes use.

pub mod check;
mod check_owners;
pub mod owner;
pub mod raw;
pub mod review;

pub use owner::{Owner, OwnerRole, SectionPattern, hash_key, is_key_hash};
pub use raw::RawDocument;

use crate::types::{
    AvailabilityZone, LogOffset, ModelId, OwnerId, Priority, ServerId, ServiceId, WeightsVersion,
    WorkspaceId,
};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Checked configuration document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Offset of the last log record that the document includes.
    pub offset: LogOffset,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Site-wide settings.
    pub site: Site,
    /// Owners of sections by name.
    pub owners: BTreeMap<OwnerId, Owner>,
}

/// Workspace of a team, with its API keys and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
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
    pub score: ScoreWeights,
}

/// Weights of the routing score; each is a factor of an expected time in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Weight of the expected time to first token.
    pub first_token: f64,
    /// Weight of the time that an engine spends on prefilling uncached tokens.
    pub recomputation: f64,
    /// Weight of the network delay between availability zones.
    pub zone_link: f64,
}

/// Model that workspaces may call.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
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

/// Backend server that runs models.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Address of the server.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
    /// Whether the server rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Maximum number of requests that the server runs concurrently.
    pub concurrent_requests: u32,
    /// Maximum number of models that the server can have loaded at the same time.
    pub model_slots: u32,
    /// Power draw without requests.
    pub idle_watts: u32,
    /// Additional power draw of each running request.
    pub request_watts: u32,
}

/// Plain service, which the site offers besides models.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Servers of the service.
    pub servers: Vec<ServiceServer>,
    /// Calls that must not be repeated.
    pub non_idempotent: Vec<CallPattern>,
    /// Timeout of a call in milliseconds.
    pub timeout_ms: u64,
}

/// Server of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceServer {
    /// Name of the server.
    pub name: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
}

/// Pattern that matches the calls with a method and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPattern {
    /// Method in upper case.
    pub method: SmolStr,
    /// Prefix of the call's path.
    pub path_prefix: SmolStr,
}

/// Site-wide settings: power budget, number of nodes and delays between availability zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Maximum power draw of all backend servers together.
    pub budget_watts: u32,
    /// Maximum number of nodes that run at the same time.
    pub max_nodes: u32,
    /// Delays between availability zones.
    pub zone_links: Vec<ZoneLink>,
    /// Milliseconds for which a node that cannot reach the log may use its share of the power
    /// budget.
    pub power_lease_ms: u64,
}

/// Network link between two availability zones; its delay is the same in both directions.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneLink {
    /// First availability zone.
    pub from: AvailabilityZone,
    /// Second availability zone.
    pub to: AvailabilityZone,
    /// One-way delay in microseconds.
    pub delay_us: u32,
}
