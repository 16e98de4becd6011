//! Initial configuration document of a site.

use crate::preset::{IDLE_WATTS, REQUEST_WATTS, WORKSPACE_PERCENT};
use crate::site::Site;
use coriandertide::document::raw::{
    RawCallPattern, RawDocument, RawModel, RawScoreWeights, RawServer, RawService,
    RawServiceServer, RawSite, RawWorkspace, RawZoneLink,
};
use coriandertide::traffic::authenticate::hash_key;
use coriandertide::types::Priority;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// Nodes that the document allows in addition to the running ones, for restarts.
const SPARE_NODES: u32 = 2;
/// Factor of a workspace's request rate limit over its fraction of the capacity.
const RATE_LIMIT_FACTOR: f64 = 4.0;

/// Returns the bearer key of a workspace's callers.
pub fn bearer_key(workspace: usize) -> String {
    format!("local-site-key-{workspace}")
}

/// Returns the initial document of `site`.
pub fn initial_document(site: &Site, nodes: usize) -> anyhow::Result<RawDocument> {
    let mut document = RawDocument { site: raw_site(site, nodes)?, ..RawDocument::default() };
    for (workspace, percent) in WORKSPACE_PERCENT.into_iter().enumerate() {
        let name = format_smolstr!("team-{workspace}");
        document.workspaces.insert(name, raw_workspace(site, workspace, percent));
    }
    document.models.insert(site.preset.model.into(), raw_model(site));
    for engine in &site.engines {
        let config = engine.config();
        let server = RawServer {
            address: engine.address().to_smolstr(),
            availability_zone: config.availability_zone.to_smolstr(),
            checks_fencing: config.checks_fencing,
            concurrent_requests: site.preset.max_running_requests,
            model_slots: 1,
            idle_watts: IDLE_WATTS,
            request_watts: REQUEST_WATTS,
        };
        document.servers.insert(config.name.to_smolstr(), server);
    }
    document.services.insert(site.preset.service.into(), raw_service(site));
    Ok(document)
}

fn raw_workspace(site: &Site, workspace: usize, percent: u32) -> RawWorkspace {
    let rate_per_s = site.preset.capacity_per_s() * f64::from(percent) / 100.0;
    RawWorkspace {
        key_hashes: vec![hash_key(&bearer_key(workspace))],
        requests_per_s: (rate_per_s * RATE_LIMIT_FACTOR).ceil() as u32,
        concurrent_requests: site.preset.engines * site.preset.max_running_requests,
        tokens_per_s: 10_000_000,
        default_priority: Priority::Normal,
        highest_priority: Priority::Interactive,
        score: RawScoreWeights {
            first_token: site.preset.first_token_weight,
            recomputation: site.preset.recomputation_weight,
            zone_link: 1.0,
        },
    }
}

fn raw_model(site: &Site) -> RawModel {
    RawModel {
        weights_version: SmolStr::new_static("1"),
        prefill_tokens_per_s: site.preset.prefill_tokens_per_s,
        decode_tokens_per_s: site.preset.decode_tokens_per_s,
        import_tokens_per_s: 80_000,
        least_servers: site.preset.engines,
        ..RawModel::default()
    }
}

fn raw_service(site: &Site) -> RawService {
    let zones = site.preset.zones;
    let servers = site.services.iter().enumerate().map(|(number, service)| {
        let server = RawServiceServer {
            address: service.address().to_smolstr(),
            availability_zone: zones[number % zones.len()].into(),
        };
        (format_smolstr!("{}-{number}", site.preset.service), server)
    });
    RawService {
        servers: servers.collect(),
        non_idempotent: vec![RawCallPattern {
            method: SmolStr::new_static("POST"),
            path_prefix: site.preset.non_idempotent_path.into(),
        }],
        timeout_ms: 10_000,
    }
}

/// Returns the document's section `site` for `nodes` running nodes.
pub fn raw_site(site: &Site, nodes: usize) -> anyhow::Result<RawSite> {
    let zones = site.preset.zones;
    let mut zone_links = Vec::new();
    for (index, from) in zones.iter().enumerate() {
        for to in &zones[index + 1..] {
            zone_links.push(RawZoneLink {
                from: (*from).into(),
                to: (*to).into(),
                delay_us: site.preset.zone_delay_us,
            });
        }
    }
    Ok(RawSite {
        budget_watts: site.preset.budget_watts(),
        max_nodes: u32::try_from(nodes)? + SPARE_NODES,
        zone_links,
        ..RawSite::default()
    })
}
