//! Review of a valid document: entries that can never have an effect, and limits that contradict each
//! other. Nodes accept such a document, but its author probably meant something else.

use super::{CallPattern, Document, Owner};
use crate::types::Faults;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Returns what is doubtful about a document, each with its path.
pub fn review(document: &Document) -> Faults {
    let mut doubts = Faults::default();
    review_keys(document, &mut doubts);
    review_workspaces(document, &mut doubts);
    review_models(document, &mut doubts);
    review_addresses(document, &mut doubts);
    review_services(document, &mut doubts);
    review_zone_links(document, &mut doubts);
    review_power(document, &mut doubts);
    for (name, owner) in &document.owners {
        review_owner(&format!("owners.{name}"), owner, document, &mut doubts);
    }
    doubts
}

/// A key belongs to one holder; of several, only one is found.
fn review_keys(document: &Document, doubts: &mut Faults) {
    let workspaces = document.workspaces.iter();
    let workspaces = workspaces.map(|(name, w)| (format!("workspaces.{name}"), &w.key_hashes));
    let owners = document.owners.iter();
    let owners = owners.map(|(name, owner)| (format!("owners.{name}"), &owner.key_hashes));
    let mut holders: BTreeMap<&SmolStr, String> = BTreeMap::new();
    for (path, hashes) in workspaces.chain(owners) {
        for (index, hash) in hashes.iter().enumerate() {
            let key_path = format!("{path}.key_hashes[{index}]");
            match holders.get(hash) {
                Some(holder) => doubts.add(key_path, format!("is also {holder}")),
                None => {
                    holders.insert(hash, key_path);
                }
            }
        }
    }
}

fn review_workspaces(document: &Document, doubts: &mut Faults) {
    let at_once: u64 =
        document.servers.values().map(|server| u64::from(server.concurrent_requests)).sum();
    for (name, workspace) in &document.workspaces {
        doubts.require(
            !workspace.key_hashes.is_empty(),
            format!("workspaces.{name}.key_hashes"),
            "is empty, so that nobody can call in this workspace",
        );
        let concurrent = u64::from(workspace.concurrent_requests);
        doubts.require(
            document.servers.is_empty() || concurrent <= at_once,
            format!("workspaces.{name}.concurrent_requests"),
            format!("can never be reached: all servers together run {at_once} requests at once"),
        );
        doubts.require(
            workspace.tokens_per_s >= u64::from(workspace.requests_per_s),
            format!("workspaces.{name}.tokens_per_s"),
            "is below requests_per_s, which can never be reached",
        );
    }
}

fn review_models(document: &Document, doubts: &mut Faults) {
    let slots: u64 = document.servers.values().map(|server| u64::from(server.model_slots)).sum();
    let needed: u64 = document.models.values().map(|model| u64::from(model.least_servers)).sum();
    doubts.require(
        needed <= slots,
        "models",
        format!("need {needed} servers by least_servers, but all servers have {slots} model slots"),
    );
    for (name, model) in &document.models {
        let servers = document.servers.len();
        doubts.require(
            model.least_servers as usize <= servers,
            format!("models.{name}.least_servers"),
            format!("can never be reached with {servers} servers"),
        );
        let mut seen = BTreeSet::new();
        for (index, adapter) in model.adapters.iter().enumerate() {
            let path = format!("models.{name}.adapters[{index}]");
            doubts.require(seen.insert(adapter), path.clone(), "is listed twice");
            doubts.require(
                !document.models.contains_key(adapter),
                path,
                "is the name of a model, which calls find first",
            );
        }
    }
}

fn review_addresses(document: &Document, doubts: &mut Faults) {
    let servers = document.servers.iter();
    let servers = servers.map(|(name, server)| (format!("servers.{name}"), server.address));
    let services = document.services.iter().flat_map(|(service, entry)| {
        let path = move |name: &SmolStr| format!("services.{service}.servers.{name}");
        entry.servers.iter().map(move |server| (path(&server.name), server.address))
    });
    let mut known: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (path, address) in servers.chain(services) {
        match known.get(&address) {
            Some(other) => doubts.add(format!("{path}.address"), format!("is that of {other}")),
            None => {
                known.insert(address, path);
            }
        }
    }
}

fn review_services(document: &Document, doubts: &mut Faults) {
    for (name, service) in &document.services {
        for (index, pattern) in service.non_idempotent.iter().enumerate() {
            let covers = |other: &CallPattern| {
                other.method == pattern.method
                    && pattern.path_prefix.starts_with(other.path_prefix.as_str())
            };
            let others = service.non_idempotent.iter().enumerate();
            let mut covering = others.filter(|(other_index, other)| {
                let is_equal = *other == pattern;
                *other_index != index && covers(other) && (!is_equal || *other_index < index)
            });
            if let Some((other, _)) = covering.next() {
                doubts.add(
                    format!("services.{name}.non_idempotent[{index}]"),
                    format!("never decides anything: non_idempotent[{other}] covers it"),
                );
            }
        }
    }
}

fn review_zone_links(document: &Document, doubts: &mut Faults) {
    let servers = document.servers.values().map(|server| &server.availability_zone);
    let plain = document.services.values().flat_map(|service| &service.servers);
    let zones: BTreeSet<_> = servers.chain(plain.map(|server| &server.availability_zone)).collect();
    let mut known: BTreeMap<_, usize> = BTreeMap::new();
    for (index, link) in document.site.zone_links.iter().enumerate() {
        let path = format!("site.zone_links[{index}]");
        let ends =
            if link.from <= link.to { (&link.from, &link.to) } else { (&link.to, &link.from) };
        match known.get(&ends) {
            Some(first) => {
                doubts.add(path.clone(), format!("joins the same zones as zone_links[{first}]"));
            }
            None => {
                known.insert(ends, index);
            }
        }
        let has_servers = zones.contains(&link.from) || zones.contains(&link.to);
        doubts.require(has_servers, path, "joins two zones without servers");
    }
}

fn review_power(document: &Document, doubts: &mut Faults) {
    let idle: u64 = document.servers.values().map(|server| u64::from(server.idle_watts)).sum();
    let Some(request) = document.servers.values().map(|server| server.request_watts).min() else {
        return;
    };
    doubts.require(
        idle + u64::from(request) <= u64::from(document.site.budget_watts),
        "site.budget_watts",
        format!("covers the idle draw of {idle} W, but no request of {request} W beside it"),
    );
}

fn review_owner(path: &str, owner: &Owner, document: &Document, doubts: &mut Faults) {
    doubts.require(
        !owner.key_hashes.is_empty(),
        format!("{path}.key_hashes"),
        "is empty, so that nobody can act as this owner",
    );
    let sections: Vec<String> = section_paths(document);
    for (index, pattern) in owner.sections.iter().enumerate() {
        doubts.require(
            sections.iter().any(|section| pattern.matches(section)),
            format!("{path}.sections[{index}]"),
            "matches no section of this document",
        );
    }
}

fn section_paths(document: &Document) -> Vec<String> {
    let workspaces = document.workspaces.keys().map(|name| format!("workspaces/{name}"));
    let models = document.models.keys().map(|name| format!("models/{name}"));
    let servers = document.servers.keys().map(|name| format!("servers/{name}"));
    let services = document.services.keys().map(|name| format!("services/{name}"));
    let site = std::iter::once(String::from("site"));
    workspaces.chain(models).chain(servers).chain(services).chain(site).collect()
}
