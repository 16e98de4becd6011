//! Checks of the owners in a raw document.

use super::check::check_key_hashes;
use super::raw::RawOwner;
use super::{Document, Owner, OwnerRole, SectionPattern};
use crate::types::Faults;
use smol_str::SmolStr;

/// Prefix of the section paths that only administrators may edit.
const OWNERS_PREFIX: &str = "owners";

pub(super) fn check_owner(path: &str, raw: RawOwner, faults: &mut Faults) -> Owner {
    check_key_hashes(path, &raw.key_hashes, faults);
    let has_sections = !raw.sections.is_empty();
    let sections_path = format!("{path}.sections");
    match raw.role {
        OwnerRole::Editor => {
            faults.require(has_sections, sections_path, "an editor must name its sections");
        }
        OwnerRole::Reader | OwnerRole::Administrator => {
            faults.require(!has_sections, sections_path, "only an editor names sections");
        }
    }
    let sections = raw
        .sections
        .iter()
        .enumerate()
        .map(|(index, pattern)| {
            check_section_pattern(&format!("{path}.sections[{index}]"), pattern, faults)
        })
        .collect();
    Owner { key_hashes: raw.key_hashes, role: raw.role, sections }
}

pub(super) fn check_administrators(document: &Document, faults: &mut Faults) {
    let has_administrator = document
        .owners
        .values()
        .any(|owner| owner.role == OwnerRole::Administrator && !owner.key_hashes.is_empty());
    faults.require(
        document.owners.is_empty() || has_administrator,
        "owners",
        "must keep an administrator with a key",
    );
}

fn check_section_pattern(path: &str, raw: &SmolStr, faults: &mut Faults) -> SectionPattern {
    let prefix = raw.strip_suffix('*');
    let path_or_prefix = prefix.unwrap_or(raw);
    faults.require(!path_or_prefix.contains('*'), path, "may have a * at its end only");
    let is_section = path_or_prefix == "site"
        || path_or_prefix.split_once('/').is_some_and(|(kind, _)| !kind.is_empty());
    faults.require(is_section, path, "must be a section path such as workspaces/survey");
    faults.require(
        !path_or_prefix.starts_with(OWNERS_PREFIX),
        path,
        "owners are edited by administrators only",
    );
    match prefix {
        Some(prefix) => SectionPattern::Prefix(prefix.into()),
        None => SectionPattern::Exact(raw.clone()),
    }
}
