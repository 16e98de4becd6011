//! Settings of a node: the raw form, as in the JSON settings file, and the checked form.

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
    /// Addresses of the node's listeners.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Key that all nodes share to authenticate partner links.
    pub partner_key: SmolStr,
    /// SHA-256 of an API key that acts as administrator while the document has no owners.
    pub bootstrap_key_hash: Option<SmolStr>,
    /// Routing policy.
    pub routing_policy: RoutingPolicy,
    /// Limits on requests of callers.
    pub limits: LimitSettings,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
    /// Periods and bandwidth of the control thread.
    pub control: ControlSettings,
    /// Settings of the claims of idempotency keys.
    pub claims: ClaimsSettings,
}

/// Addresses of a node's listeners; port 0 selects a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the administration API.
    pub admin: SocketAddr,
    /// Listener for partner links.
    pub partners: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Log service.
    pub log: SocketAddr,
    /// Instance list.
    pub instance_list: SocketAddr,
    /// Store of saved KV cache, `None` if the site has none.
    pub kv_store: Option<SocketAddr>,
}

impl Settings {
    /// Reads and checks the settings file at `path`; the error names all faults.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        load_file(path, Self::parse)
    }

    /// Decodes and checks settings in JSON.
    ///
    /// # Errors
    ///
    /// The text is not valid JSON or a value has the wrong type. Otherwise the error names all
    /// unknown fields and invalid values.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut faults = Faults::default();
        let raw: RawSettings = faults.read_json(text)?;
        let settings = faults.collect_faults("", Self::try_from(raw));
        Ok(faults.into_checked(settings)?)
    }
}

/// Reads the settings file at `path` and decodes it with `parse`.
///
/// # Errors
///
/// The file cannot be read, or `parse` fails.
pub fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("step=read_settings file={}", path.display()))?;
    parse(&text).with_context(|| format!("step=check_settings file={}", path.display()))
}
