//! Settings of a node: the raw form read from a JSON file and the checked form.

pub mod check;
pub mod control;
pub mod limits;
pub mod raw;

pub use control::ControlSettings;
pub use limits::LimitSettings;
pub use raw::RawSettings;

use crate::decision::claims::ClaimsSettings;
use crate::decision::routing::RoutingPolicy;
use crate::types::{AvailabilityZone, Faults};
use anyhow::Context;
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

impl Settings {
    /// Reads and checks the settings file at `path`; the error names every fault.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        load_file(path, Self::parse)
    }

    /// Reads and checks settings in JSON.
    ///
    /// # Errors
    ///
    /// All faults found, unknown fields and wrong values together.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut faults = Faults::default();
        let raw: RawSettings = faults.read_json(text)?;
        let settings = faults.collect_faults("", Self::try_from(raw));
        Ok(faults.into_checked(settings)?)
    }
}

/// Reads the settings file at `path` and checks it with `parse`.
///
/// # Errors
///
/// A file that cannot be read, or what `parse` found.
pub fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("step=read_settings file={}", path.display()))?;
    parse(&text).with_context(|| format!("step=check_settings file={}", path.display()))
}
