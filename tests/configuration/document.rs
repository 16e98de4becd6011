//! Every fault of a document is reported with its path, and owners edit only their own sections.

use coriandertide::decision::configuration::validate_json;
use coriandertide::document::{Owner, OwnerRole, SectionPattern, hash_key};
use serde_json::json;

#[test]
fn every_fault_has_its_path() {
    let document = json!({
        "workspaces": { "survey": { "requests_per_s": 0, "key_hashes": ["secret"] } },
        "servers": { "s1": {
            "address": "nowhere", "availability_zone": "couva",
            "concurrent_requests": 1, "idle_watts": 50, "request_watts": 1,
        } },
        "owners": { "team": { "key_hashes": [], "role": "editor", "sections": ["owners/team"] } },
        "site": { "budget_watts": 10 },
    });
    insta::assert_snapshot!(validate_json(document, 1).unwrap_err(), @r#"
    workspaces.survey.key_hashes[0]: must be a SHA-256 in lower-case hexadecimal
    workspaces.survey.requests_per_s: must be above 0
    servers.s1.address: `nowhere` is not an ip:port address
    owners.team.sections[0]: owners are edited by administrators only
    owners: must keep an administrator with a key
    site.max_nodes: must be above 0
    site.budget_watts: must cover the idle draw of all servers, 50 W
    "#);
}

#[test]
fn every_unreadable_section_has_its_path() {
    let document = json!({
        "workspaces": { "survey": { "request_per_s": 5 }, "manifest": { "tokens_per_s": "many" } },
        "sites": {},
        "site": { "budget_watts": -1 },
    });
    insta::assert_snapshot!(validate_json(document, 1).unwrap_err(), @r#"
    sites: unknown field `sites`, expected one of `workspaces`, `models`, `servers`, `services`, `site`, `owners`
    site: invalid value: integer `-1`, expected u32
    workspaces.manifest: invalid type: string "many", expected u64
    workspaces.survey: unknown field `request_per_s`, expected one of `key_hashes`, `requests_per_s`, `concurrent_requests`, `tokens_per_s`, `default_priority`, `highest_priority`, `score`
    "#);
}

#[test]
fn editors_edit_their_own_sections_only() {
    let mut owner = Owner {
        key_hashes: vec![hash_key("key")],
        role: OwnerRole::Editor,
        sections: vec![
            SectionPattern::Exact("models/guide".into()),
            SectionPattern::Prefix("workspaces/survey".into()),
        ],
    };
    let sections = ["models/guide", "models/guide2", "workspaces/survey-north", "site"];
    let editable = |owner: &Owner| sections.map(|section| owner.may_edit(section));
    assert_eq!(editable(&owner), [true, false, true, false]);
    owner.role = OwnerRole::Reader;
    assert_eq!(editable(&owner), [false; 4]);
    owner.role = OwnerRole::Administrator;
    assert_eq!(editable(&owner), [true; 4]);
}
