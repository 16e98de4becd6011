//! Settings of a relay node, as read from the file and as checked.

use crate::adapters::caller_memory::DEFAULT_MEMORY_BYTES;
use crate::decision::relay::quota::QuotaWindow;
use crate::decision::relay::resend::ResendSettings;
use crate::settings::check::{check_address, check_identity};
use crate::types::{AvailabilityZone, Faults};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Largest number of cores that the settings accept.
const MAX_PROCESSOR_CORES: f64 = 1_024.0;

/// Largest memory that the settings accept, in megabytes.
const MAX_MEMORY_MB: f64 = 1_048_576.0;

/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Largest number of descriptors that the settings accept.
const MAX_DESCRIPTORS: usize = 1 << 24;

/// Settings of a relay node as read from a file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct RawRelaySettings {
    /// Name of the instance.
    pub instance_name: SmolStr,
    /// Availability zone of the instance.
    pub availability_zone: SmolStr,
    /// Listeners.
    pub listen: RawRelayListen,
    /// Key shared by all nodes, which authenticates partner links.
    pub partner_key: SmolStr,
    /// Partner listeners of other nodes, as `ip:port`, dialed at the start.
    pub seed_partners: Vec<SmolStr>,
    /// Allowance of resends.
    pub resend: RawResendSettings,
    /// Duration of the rollout lease in milliseconds.
    pub rollout_lease_ms: u64,
    /// Periods of a graceful stop.
    pub stop: StopSettings,
    /// Cores that the process may use, in part or whole; 0 if unknown.
    pub processor_cores: f64,
    /// Megabytes that the process may use, 0 if unknown.
    pub memory_mb: f64,
    /// Sockets and files that the process may open, 0 for what the system allows.
    pub max_descriptors: usize,
    /// Whether the whole site starts for the first time, so that no stream has begun yet.
    pub first_start: bool,
    /// How quotas of workspaces are judged.
    pub quota: RawQuotaSettings,
}

/// Addresses of the listeners as read from a file, as `ip:port`, and paths.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct RawRelayListen {
    /// Listener of callers.
    pub callers: SmolStr,
    /// Listener of readiness checks.
    pub readiness: SmolStr,
    /// Path of the readiness check.
    pub readiness_path: SmolStr,
    /// Listener of partner links.
    pub partners: SmolStr,
    /// TCP listener and UDP socket of requests and queries of other nodes; if empty, any free port at
    /// the address of `partners`.
    pub peers: SmolStr,
    /// Listener of metrics scrapes.
    pub metrics: SmolStr,
    /// Path of the metrics.
    pub metrics_path: SmolStr,
}

/// Resend allowance of the site, as read from a file.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct RawResendSettings {
    /// Resends allowed per first attempt.
    pub ratio: f64,
    /// Resends allowed in each window in addition, for all nodes together.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

impl Default for RawResendSettings {
    fn default() -> Self {
        let ResendSettings { ratio, slack, window_ms } = ResendSettings::default();
        Self { ratio, slack, window_s: window_ms as f64 / 1_000.0 }
    }
}

/// Window and tolerance by which quotas of workspaces are judged, as read from a file.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct RawQuotaSettings {
    /// Length of the window in seconds, 0 if quotas are rate and burst alone.
    pub window_s: f64,
    /// Part of the sum in a window that may be exceeded.
    pub excess_ratio: f64,
    /// Units that may be exceeded in addition.
    pub slack_units: f64,
}

/// Periods of a graceful stop.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
pub struct StopSettings {
    /// Milliseconds for which a stopping node accepts connections until load balancers notice.
    pub accept_ms: u64,
    /// Milliseconds after which a stopping node cuts the remaining requests.
    pub limit_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { accept_ms: 2_500, limit_ms: 7_400 }
    }
}

/// Checked settings of a relay node.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Name of the instance.
    pub instance_name: SmolStr,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Listeners.
    pub listen: RelayListen,
    /// Key shared by all nodes, which authenticates partner links.
    pub partner_key: SmolStr,
    /// Partner listeners of other nodes, dialed at the start.
    pub seed_partners: Vec<SocketAddr>,
    /// Allowance of resends.
    pub resend: ResendSettings,
    /// Duration of the rollout lease in milliseconds.
    pub rollout_lease_ms: u64,
    /// Periods of a graceful stop.
    pub stop: StopSettings,
    /// Percent of a core that the process may use, 0 if unknown.
    pub processor_percent: u32,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Sockets and files that the process may open, `None` for what the system allows.
    pub max_descriptors: Option<usize>,
    /// Whether the whole site starts for the first time, so that no stream has begun yet.
    pub is_first_start: bool,
    /// How quotas of workspaces are judged.
    pub quota_window: QuotaWindow,
}

