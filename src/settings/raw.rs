//! Raw form of the settings file.

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
    /// Addresses that the node listens on.
    pub listen: RawListenSettings,
    /// Addresses of the platform's services.
    pub platform: RawPlatformSettings,
    /// Key shared by all nodes, which authenticates partner links.
    pub partner_key: SmolStr,
    /// SHA-256 of the administrator key that counts while the document names no owner.
    pub bootstrap_key_hash: Option<SmolStr>,
    /// Routing policy.
    pub routing_policy: SmolStr,
    /// Limits on calls.
    pub limits: LimitSettings,
    /// Threads that serve traffic.
    pub traffic_threads: usize,
    /// Periods of the control thread's exchanges.
    pub control: ControlSettings,
    /// Claims of idempotency keys.
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

/// Addresses that a node listens on, as `ip:port`; port 0 takes a free one.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct RawListenSettings {
    /// Callers' listener.
    pub callers: SmolStr,
    /// Administration API's listener.
    pub admin: SmolStr,
    /// Partner links' listener.
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
    /// Store of kept KV cache, where the site has one.
    pub kv_store: Option<SmolStr>,
}

/// Claims of idempotency keys; the same on all nodes.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct RawClaimsSettings {
    /// Milliseconds after its first use, or after the time that it carries, for which a key holds.
    pub key_age_ms: u64,
    /// Largest difference in milliseconds between the clocks of callers and of the log.
    pub clock_skew_ms: u64,
    /// Milliseconds for which the log is known to keep records.
    pub log_retention_ms: u64,
    /// Appends a second to the stream of claims, over all nodes.
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
