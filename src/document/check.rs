//! Conversion of a raw document into the checked form, with a fault for each invalid value.

use super::check_owners::{check_administrators, check_owner};
use super::is_key_hash;
use super::raw::{
    RawCallPattern, RawDocument, RawModel, RawServer, RawService, RawSite, RawWorkspace,
};
use super::{
    BackendServer, CallPattern, Document, Model, ScoreWeights, Service, ServiceServer, Site,
    Workspace, ZoneLink,
};
use crate::types::Faults;
use smol_str::SmolStr;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;

/// Valid range of `power_lease_s`.
const POWER_LEASE_RANGE_S: RangeInclusive<u32> = 60..=3_600;

impl TryFrom<RawDocument> for Document {
    type Error = Faults;

    fn try_from(raw: RawDocument) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let mut document = Document::default();
        for (name, raw) in raw.workspaces {
            let workspace = check_workspace(&format!("workspaces.{name}"), raw, &mut faults);
            document.workspaces.insert(name, workspace);
        }
        for (name, raw) in raw.models {
            let model = check_model(&format!("models.{name}"), raw, &mut faults);
            document.models.insert(name, model);
        }
        for (name, raw) in raw.servers {
            let server = check_server(&format!("servers.{name}"), raw, &mut faults);
            document.servers.insert(name, server);
        }
        for (name, raw) in raw.services {
            let service = check_service(&format!("services.{name}"), raw, &mut faults);
            document.services.insert(name, service);
        }
        for (name, raw) in raw.owners {
            let owner = check_owner(&format!("owners.{name}"), raw, &mut faults);
            document.owners.insert(name, owner);
        }
        check_administrators(&document, &mut faults);
        document.site = check_site(raw.site, &mut faults);
        check_power_budget(&document, &mut faults);
        faults.into_result(document)
    }
}

fn check_workspace(path: &str, raw: RawWorkspace, faults: &mut Faults) -> Workspace {
    check_key_hashes(path, &raw.key_hashes, faults);
    faults.require(raw.requests_per_s > 0, format!("{path}.requests_per_s"), "must be above 0");
    faults.require(
        raw.concurrent_requests > 0,
        format!("{path}.concurrent_requests"),
        "must be above 0",
    );
    faults.require(raw.tokens_per_s > 0, format!("{path}.tokens_per_s"), "must be above 0");
    faults.require(
        raw.default_priority <= raw.highest_priority,
        format!("{path}.default_priority"),
        "must not be above highest_priority",
    );
    let weights = [
        ("first_token", raw.score.first_token),
        ("recomputation", raw.score.recomputation),
        ("zone_link", raw.score.zone_link),
    ];
    for (name, weight) in weights {
        faults.require(
            weight.is_finite() && weight >= 0.0,
            format!("{path}.score.{name}"),
            "must be a number of 0 or above",
        );
    }
    Workspace {
        key_hashes: raw.key_hashes,
        requests_per_s: raw.requests_per_s,
        concurrent_requests: raw.concurrent_requests,
        tokens_per_s: raw.tokens_per_s,
        default_priority: raw.default_priority,
        highest_priority: raw.highest_priority,
        score: ScoreWeights {
            first_token: raw.score.first_token,
            recomputation: raw.score.recomputation,
            zone_link: raw.score.zone_link,
        },
    }
}

pub(super) fn check_key_hashes(path: &str, key_hashes: &[SmolStr], faults: &mut Faults) {
    for (index, hash) in key_hashes.iter().enumerate() {
        faults.require(
            is_key_hash(hash),
            format!("{path}.key_hashes[{index}]"),
            "must be a SHA-256 in lower-case hexadecimal",
        );
    }
}

