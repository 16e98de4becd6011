//! Turns a request to edit the document into a record for the log, or refuses it.

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
    /// Id chosen by the author; the same id sent again is the same edit.
    pub edit_id: EditId,
    /// Changes, accepted as a whole or not at all.
    pub changes: Vec<SectionChange>,
}

/// Why an edit was not appended.
#[derive(Clone, Debug, PartialEq)]
pub enum EditRefusal {
    /// The edit has no id or no change, or changes a section twice.
    Malformed(&'static str),
    /// The author may not edit this section.
    NotOwner(SectionPath),
    /// A base revision is no longer current.
    Outdated(EditOutcome),
    /// The document that would result has faults.
    Invalid(Faults),
}

/// Kinds of section that a check compares with each other: an edit of one looks at all of them.
const CHECKED_TOGETHER: [&str; 2] = ["servers", "site"];
/// Kind that says who may edit; every edit looks at it.
const OWNERS: &str = "owners";

/// Checks `request` against `state` and returns the record to append.
///
/// # Errors
///
/// The reason for which the edit must not be appended.
pub fn prepare_edit(
    state: &ConfigurationState,
    request: EditRequest,
    author: (&OwnerId, &Owner),
) -> Result<Edit, EditRefusal> {
    check_form(&request)?;
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

/// Checks the document that `changes` would lead to.
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

fn check_form(request: &EditRequest) -> Result<(), EditRefusal> {
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

fn required_kinds(state: &ConfigurationState, changes: &[SectionChange]) -> Vec<KindRevision> {
    let compares =
        changes.iter().any(|change| CHECKED_TOGETHER.contains(&section_kind(&change.section)));
    let compared: &[&'static str] = if compares { &CHECKED_TOGETHER } else { &[] };
    std::iter::once(&OWNERS)
        .chain(compared)
        .map(|kind| KindRevision {
            kind: SmolStr::new_static(kind),
            revision: state.kind_revision(kind),
        })
        .collect()
}
