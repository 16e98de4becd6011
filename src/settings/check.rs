//! Conversion of raw settings into the checked form, with a fault for each invalid value.

use super::raw::{RawClaimsSettings, RawListenSettings, RawPlatformSettings, RawSettings};
use super::{ListenSettings, PlatformSettings, Settings};
use crate::decision::claims::ClaimsSettings;
use crate::decision::routing::RoutingPolicy;
use crate::document::is_key_hash;
use crate::types::Faults;
use std::net::{Ipv4Addr, SocketAddr};

/// Minimum length of the partner key.
const MIN_PARTNER_KEY_BYTES: usize = 16;

/// Maximum number of traffic threads of a node.
const MAX_TRAFFIC_THREADS: usize = 64;

impl TryFrom<RawSettings> for Settings {
    type Error = Faults;

    fn try_from(raw: RawSettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check_identity(&raw.instance_name, &raw.availability_zone, &raw.partner_key, &mut faults);
        faults.require(
            (1..=MAX_TRAFFIC_THREADS).contains(&raw.traffic_threads),
            "traffic_threads",
            format!("must be from 1 to {MAX_TRAFFIC_THREADS}"),
        );
        faults.require(
            raw.bootstrap_key_hash.as_ref().is_none_or(|hash| is_key_hash(hash)),
            "bootstrap_key_hash",
            "must be a SHA-256 in lower-case hexadecimal",
        );
        raw.limits.check(&mut faults);
        raw.control.check(&mut faults);
        let settings = Settings {
            instance_name: raw.instance_name,
            availability_zone: raw.availability_zone,
            listen: check_listen(&raw.listen, &mut faults),
            platform: check_platform(&raw.platform, &mut faults),
            partner_key: raw.partner_key,
            bootstrap_key_hash: raw.bootstrap_key_hash,
            routing_policy: check_policy(&raw.routing_policy, &mut faults),
            limits: raw.limits,
            traffic_threads: raw.traffic_threads,
            control: raw.control,
            claims: check_claims(&raw.claims, &mut faults),
        };
        faults.into_result(settings)
    }
}

fn check_listen(raw: &RawListenSettings, faults: &mut Faults) -> ListenSettings {
    ListenSettings {
        callers: check_address("listen.callers", &raw.callers, faults),
        admin: check_address("listen.admin", &raw.admin, faults),
        partners: check_address("listen.partners", &raw.partners, faults),
    }
}

fn check_platform(raw: &RawPlatformSettings, faults: &mut Faults) -> PlatformSettings {
    PlatformSettings {
        log: check_address("platform.log", &raw.log, faults),
        instance_list: check_address("platform.instance_list", &raw.instance_list, faults),
        kv_store: raw
            .kv_store
            .as_ref()
            .map(|address| check_address("platform.kv_store", address, faults)),
    }
}

fn check_policy(raw: &str, faults: &mut Faults) -> RoutingPolicy {
    raw.parse().unwrap_or_else(|_| {
        faults.add("routing_policy", format!("`{raw}` is not a routing policy"));
        RoutingPolicy::default()
    })
}

fn check_claims(raw: &RawClaimsSettings, faults: &mut Faults) -> ClaimsSettings {
    let claims = ClaimsSettings {
        key_age_ms: raw.key_age_ms,
        clock_skew_ms: raw.clock_skew_ms,
        log_retention_ms: raw.log_retention_ms,
        appends_per_s: raw.appends_per_s,
        ..ClaimsSettings::default()
    };
    claims.check("claims", faults);
    claims
}

/// Checks the settings with which a node identifies itself to its partners.
pub fn check_identity(
    instance_name: &str,
    availability_zone: &str,
    partner_key: &str,
    faults: &mut Faults,
) {
    faults.require(!instance_name.is_empty(), "instance_name", "must not be empty");
    faults.require(!availability_zone.is_empty(), "availability_zone", "must not be empty");
    faults.require(
        partner_key.len() >= MIN_PARTNER_KEY_BYTES,
        "partner_key",
        format!("must have at least {MIN_PARTNER_KEY_BYTES} bytes"),
    );
}

/// Returns the address, or adds a fault at `path` and returns a placeholder.
pub fn check_address(path: &str, raw: &str, faults: &mut Faults) -> SocketAddr {
    raw.parse().unwrap_or_else(|_| {
        faults.add(path, format!("`{raw}` is not an ip:port address"));
        SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))
    })
}
