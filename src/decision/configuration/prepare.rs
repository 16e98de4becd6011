//! Validation of a request to edit the document and conversion to a log record.

use super::record::{Edit, KindRevision, SectionChange};
use super::sections::{SINGLETON_KINDS, join_sections, section_kind};
use super::state::{ConfigurationState, EditOutcome};
use super::{ValidatedDocument, validate_json};
use crate::document::Owner;
use crate::types::{EditId, Faults, OwnerId, SectionPath};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// Request to edit the document.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Id chosen by the author; a request with the same id is a retry of the same edit.
    pub edit_id: EditId,
    /// Changes, accepted atomically.
    pub changes: Vec<SectionChange>,
}

/// Reason for refusing an edit before it is appended.
#[derive(Clone, Debug, PartialEq)]
pub enum EditRefusal {
    /// The edit has no id or no changes, names a malformed section, or changes a section twice.
    Malformed(&'static str),
    /// The author is not allowed to edit this section.
    NotOwner(SectionPath),
    /// A base revision or a required kind is no longer current.
    Outdated(EditOutcome),
    /// The resulting document would have faults.
    Invalid(Faults),
}

/// Kinds that are validated against each other: an edit of one requires the revisions of all.
const CROSS_CHECKED_KINDS: [&str; 2] = ["servers", "site"];
/// Kind that grants the right to edit; every edit requires its revision.
const OWNERS_KIND: &str = "owners";

/// Validates `request` against `state` and returns the edit to append.
///
/// # Errors
///
/// The reason for which the edit is refused.
pub fn prepare_edit(
    state: &ConfigurationState,
    request: EditRequest,
    author: (&OwnerId, &Owner),
) -> Result<Edit, EditRefusal> {
    check_well_formed(&request)?;
    let (author, owner) = author;
    if let Some(change) = request.changes.iter().find(|change| !owner.may_edit(&change.section)) {
        return Err(EditRefusal::NotOwner(change.section.clone()));
    }
    let requires = required_kinds(state, &request.changes);
    match state.evaluate(&request.changes, &requires) {
        EditOutcome::Accepted => {}
        outdated => return Err(EditRefusal::Outdated(outdated)),
    }
    validate_changes(state, &request.changes).map_err(EditRefusal::Invalid)?;
    Ok(Edit {
        edit_id: request.edit_id,
        author: author.clone(),
        built_by: SmolStr::new_static(env!("CARGO_PKG_VERSION")),
        changes: request.changes,
        requires,
    })
}

/// Validates the document that results from applying `changes` to `state`.
///
/// # Errors
///
/// Every fault of that document.
pub fn validate_changes(
    state: &ConfigurationState,
    changes: &[SectionChange],
) -> Result<ValidatedDocument, Faults> {
    let mut sections: BTreeMap<&SectionPath, &Value> = state.section_values().collect();
    for change in changes {
        match &change.value {
            Some(value) => sections.insert(&change.section, value),
            None => sections.remove(&change.section),
        };
    }
    validate_json(join_sections(sections.into_iter())?, state.revision)
}

fn check_well_formed(request: &EditRequest) -> Result<(), EditRefusal> {
    if request.edit_id.is_empty() {
        return Err(EditRefusal::Malformed("edit_id must not be empty"));
    }
    if request.changes.is_empty() {
        return Err(EditRefusal::Malformed("changes must not be empty"));
    }
    if !request.changes.iter().all(|change| is_section_path(&change.section)) {
        return Err(EditRefusal::Malformed("a section is `site` or KIND/NAME"));
    }
    let sections: BTreeSet<&SectionPath> =
        request.changes.iter().map(|change| &change.section).collect();
    if sections.len() < request.changes.len() {
        return Err(EditRefusal::Malformed("a section may be changed once in an edit"));
    }
    Ok(())
}

fn is_section_path(section: &str) -> bool {
    match section.split_once('/') {
        Some((kind, name)) => {
            !kind.is_empty() && !name.is_empty() && !SINGLETON_KINDS.contains(&kind)
        }
        None => SINGLETON_KINDS.contains(&section),
    }
}

/// Returns the current revisions of the kinds that the validation of `changes` depends on.
fn required_kinds(state: &ConfigurationState, changes: &[SectionChange]) -> Vec<KindRevision> {
    let is_cross_checked =
        changes.iter().any(|change| CROSS_CHECKED_KINDS.contains(&section_kind(&change.section)));
    let cross_checked: &[&'static str] = if is_cross_checked { &CROSS_CHECKED_KINDS } else { &[] };
    std::iter::once(&OWNERS_KIND)
        .chain(cross_checked)
        .map(|kind| KindRevision {
            kind: SmolStr::new_static(kind),
            revision: state.kind_revision(kind),
        })
        .collect()
}
