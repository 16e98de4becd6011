//! Raw form of the settings file.

use crate::decision::claims::ClaimsSettings;
use crate::types::AvailabilityZone;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Settings of a node.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
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
    pub limits: RawLimitSettings,
    /// Threads that serve traffic.
    pub traffic_threads: usize,
    /// Periods of the control thread's exchanges.
    pub control: RawControlSettings,
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
            limits: RawLimitSettings::default(),
            traffic_threads: 2,
            control: RawControlSettings::default(),
            claims: RawClaimsSettings::default(),
        }
    }
}

/// Addresses that a node listens on, as `ip:port`; port 0 takes a free one.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
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
#[serde(deny_unknown_fields, default)]
pub struct RawPlatformSettings {
    /// Log service.
    pub log: SmolStr,
    /// Instance list.
    pub instance_list: SmolStr,
    /// Store of kept KV cache, where the site has one.
    pub kv_store: Option<SmolStr>,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimitSettings {
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

impl Default for RawLimitSettings {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            answer_bytes: 16 * 1024 * 1024,
            read_timeout_ms: 10_000,
            request_timeout_ms: 60_000,
            frame_timeout_ms: 5_000,
            drain_grace_ms: 2_000,
            drain_timeout_ms: 70_000,
        }
    }
}

/// Periods of the control thread's exchanges.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawControlSettings {
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

impl Default for RawControlSettings {
    fn default() -> Self {
        Self {
            log_period_ms: 250,
            instance_list_period_ms: 1_000,
            load_period_ms: 500,
            exchange_timeout_ms: 2_000,
            snapshot_period_ms: 120_000,
            poll_bytes_per_s: 6_000,
            link_bytes_per_s: 6_000,
        }
    }
}

/// Claims of idempotency keys; the same on all nodes.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
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
