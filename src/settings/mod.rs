//! Settings of a node: the raw form read from a JSON file and the checked form.

pub mod check;
pub mod raw;

pub use raw::RawSettings;

use crate::decision::claims::ClaimsSettings;
use crate::decision::routing::RoutingPolicy;
use crate::types::AvailabilityZone;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::path::Path;

/// Checked settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance_name: SmolStr,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Addresses that the node listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Key shared by all nodes, which authenticates partner links.
    pub partner_key: SmolStr,
    /// SHA-256 of the administrator key that counts while the document names no owner.
    pub bootstrap_key_hash: Option<SmolStr>,
    /// Routing policy.
    pub routing_policy: RoutingPolicy,
    /// Limits on calls.
    pub limits: LimitSettings,
    /// Threads that serve traffic.
    pub traffic_threads: usize,
    /// Periods of the control thread's exchanges.
    pub control: ControlSettings,
    /// Claims of idempotency keys.
    pub claims: ClaimsSettings,
}

/// Addresses that a node listens on; port 0 takes a free one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Callers' listener.
    pub callers: SocketAddr,
    /// Administration API's listener.
    pub admin: SocketAddr,
    /// Partner links' listener.
    pub partners: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Log service.
    pub log: SocketAddr,
    /// Instance list.
    pub instance_list: SocketAddr,
    /// Store of kept KV cache, where the site has one.
    pub kv_store: Option<SocketAddr>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// Milliseconds that a caller may take to send a request's head or body.
    pub read_timeout_ms: u64,
    /// Milliseconds that a model request may take as a whole.
    pub request_timeout_ms: u64,
    /// Milliseconds without a frame after which an attempt is given up.
    pub frame_timeout_ms: u64,
    /// Milliseconds for which a draining node still accepts calls after readiness has gone.
    pub drain_grace_ms: u64,
    /// Milliseconds that a draining node waits for running requests.
    pub drain_timeout_ms: u64,
}

/// Periods of the control thread's exchanges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// Milliseconds between reads of each log stream.
    pub log_period_ms: u64,
    /// Milliseconds between reads of the instance list.
    pub instance_list_period_ms: u64,
    /// Milliseconds between load reports of a server in use.
    pub load_period_ms: u64,
    /// Milliseconds that an exchange with the platform may take.
    pub exchange_timeout_ms: u64,
    /// Milliseconds after which the configuration is republished; below a quarter of the time for
    /// which the log keeps records.
    pub snapshot_period_ms: u64,
    /// Bytes a second for load reports and cache events.
    pub poll_bytes_per_s: u32,
    /// Bytes a second for partner links.
    pub link_bytes_per_s: u32,
}

impl Settings {
    /// Reads and checks the settings file at `path`; the error names every fault.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        use anyhow::Context;
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("step=read_settings file={}", path.display()))?;
        let raw: RawSettings = serde_json::from_str(&text)
            .with_context(|| format!("step=parse_settings file={}", path.display()))?;
        Ok(Self::try_from(raw)?)
    }
}