fn check_model(path: &str, raw: RawModel, faults: &mut Faults) -> Model {
    let positive_fields = [
        ("prefill_tokens_per_s", raw.prefill_tokens_per_s),
        ("decode_tokens_per_s", raw.decode_tokens_per_s),
        ("import_tokens_per_s", raw.import_tokens_per_s),
        ("least_servers", raw.least_servers),
    ];
    for (name, value) in positive_fields {
        faults.require(value > 0, format!("{path}.{name}"), "must be above 0");
    }
    faults.require(
        !raw.weights_version.is_empty(),
        format!("{path}.weights_version"),
        "must not be empty",
    );
    Model {
        weights_version: raw.weights_version,
        adapters: raw.adapters,
        prefill_tokens_per_s: raw.prefill_tokens_per_s,
        decode_tokens_per_s: raw.decode_tokens_per_s,
        import_tokens_per_s: raw.import_tokens_per_s,
        least_servers: raw.least_servers,
    }
}

fn check_server(path: &str, raw: RawServer, faults: &mut Faults) -> BackendServer {
    faults.require(
        raw.concurrent_requests > 0,
        format!("{path}.concurrent_requests"),
        "must be above 0",
    );
    faults.require(raw.model_slots > 0, format!("{path}.model_slots"), "must be above 0");
    BackendServer {
        address: check_address(path, &raw.address, faults),
        availability_zone: raw.availability_zone,
        checks_fencing: raw.checks_fencing,
        concurrent_requests: raw.concurrent_requests,
        model_slots: raw.model_slots,
        idle_watts: raw.idle_watts,
        request_watts: raw.request_watts,
    }
}

fn check_service(path: &str, raw: RawService, faults: &mut Faults) -> Service {
    faults.require(!raw.servers.is_empty(), format!("{path}.servers"), "must name a server");
    faults.require(raw.timeout_ms > 0, format!("{path}.timeout_ms"), "must be above 0");
    let servers = raw
        .servers
        .into_iter()
        .map(|(name, server)| ServiceServer {
            address: check_address(&format!("{path}.servers.{name}"), &server.address, faults),
            availability_zone: server.availability_zone,
            name,
        })
        .collect();
    let non_idempotent = raw
        .non_idempotent
        .into_iter()
        .enumerate()
        .map(|(index, raw)| check_call(&format!("{path}.non_idempotent[{index}]"), raw, faults))
        .collect();
    Service { servers, non_idempotent, timeout_ms: raw.timeout_ms }
}

fn check_call(path: &str, raw: RawCallPattern, faults: &mut Faults) -> CallPattern {
    let is_method =
        !raw.method.is_empty() && raw.method.bytes().all(|byte| byte.is_ascii_uppercase());
    faults.require(is_method, format!("{path}.method"), "must be a method in upper case");
    faults.require(
        raw.path_prefix.starts_with('/'),
        format!("{path}.path_prefix"),
        "must start with /",
    );
    CallPattern { method: raw.method, path_prefix: raw.path_prefix }
}

fn check_site(raw: RawSite, faults: &mut Faults) -> Site {
    faults.require(
        POWER_LEASE_RANGE_S.contains(&raw.power_lease_s),
        "site.power_lease_s",
        format!("must be from {} to {}", POWER_LEASE_RANGE_S.start(), POWER_LEASE_RANGE_S.end()),
    );
    let zone_links = raw
        .zone_links
        .into_iter()
        .map(|link| ZoneLink { from: link.from, to: link.to, delay_us: link.delay_us })
        .collect();
    Site {
        budget_watts: raw.budget_watts,
        max_nodes: raw.max_nodes,
        zone_links,
        power_lease_ms: u64::from(raw.power_lease_s) * 1_000,
    }
}

fn check_power_budget(document: &Document, faults: &mut Faults) {
    if document.servers.is_empty() {
        return;
    }
    let idle_watts: u64 =
        document.servers.values().map(|server| u64::from(server.idle_watts)).sum();
    faults.require(document.site.max_nodes > 0, "site.max_nodes", "must be above 0");
    faults.require(
        idle_watts <= u64::from(document.site.budget_watts),
        "site.budget_watts",
        format!("must cover the idle draw of all servers, {idle_watts} W"),
    );
}

/// Checks the address of the server at `path`.
fn check_address(path: &str, raw: &str, faults: &mut Faults) -> SocketAddr {
    raw.parse().unwrap_or_else(|_| {
        faults.add(format!("{path}.address"), format!("`{raw}` is not an ip:port address"));
        SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))
    })
}
