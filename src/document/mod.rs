//! The operators' configuration document: the checked form that every node works from.

pub mod check;
mod check_owners;
pub mod owner;
pub mod raw;

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
    /// Offset of the last record folded in.
    pub offset: LogOffset,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Site: power and nodes.
    pub site: Site,
    /// Owners of sections by name.
    pub owners: BTreeMap<OwnerId, Owner>,
}

/// Workspace of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
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
    pub score: ScoreWeights,
}

/// Weights of the routing score; each is a factor on expected seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Weight of the expected time to the first token.
    pub first_token: f64,
    /// Weight of the time the engine spends on recomputation.
    pub recomputation: f64,
    /// Weight of the delay of links between availability zones.
    pub zone_link: f64,
}

/// Model that workspaces may call.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
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

/// Backend server that runs models.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether the server refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Requests that the server runs at once.
    pub concurrent_requests: u32,
    /// Models that fit on the server at once.
    pub model_slots: u32,
    /// Draw without work.
    pub idle_watts: u32,
    /// Additional draw of each running request.
    pub request_watts: u32,
}

/// Plain service beside the model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Servers of the service.
    pub servers: Vec<ServiceServer>,
    /// Calls that may not be repeated.
    pub non_idempotent: Vec<CallPattern>,
    /// Milliseconds that a call may take.
    pub timeout_ms: u64,
}

/// Server of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceServer {
    /// Name.
    pub name: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
}

/// Calls of a method below a path.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPattern {
    /// Method in upper case.
    pub method: SmolStr,
    /// Prefix of the path.
    pub path_prefix: SmolStr,
}

/// Site: power budget, bound on nodes and delays between availability zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Highest draw of all backend servers together.
    pub budget_watts: u32,
    /// Largest number of nodes that may run at once.
    pub max_nodes: u32,
    /// Delays between availability zones.
    pub zone_links: Vec<ZoneLink>,
    /// Milliseconds for which a node may use its share of the power without the log.
    pub power_lease_ms: u64,
}

/// One-way delay between two availability zones, the same in both directions.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneLink {
    /// One end.
    pub from: AvailabilityZone,
    /// Other end.
    pub to: AvailabilityZone,
    /// One-way delay in microseconds.
    pub delay_us: u32,
}
