//! JSON form of the settings file, before it is checked.

use super::{ControlSettings, LimitSettings};
use crate::decision::claims::ClaimsSettings;
use crate::types::AvailabilityZone;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Settings of a node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance.
    pub instance_name: SmolStr,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Addresses of the node's listeners.
    pub listen: RawListenSettings,
    /// Addresses of the platform's services.
    pub platform: RawPlatformSettings,
    /// Key that all nodes share to authenticate partner links.
    pub partner_key: SmolStr,
    /// SHA-256 of an API key that acts as administrator while the document has no owners.
    pub bootstrap_key_hash: Option<SmolStr>,
    /// Routing policy.
    pub routing_policy: SmolStr,
    /// Limits on requests of callers.
    pub limits: LimitSettings,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
    /// Periods and bandwidth of the control thread.
    pub control: ControlSettings,
    /// Settings of the claims of idempotency keys.
    pub claims: RawClaimsSettings,
}

impl Default for RawSettings {
    fn default() -> Self {
        Self {
            instance_name: SmolStr::default(),
            availability_zone: AvailabilityZone::default(),
            listen: RawListenSettings::default(),
            platform: RawPlatformSettings::default(),
            partner_key: SmolStr::default(),
            bootstrap_key_hash: None,
            routing_policy: SmolStr::new_static("coriandertide"),
            limits: LimitSettings::default(),
            traffic_threads: 2,
            control: ControlSettings::default(),
            claims: RawClaimsSettings::default(),
        }
    }
}

/// Addresses of a node's listeners, as `ip:port`; port 0 selects a free port.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct RawListenSettings {
    /// Listener for callers.
    pub callers: SmolStr,
    /// Listener for the administration API.
    pub admin: SmolStr,
    /// Listener for partner links.
    pub partners: SmolStr,
}

impl Default for RawListenSettings {
    fn default() -> Self {
        Self {
            callers: SmolStr::new_static("127.0.0.1:8080"),
            admin: SmolStr::new_static("127.0.0.1:8081"),
            partners: SmolStr::new_static("127.0.0.1:8082"),
        }
    }
}

/// Addresses of the platform's services, as `ip:port`.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct RawPlatformSettings {
    /// Log service.
    pub log: SmolStr,
    /// Instance list.
    pub instance_list: SmolStr,
    /// Store of saved KV cache, if the site has one.
    pub kv_store: Option<SmolStr>,
}

/// Settings of the claims of idempotency keys; they must be the same on all nodes.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct RawClaimsSettings {
    /// Milliseconds for which a key is valid after its first use, or after the time in the key.
    pub key_age_ms: u64,
    /// Maximum difference in milliseconds between the clocks of callers and the log's clock.
    pub clock_skew_ms: u64,
    /// Minimum milliseconds for which the log retains records.
    pub log_retention_ms: u64,
    /// Maximum appends per second to the claims stream, over all nodes.
    pub appends_per_s: u32,
}

impl Default for RawClaimsSettings {
    fn default() -> Self {
        let claims = ClaimsSettings::default();
        Self {
            key_age_ms: claims.key_age_ms,
            clock_skew_ms: claims.clock_skew_ms,
            log_retention_ms: claims.log_retention_ms,
            appends_per_s: claims.appends_per_s,
        }
    }
}