/// Addresses of the listeners, where port 0 means any free port, and paths.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayListen {
    /// Listener of callers.
    pub callers: SocketAddr,
    /// Listener of readiness checks.
    pub readiness: SocketAddr,
    /// Path of the readiness check.
    pub readiness_path: SmolStr,
    /// Listener of partner links.
    pub partners: SocketAddr,
    /// TCP listener and UDP socket of requests and queries of other nodes.
    pub peers: SocketAddr,
    /// Listener of metrics scrapes.
    pub metrics: SocketAddr,
    /// Path of the metrics.
    pub metrics_path: SmolStr,
}

impl TryFrom<RawRelaySettings> for RelaySettings {
    type Error = Faults;

    fn try_from(raw: RawRelaySettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check_identity(&raw.instance_name, &raw.availability_zone, &raw.partner_key, &mut faults);
        faults.require(
            (0.0..=MAX_PROCESSOR_CORES).contains(&raw.processor_cores),
            "processor_cores",
            "must be from 0 to 1024",
        );
        faults.require(
            (0.0..=MAX_MEMORY_MB).contains(&raw.memory_mb),
            "memory_mb",
            "must be from 0 to 1048576",
        );
        faults.require(
            raw.max_descriptors <= MAX_DESCRIPTORS,
            "max_descriptors",
            "must be from 0 to 16777216",
        );
        faults.require(raw.rollout_lease_ms > 0, "rollout_lease_ms", "must be above 0");
        let RawResendSettings { ratio, slack, window_s } = raw.resend;
        faults.require((0.0..=1.0).contains(&ratio), "resend.ratio", "must be from 0 to 1");
        faults.require(slack >= 0.0, "resend.slack", "must not be negative");
        faults.require(window_s > 0.0, "resend.window_s", "must be above 0");
        let quota_window = check_quota(raw.quota, &mut faults);
        faults.require(
            raw.stop.accept_ms < raw.stop.limit_ms,
            "stop.accept_ms",
            "must be below stop.limit_ms",
        );
        let listen = check_listen(raw.listen, &mut faults);
        let seeds = raw.seed_partners.iter().enumerate();
        let seed_partners = seeds
            .map(|(index, seed)| {
                check_address(&format!("seed_partners.{index}"), seed, &mut faults)
            })
            .collect();
        let settings = Self {
            instance_name: raw.instance_name,
            availability_zone: raw.availability_zone,
            listen,
            partner_key: raw.partner_key,
            seed_partners,
            resend: ResendSettings { ratio, slack, window_ms: (window_s * 1_000.0) as u64 },
            rollout_lease_ms: raw.rollout_lease_ms,
            stop: raw.stop,
            processor_percent: (raw.processor_cores * 100.0).round() as u32,
            memory_bytes: match raw.memory_mb > 0.0 {
                true => (raw.memory_mb * BYTES_PER_MB) as usize,
                false => DEFAULT_MEMORY_BYTES,
            },
            max_descriptors: (raw.max_descriptors > 0).then_some(raw.max_descriptors),
            is_first_start: raw.first_start,
            quota_window,
        };
        faults.into_result(settings)
    }
}

fn check_quota(raw: RawQuotaSettings, faults: &mut Faults) -> QuotaWindow {
    let RawQuotaSettings { window_s, excess_ratio, slack_units } = raw;
    faults.require(window_s >= 0.0, "quota.window_s", "must not be negative");
    faults.require(
        (0.0..=1.0).contains(&excess_ratio),
        "quota.excess_ratio",
        "must be from 0 to 1",
    );
    faults.require(slack_units >= 0.0, "quota.slack_units", "must not be negative");
    QuotaWindow {
        window_ms: (window_s * 1_000.0) as u64,
        excess_ratio,
        slack_units: slack_units as u64,
    }
}

fn check_listen(raw: RawRelayListen, faults: &mut Faults) -> RelayListen {
    faults.require(
        raw.readiness_path.starts_with('/'),
        "listen.readiness_path",
        "must begin with a slash",
    );
    faults.require(
        raw.metrics_path.starts_with('/'),
        "listen.metrics_path",
        "must begin with a slash",
    );
    let callers = check_address("listen.callers", &raw.callers, faults);
    let readiness = check_address("listen.readiness", &raw.readiness, faults);
    let partners = check_address("listen.partners", &raw.partners, faults);
    let peers = match raw.peers.as_str() {
        "" => SocketAddr::new(partners.ip(), 0),
        peers => check_address("listen.peers", peers, faults),
    };
    RelayListen {
        callers,
        readiness,
        readiness_path: raw.readiness_path,
        partners,
        peers,
        metrics: check_address("listen.metrics", &raw.metrics, faults),
        metrics_path: raw.metrics_path,
    }
}
