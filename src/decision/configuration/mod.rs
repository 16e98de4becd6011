//! Configuration: the fold of the `configuration` stream into the document in force.
//!
//! The fold compares revisions and nothing else, so nodes of different builds agree on it. Whether
//! the result is a document that this build understands is decided afterwards, by
//! [`checked_document`].

pub mod record;
pub mod sections;
pub mod state;

pub use record::{
    ConfigurationRecord, Edit, Initial, KindRevision, RECORD_FORMAT, RecordFault, SectionChange,
    Snapshot,
};
pub use state::{ConfigurationState, EditEntry, EditOutcome, RecordEffect, Section, Winner};

use crate::document::{Document, RawDocument};
use crate::types::Faults;
use serde_json::Value;

/// Puts the sections of `state` together and checks the result.
///
/// # Errors
///
/// Every fault that this build finds in the document.
pub fn checked_document(state: &ConfigurationState) -> Result<Document, Faults> {
    let raw = raw_document(sections::join_sections(state.values())?)?;
    let mut document = Document::try_from(raw)?;
    document.offset = state.revision;
    Ok(document)
}

/// Reads the raw form of a document; a fault carries the path of the first value that cannot be
/// read.
///
/// # Errors
///
/// A value of the wrong type, an unknown field or a missing one.
pub fn raw_document(value: Value) -> Result<RawDocument, Faults> {
    serde_json::from_value(value).map_err(|error| {
        let mut faults = Faults::default();
        faults.add("document", error.to_string());
        faults
    })
}
