//! Configuration: the fold of the `configuration` stream into the document in force.
//!
//! The fold compares revisions and nothing else, so nodes of different builds agree on it. Whether
//! the result is a document that this build understands is decided afterwards, by
//! [`validate_state`].

pub mod follower;
pub mod in_force;
pub mod prepare;
pub mod record;
pub mod republish;
pub mod sections;
pub mod state;

pub use follower::{
    ConfigurationAnnouncement, ConfigurationCommand, ConfigurationCopy, ConfigurationEvent,
    ConfigurationFollower, MalformedRecord, NewerRecord,
};
pub use prepare::{EditRefusal, EditRequest, prepare_edit};
pub use record::{
    ConfigurationRecord, Edit, InitialDocument, KindRevision, RECORD_FORMAT, RecordError,
    SectionChange, Snapshot,
};
pub use republish::SnapshotSchedule;
pub use state::{ConfigurationState, EditEntry, EditOutcome, RecordEffect, Section, Winner};

use crate::document::{Document, RawDocument};
use crate::types::{Faults, Revision};
use serde::Deserialize;
use serde_json::{Value, json};

/// Document of a state in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedDocument {
    /// Raw form.
    pub raw: RawDocument,
    /// Checked form.
    pub document: Document,
}

/// Puts the sections of `state` together and checks the result.
///
/// # Errors
///
/// Every fault that this build finds in the document.
pub fn validate_state(state: &ConfigurationState) -> Result<ValidatedDocument, Faults> {
    validate_json(sections::join_sections(state.section_values())?, state.revision)
}

/// Checks a document in its JSON form.
///
/// # Errors
///
/// Every fault that this build finds in the document.
pub fn validate_json(value: Value, revision: Revision) -> Result<ValidatedDocument, Faults> {
    let raw = read_raw(value)?;
    let mut document = Document::try_from(raw.clone())?;
    document.offset = revision;
    Ok(ValidatedDocument { raw, document })
}

/// Reads the raw form section by section, so that each unreadable section is one fault with its
/// path.
fn read_raw(value: Value) -> Result<RawDocument, Faults> {
    let error = match serde_json::from_value(value.clone()) {
        Ok(raw) => return Ok(raw),
        Err(error) => error,
    };
    let mut faults = Faults::default();
    for kind in sections::empty_kinds(&value) {
        add_read_fault(kind.clone(), &json!({ kind: {} }), &mut faults);
    }
    for (section, content) in sections::split_json(&value) {
        let alone = sections::join_sections(std::iter::once((&section, &content)))?;
        add_read_fault(section.replacen('/', ".", 1), &alone, &mut faults);
    }
    if faults.0.is_empty() {
        return Err(whole_document_fault(&error));
    }
    Err(faults)
}

fn add_read_fault(path: String, alone: &Value, faults: &mut Faults) {
    if let Err(error) = RawDocument::deserialize(alone) {
        faults.add(path, error.to_string());
    }
}

fn whole_document_fault(error: &serde_json::Error) -> Faults {
    let mut faults = Faults::default();
    faults.add("document", error.to_string());
    faults
}
