//! Fold of the `configuration` stream into the document in force.
//!
//! The fold compares revisions only, so that nodes of different builds compute the same state.
//! [`validate_state`] then checks whether that state is a valid document for this build.

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

/// Valid document in its raw and its validated form.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedDocument {
    /// Raw form, as deserialized from JSON.
    pub raw: RawDocument,
    /// Validated form.
    pub document: Document,
}

/// Joins the sections of `state` and validates the resulting document.
///
/// # Errors
///
/// Every fault that this build finds in the document.
pub fn validate_state(state: &ConfigurationState) -> Result<ValidatedDocument, Faults> {
    validate_json(sections::join_sections(state.section_values())?, state.revision)
}

/// Validates a document in JSON form; `revision` becomes its offset.
///
/// # Errors
///
/// Every fault that this build finds in the document.
pub fn validate_json(value: Value, revision: Revision) -> Result<ValidatedDocument, Faults> {
    let raw = parse_raw(value)?;
    let mut document = Document::try_from(raw.clone())?;
    document.offset = revision;
    Ok(ValidatedDocument { raw, document })
}

/// Deserializes a document; if that fails, deserializes each section on its own to report one fault
/// with a path for each invalid section.
fn parse_raw(value: Value) -> Result<RawDocument, Faults> {
    let error = match serde_json::from_value(value.clone()) {
        Ok(raw) => return Ok(raw),
        Err(error) => error,
    };
    let mut faults = Faults::default();
    for kind in sections::empty_kinds(&value) {
        add_parse_fault(kind.clone(), &json!({ kind: {} }), &mut faults);
    }
    for (section, content) in sections::split_json(&value) {
        let part = sections::join_sections(std::iter::once((&section, &content)))?;
        add_parse_fault(section.replacen('/', ".", 1), &part, &mut faults);
    }
    if faults.0.is_empty() {
        return Err(whole_document_fault(&error));
    }
    Err(faults)
}

fn add_parse_fault(path: String, part: &Value, faults: &mut Faults) {
    if let Err(error) = RawDocument::deserialize(part) {
        faults.add(path, error.to_string());
    }
}

fn whole_document_fault(error: &serde_json::Error) -> Faults {
    let mut faults = Faults::default();
    faults.add("document", error.to_string());
    faults
}
